package wigeondaemon

import (
	"strings"

	"github.com/wigeonstep/wigeonstep"
)

// routeTable finds the queue of a request. It never changes.
type routeTable struct {
	version wigeonstep.ConfigVersion
	hosts   map[string][]wigeonstep.Queue
	spare   map[wigeonstep.ServiceName]bool
	// services are in the order of the configuration.
	services []wigeonstep.ServiceName
}

func newRouteTable(c *wigeonstep.Configuration) *routeTable {
	t := &routeTable{version: c.Version, hosts: map[string][]wigeonstep.Queue{}, spare: map[wigeonstep.ServiceName]bool{}}
	for _, q := range c.Queues {
		host := strings.ToLower(q.Host)
		t.hosts[host] = append(t.hosts[host], q)
	}
	for _, s := range c.Services {
		t.spare[s.Name] = s.Spare
		t.services = append(t.services, s.Name)
	}
	return t
}

// find returns the queue with the longest prefix that the path begins with.
func (t *routeTable) find(host, path string) (wigeonstep.Queue, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	var best wigeonstep.Queue
	found := false
	for _, q := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, q.PathPrefix) && (!found || len(q.PathPrefix) > len(best.PathPrefix)) {
			best, found = q, true
		}
	}
	return best, found
}
