package types

import "math/rand"

type (
	// Addr is the IP:port by which other daemons reach a daemon or a worker.
	Addr string
	// ID is a random identity of a process, a member or an instance; see NewID.
	ID string
	// Zone is a failure domain of the deployment.
	Zone string
	// Shard names the position that one worker fills, as the paper's shard id does. It
	// outlives the worker processes that fill it.
	Shard string
	// Rack is a label of workers that jobs may ask for.
	Rack string
	// ServiceKind names a kind of worker, and so which workers can run a task.
	ServiceKind string
	// QueueName names one queue of the queue table.
	QueueName string
	// TenantName names one tenant of the queue table.
	TenantName string
	// JobID is a job's identity, chosen by its caller.
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

// NewID makes a random identity.
func NewID(random *rand.Rand) ID {
	const digits = "0123456789abcdef"
	id := make([]byte, idLength)
	for i := range id {
		id[i] = digits[random.Intn(len(digits))]
	}
	return ID(id)
}
