package placement

import "time"

const (
	// starvedAfter is how long a request of an idle job waits until it may go beyond MaxAssignments.
	starvedAfter = time.Second
	// maxStarvedAssignments is how many such requests one round places beyond it.
	maxStarvedAssignments = MaxAssignments / 8
)

// A round that is full leaves the rest to the next one. While more work comes than the rounds
// take, as with a leader that has little time for them, what goes last would wait for as long as
// that lasts, however much room there is. So a full round goes on for idle jobs: each that has
// waited long enough gets one task, or its gang.

// isFull reports whether the round places nothing more but for starved requests.
func (r *round) isFull() bool { return len(r.output.Assignments) >= MaxAssignments }

// isFinished reports whether the round places nothing more at all.
func (r *round) isFinished() bool { return r.starvedPlaced >= maxStarvedAssignments }

// isStarved reports whether a request may be placed in a full round.
func isStarved(request *Request) bool { return request.JobIdle && request.WaitingFor >= starvedAfter }
