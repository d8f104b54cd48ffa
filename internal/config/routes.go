package config

import (
	"strings"

	radix "github.com/hashicorp/go-immutable-radix/v2"
)

// Routes maps requests to queues, by host and by longest path prefix. It is built once for
// each version of the table, is immutable and is safe for concurrent use.
type Routes struct {
	hosts map[string]*radix.Tree[Queue] // by lower-case host; the tree keys are path prefixes
}

// Routes returns the routes of the table's queues. A queue without a prefix has none.
func (t Table) Routes() *Routes {
	r := &Routes{hosts: map[string]*radix.Tree[Queue]{}}
	for _, queue := range t.Queues {
		if queue.PathPrefix == "" {
			continue
		}
		host := strings.ToLower(queue.Host)
		tree := r.hosts[host]
		if tree == nil {
			tree = radix.New[Queue]()
		}
		r.hosts[host], _, _ = tree.Insert([]byte(queue.PathPrefix), queue)
	}
	return r
}

// Match returns the queue of a host and path, and the rest of the path after the queue's
// prefix. A port in the host is ignored.
func (r *Routes) Match(host, path string) (queue Queue, rest string, ok bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	tree := r.hosts[strings.ToLower(host)]
	if tree == nil {
		return Queue{}, "", false
	}
	prefix, queue, ok := tree.Root().LongestPrefix([]byte(path))
	if !ok {
		return Queue{}, "", false
	}
	return queue, path[len(prefix):], true
}
