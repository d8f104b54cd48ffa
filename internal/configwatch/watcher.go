package configwatch

import (
	"math/rand"
	"slices"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// DefaultStaleAfter is how long a confirmation lasts where the settings say nothing else.
const DefaultStaleAfter = 1500 * time.Millisecond

// Timings of a watcher whose confirmations last DefaultStaleAfter. Where they last less, the
// intervals are shorter in proportion.
const (
	// retryInterval is the time after which a request without a response is repeated.
	retryInterval = 700 * time.Millisecond
	// retryIntervalUnconfirmed is the same while the table is not confirmed.
	retryIntervalUnconfirmed = 100 * time.Millisecond
	// unconfirmedHold is how long a response may be held back then: it is needed at once,
	// also if it has no table.
	unconfirmedHold = time.Millisecond
)

// Watcher is a gateway's side of the watch. It is a state machine: Tick and HandleResponse
// are its events.
type Watcher struct {
	// Table is the table that the watcher has. It may be used while it is confirmed (Fresh).
	Table config.Table

	self        types.Addr
	staleAfter  time.Duration  // how long a confirmation lasts
	hasTable    bool           // Table is set
	confirmedAt types.MonoTime // when the request was sent that confirmed Table

	awaitingResponse bool           // the latest request has no response yet
	requestedAt      types.MonoTime // when it was sent
	firstNonce       Nonce          // the requests of this process have higher ones
	lastNonce        Nonce          // of the latest request
	requests         []sentRequest  // those that can still confirm something, oldest first
}

// sentRequest is a request that was sent.
type sentRequest struct {
	nonce  Nonce
	sentAt types.MonoTime
}

// NewWatcher returns the watcher of the daemon at an address, whose confirmations last
// staleAfter. The first nonce must differ from process to process (NewNonce).
func NewWatcher(self types.Addr, staleAfter time.Duration, first Nonce) *Watcher {
	return &Watcher{
		self:        self,
		staleAfter:  staleAfter,
		confirmedAt: types.DistantPast,
		requestedAt: types.DistantPast,
		firstNonce:  first,
		lastNonce:   first,
	}
}

// nonceShift keeps a random nonce below 2^52, so that JSON numbers hold it exactly.
const nonceShift = 12

// NewNonce returns a random first nonce for a process.
func NewNonce(rnd *rand.Rand) Nonce { return Nonce(rnd.Uint64() >> nonceShift) }

// Fresh reports whether the table may be used to decide.
func (w *Watcher) Fresh(now types.MonoTime) bool { return now < w.ConfirmedUntil() }

// ConfirmedUntil returns when the confirmation of the table ends, by the watcher's own
// monotonic clock. Whoever decides by the table compares this with the clock at the time of
// the decision.
func (w *Watcher) ConfirmedUntil() types.MonoTime {
	if !w.hasTable {
		return types.DistantPast
	}
	return w.confirmedAt.Add(w.staleAfter)
}

// Tick asks the leader for the table: at once after a response, and again if none comes.
func (w *Watcher) Tick(now types.MonoTime, leader types.Addr) []wire.OutboundMessage {
	interval, hold := retryInterval, w.scaleToStaleAfter(longPollHold)
	if !w.Fresh(now) {
		interval, hold = retryIntervalUnconfirmed, unconfirmedHold
	}
	if leader == "" || w.awaitingResponse && now.Sub(w.requestedAt) < w.scaleToStaleAfter(interval) {
		return nil
	}
	w.awaitingResponse, w.requestedAt = true, now
	request := watchRequest{
		Version:  w.Table.Version,
		HasTable: w.hasTable,
		HoldMS:   hold.Milliseconds(),
		Nonce:    w.recordRequest(now),
	}
	return []wire.OutboundMessage{wire.NewMessage(w.self, leader, wire.ConfigWatch, request)}
}

// scaled shortens a duration in the proportion in which confirmations last less than by
// default.
func (w *Watcher) scaleToStaleAfter(d time.Duration) time.Duration {
	return min(w.staleAfter, DefaultStaleAfter) * d / DefaultStaleAfter
}

// recordRequest records that a request is sent and returns its nonce. It forgets requests
// that can confirm nothing any more.
func (w *Watcher) recordRequest(now types.MonoTime) Nonce {
	w.requests = slices.DeleteFunc(w.requests, func(r sentRequest) bool { return now.Sub(r.sentAt) >= w.staleAfter })
	w.lastNonce++
	w.requests = append(w.requests, sentRequest{w.lastNonce, now})
	return w.lastNonce
}

// sentAt returns when the request with a nonce was sent, or never if that is forgotten.
func (w *Watcher) sentAt(nonce Nonce) types.MonoTime {
	for _, request := range w.requests {
		if request.nonce == nonce {
			return request.sentAt
		}
	}
	return types.DistantPast
}

// isOwnNonce reports whether a request of this process had a nonce, however long ago.
func (w *Watcher) isOwnNonce(nonce Nonce) bool {
	return nonce > w.firstNonce && nonce <= w.lastNonce
}

// HandleResponse takes a response of the leader, and returns true if the table changed. What
// the response confirms counts from when its request was sent.
func (w *Watcher) HandleResponse(message wire.Message) bool {
	response, ok := wire.DecodeBody[watchResponse](message)
	if !ok || !w.isOwnNonce(response.Nonce) {
		return false
	}
	if response.Nonce == w.lastNonce {
		w.awaitingResponse = false
	}
	changed := response.Table != nil && (!w.hasTable || response.Version > w.Table.Version)
	if changed {
		w.Table, w.hasTable = *response.Table, true
	}
	if changed || w.hasTable && response.Version == w.Table.Version {
		w.confirmedAt = max(w.confirmedAt, w.sentAt(response.Nonce))
	}
	return changed
}
