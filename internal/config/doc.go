// Package config defines the documents that operators write: the queue table (Table) with its
// routes (Routes), drains and maintenance calendars.
//
// Its Reader decodes all external JSON documents, including jobs and the daemons' settings. It
// reads field by field, validates each value as it is read and collects every error with the
// path of its field, so that all errors are reported at once. Unknown and repeated fields are
// errors.
//
// Keys and defaults of the documents are described in docs/settings.md and never change.
// Tables are also stored, in the controllers' log and by the gateways.
package config
