package config

import (
	"testing"

	"github.com/matryer/is"

	"coppercourse/internal/apierror"
)

func TestRoutesTakeTheLongestPrefixOfTheHost(t *testing.T) {
	is := is.New(t)
	r := Table{Queues: []Queue{{Name: "a", Host: "x.example", PathPrefix: "/"}, {Name: "b", Host: "x.example", PathPrefix: "/b/"},
		{Name: "c", Host: "x.example", PathPrefix: "/b/c/"}, {Name: "d", Host: "y.example", PathPrefix: "/b/"}, {Name: "e"}}}.Routes()
	for _, c := range []struct{ host, path, name, rest string }{
		{"x.example", "/b/c/1", "c", "1"}, {"X.example:80", "/b/1", "b", "1"}, {"x.example", "/q", "a", "q"}, {"y.example", "/b/", "d", ""}} {
		row, rest, ok := r.Match(c.host, c.path)
		is.True(ok)
		is.Equal(string(row.Name), c.name)
		is.Equal(rest, c.rest)
	}
	_, _, ok := r.Match("y.example", "/c")
	is.True(!ok)
	_, _, ok = r.Match("z.example", "/b/")
	is.True(!ok)
}

func TestTableReportsErrorsByRowAndField(t *testing.T) {
	for text, want := range map[string]string{
		`{"edition":5,"becomes":5,"queues":[]}`: "becomes",
		`{"edition":5,"queues":[{"name":"a","host":"h","prefix":"/a"},{"name":"b","host":"h","prefix":"/a"}]}`: "queues[1].prefix",
		`{"edition":5,"queues":[{"name":"a","prefix":"a"}]}`:                                                   "queues[0].prefix",
		`{"edition":5,"queues":[{"name":"a","service":"s"}],"services":[{"name":"t"}]}`:                        "queues[0].service",
		`{"edition":5,"orphans":"keep","queues":[]}`:                                                           "orphans",
		`{"edition":5,"queues":[{"name":"a","stretch":-1}]}`:                                                   "queues[0].stretch",
	} {
		is := is.New(t)
		var errs apierror.ErrorList
		ReadTable([]byte(text), &errs)
		is.True(errs.First() != nil)
		is.Equal(errs.First().Field, want)
	}
	is := is.New(t)
	var errs apierror.ErrorList
	tab := ReadTable([]byte(`{"edition":5,"becomes":9,"orphans":"finish","queues":[{"name":"a","host":"h","prefix":"/a/","service":"s","priority":2,"stretch":1.5,"target_ms":200}],"services":[{"name":"s","guards":false}],"source":{"x":1}}`), &errs)
	is.True(errs.First() == nil)
	is.Equal(int(tab.Accepted().Version), 9)
	is.Equal(tab.Queues[0].TargetFactor, 1.5)
	is.Equal(string(tab.Source), `{"x":1}`)
	is.True(!tab.Services[0].EnforcesResources)
}
