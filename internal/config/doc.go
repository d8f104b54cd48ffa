// Package config holds the documents that operators write: the queue table (Table) with
// the routes that it makes (Routes), drains and maintenance calendars.
//
// Its Reader decodes all JSON documents that come from outside, also jobs and the daemons'
// settings. It reads field by field, checks each value where it stands and collects every
// error with the path of its field, so that all of them are reported at once. Unknown and
// repeated fields are errors.
//
// Keys and defaults of the documents are described in docs/settings.md and never change.
// Tables are also stored: in the controllers' log, and with the gateways.
package config
