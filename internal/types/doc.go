// Package types holds the small value types that all other packages share: identities,
// addresses, versions, terms, times, task numbers and resources.
//
// There are three kinds of time, all in nanoseconds. A MonoTime is a reading of one
// process's monotonic clock and means nothing to another process except as a value to be
// sent back. A ClusterTime is a reading of the cluster's clock, which the leader keeps and
// the log carries. A WallTime is a reading of a machine's wall clock.
package types
