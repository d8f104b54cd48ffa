// Package types holds the small value types that the other packages share: identities,
// addresses, versions, terms, times, task numbers and resources.
//
// There are three kinds of time, all in nanoseconds. A MonoTime is a reading of one
// process's monotonic clock; another process can only echo it back. A ClusterTime is a
// reading of the cluster's clock, which the leader advances and log entries carry. A WallTime
// is a reading of a machine's wall clock.
package types
