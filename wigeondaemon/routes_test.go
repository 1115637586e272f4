package wigeondaemon

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
)

// Guards against a request that is routed to the queue of another host or of a shorter prefix.
func TestRouteTableMatchesLongestPrefixOfHost(t *testing.T) {
	table := newRouteTable(&wigeonstep.Configuration{Queues: []wigeonstep.Queue{
		{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		{Name: "long", Host: "A.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/x/y/z/"},
	}})
	for _, tc := range []struct{ name, host, path, want string }{
		{"short", "a.example", "/x/1", "short"},
		{"long", "a.example", "/x/y/1", "long"},
		{"port", "a.example:8080", "/x/y/1", "long"},
		{"other host", "b.example", "/x/y/z/1", "other"},
		{"no prefix", "b.example", "/x/1", ""},
		{"no host", "c.example", "/x/1", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			queue, found := table.match(tc.host, tc.path)
			c.Assert(found, qt.Equals, tc.want != "")
			c.Assert(string(queue.Name), qt.Equals, tc.want)
		})
	}
}
