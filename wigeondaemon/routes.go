package wigeondaemon

import (
	"strings"

	"github.com/wigeonstep/wigeonstep"
)

// routeTable matches requests to queues. It is immutable.
type routeTable struct {
	version      wigeonstep.ConfigVersion
	queuesByHost map[string][]wigeonstep.Queue
	spare        map[wigeonstep.ServiceName]bool
	// services holds the names in the order of the configuration.
	services []wigeonstep.ServiceName
	teams    []wigeonstep.Team
	// clientLimits bounds the requests of clients.
	clientLimits wigeonstep.ClientLimits
}

func newRouteTable(c *wigeonstep.Configuration) *routeTable {
	t := &routeTable{version: c.Version, queuesByHost: map[string][]wigeonstep.Queue{}, spare: map[wigeonstep.ServiceName]bool{}, teams: c.Teams, clientLimits: c.ClientLimits}
	for _, q := range c.Queues {
		host := strings.ToLower(q.Host)
		t.queuesByHost[host] = append(t.queuesByHost[host], q)
	}
	for _, s := range c.Services {
		t.spare[s.Name] = s.Spare
		t.services = append(t.services, s.Name)
	}
	return t
}

// match returns the queue of the host with the longest prefix of the path. The port of the host is ignored.
func (t *routeTable) match(host, path string) (wigeonstep.Queue, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	var best wigeonstep.Queue
	found := false
	for _, q := range t.queuesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, q.PathPrefix) && (!found || len(q.PathPrefix) > len(best.PathPrefix)) {
			best, found = q, true
		}
	}
	return best, found
}
