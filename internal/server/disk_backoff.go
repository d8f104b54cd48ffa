package server

import "time"

// Bounds of the retry delay while disk operations fail.
const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
)

// diskBackoff is an exponential back-off. It counts consecutive disk failures; the delay before
// the next attempt doubles with each, up to maxRetryDelay.
type diskBackoff struct{ failures int }

// delay returns the delay before the next attempt.
func (b diskBackoff) delay() time.Duration {
	delay := minRetryDelay
	for i := 1; i < b.failures && delay < maxRetryDelay; i++ {
		delay *= 2
	}
	return min(delay, maxRetryDelay)
}

// shouldLog reports whether the latest failure is the first or has increased the delay.
// Logging further failures would only repeat earlier messages.
func (b diskBackoff) shouldLog() bool {
	return b.failures == 1 || b.delay() > diskBackoff{b.failures - 1}.delay()
}
