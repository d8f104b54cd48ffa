// Package dispatch describes the dispatcher.
package dispatch
