package configwatch

import (
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// Nonce identifies a request, and comes back with its response. The requests of a process
// have ascending nonces from a random start. They are no times: the monotonic clock starts
// anew with each process, so a time could be that of an earlier process at this address.
type Nonce int64

// watchRequest is a watcher's request, the body of a wire.ConfigWatch.
type watchRequest struct {
	Version  types.Version `json:"have"`              // of the table that the watcher has
	HasTable bool          `json:"any"`               // it has one
	HoldMS   int64         `json:"wait_ms,omitempty"` // how long to hold the response back; 0 is longPollHold
	Nonce    Nonce         `json:"mark"`
}

// hold returns how long the response may be held back while there is no other version.
func (r watchRequest) hold() time.Duration {
	if r.HoldMS == 0 {
		return longPollHold
	}
	return min(longPollHold, time.Duration(r.HoldMS)*time.Millisecond)
}

// upToDate reports whether the watcher has the table of a version.
func (r watchRequest) upToDate(version types.Version) bool {
	return r.HasTable && r.Version == version
}

// watchResponse is the response to a request, the body of a wire.ConfigWatchReply. Without
// a table it confirms the version that the watcher has.
type watchResponse struct {
	Version types.Version `json:"edition"`
	Table   *config.Table `json:"table,omitempty"`
	Nonce   Nonce         `json:"mark"` // that of the request
}
