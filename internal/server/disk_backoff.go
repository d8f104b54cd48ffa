package server

import "time"

// Delays between two attempts at a failing disk.
const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
)

// diskBackoff counts the failures of a disk in a row. The delay before the next attempt
// doubles with each one, up to a bound.
type diskBackoff struct{ failures int }

// delay returns how long to wait before the next attempt.
func (b diskBackoff) delay() time.Duration {
	delay := minRetryDelay
	for i := 1; i < b.failures && delay < maxRetryDelay; i++ {
		delay *= 2
	}
	return min(delay, maxRetryDelay)
}

// shouldLog reports whether the latest failure is the first, or has lengthened the
// delay. Later ones would only repeat what the log says already.
func (b diskBackoff) shouldLog() bool {
	return b.failures == 1 || b.delay() > diskBackoff{b.failures - 1}.delay()
}
