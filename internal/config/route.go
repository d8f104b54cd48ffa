// The way from where a caller comes in to a queue: by host, and by the longest
// prefix of the path that a row names. Built once a table, and only read then.
package config

import (
	"strings"

	radix "github.com/hashicorp/go-immutable-radix/v2"
)

// Routes finds rows by host and path.
type Routes struct {
	hosts map[string]*radix.Tree[Row]
}

// Routes builds them; rows without a prefix have none.
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

// Find gives the row, and what of the path follows its prefix.
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
