package types

import "math/rand"

type (
	// Addr is the IP:port by which other daemons reach a daemon or a worker.
	Addr string
	// ID is a random identifier of a process, a member or an instance; see NewID.
	ID string
	// Zone is a failure domain of the deployment.
	Zone string
	// Shard names the slot that one worker fills (the paper's shard id). It outlives the
	// worker processes that fill it.
	Shard string
	// Rack is a topology label of workers, which jobs may require.
	Rack string
	// ServiceKind names a kind of worker and determines which workers can run a task.
	ServiceKind string
	// QueueName names one queue of the queue table.
	QueueName string
	// TenantName names one tenant of the queue table.
	TenantName string
	// JobID identifies a job. The caller chooses it.
	JobID string
	// Term is an election term of the replicated log.
	Term uint64
	// Index is a position in the replicated log.
	Index uint64
	// Version counts the changes of the queue table.
	Version uint64
	// Seq numbers the messages of one sender.
	Seq uint64
)

// idLength is the number of hexadecimal digits in an ID: 48 random bits.
const idLength = 12

// NewID returns a random identifier.
func NewID(random *rand.Rand) ID {
	const digits = "0123456789abcdef"
	id := make([]byte, idLength)
	for i := range id {
		id[i] = digits[random.Intn(len(digits))]
	}
	return ID(id)
}
