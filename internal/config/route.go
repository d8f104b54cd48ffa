package config

// Routing of a request to a queue: by host, and by the longest path prefix that a
// row of the table names.

import (
	"strings"

	radix "github.com/hashicorp/go-immutable-radix/v2"
)

// Routes is the routing table of one version of the queue table. It is built once
// and only read then, by any number of goroutines.
type Routes struct {
	hosts map[string]*radix.Tree[Row]
}

// Routes builds the routing table. Rows without a prefix have no route.
func (t Table) Routes() *Routes {
	r := &Routes{hosts: map[string]*radix.Tree[Row]{}}
	for _, row := range t.Rows {
		if row.Prefix == "" {
			continue
		}
		host := strings.ToLower(row.Host)
		tree := r.hosts[host]
		if tree == nil {
			tree = radix.New[Row]()
		}
		r.hosts[host], _, _ = tree.Insert([]byte(row.Prefix), row)
	}
	return r
}

// Find returns the row for a host and path, and the part of the path that follows
// the row's prefix. A port in the host is ignored.
func (r *Routes) Find(host, path string) (row Row, rest string, ok bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	tree := r.hosts[strings.ToLower(host)]
	if tree == nil {
		return Row{}, "", false
	}
	pre, row, ok := tree.Root().LongestPrefix([]byte(path))
	if !ok {
		return Row{}, "", false
	}
	return row, path[len(pre):], true
}
