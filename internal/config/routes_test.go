package config

import (
	"testing"

	"github.com/matryer/is"
)

func TestRoutesMatchLongestPrefixOfHost(t *testing.T) {
	routes := Table{Queues: []Queue{
		{Name: "a", Host: "x.example", PathPrefix: "/"},
		{Name: "b", Host: "x.example", PathPrefix: "/b/"},
		{Name: "c", Host: "x.example", PathPrefix: "/b/c/"},
		{Name: "d", Host: "y.example", PathPrefix: "/b/"},
		{Name: "e"},
	}}.Routes()
	for _, test := range []struct{ name, host, path, queue, rest string }{
		{"longest prefix", "x.example", "/b/c/1", "c", "1"},
		{"case and port of the host", "X.example:80", "/b/1", "b", "1"},
		{"root", "x.example", "/q", "a", "q"},
		{"nothing after the prefix", "y.example", "/b/", "d", ""},
		{"no such path", "y.example", "/c", "", ""},
		{"no such host", "z.example", "/b/", "", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			queue, rest, ok := routes.Match(test.host, test.path)
			is.Equal(ok, test.queue != "")
			is.Equal(string(queue.Name), test.queue)
			is.Equal(rest, test.rest)
		})
	}
}
