package configwatch

import (
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// Nonce identifies a request and is echoed in its response. The requests of a process have
// ascending nonces from a random start. Nonces are not timestamps: the monotonic clock restarts
// with each process, so a timestamp could be one of an earlier process at this address.
type Nonce int64

// watchRequest is a watcher's request, the body of a wire.ConfigWatch.
type watchRequest struct {
	Version  types.Version `json:"have"`              // version of the watcher's table
	HasTable bool          `json:"any"`               // whether the watcher has a table
	HoldMS   int64         `json:"wait_ms,omitempty"` // maximum hold time of the response; 0 is longPollHold
	Nonce    Nonce         `json:"mark"`
}

// hold returns how long the response is held while the version is unchanged.
func (r watchRequest) hold() time.Duration {
	if r.HoldMS == 0 {
		return longPollHold
	}
	return min(longPollHold, time.Duration(r.HoldMS)*time.Millisecond)
}

// upToDate reports whether the watcher has the table with the given version.
func (r watchRequest) upToDate(version types.Version) bool {
	return r.HasTable && r.Version == version
}

// watchResponse is the response to a request, the body of a wire.ConfigWatchReply. Without
// a table it confirms the watcher's version.
type watchResponse struct {
	Version types.Version `json:"edition"`
	Table   *config.Table `json:"table,omitempty"`
	Nonce   Nonce         `json:"mark"` // nonce of the request
}
