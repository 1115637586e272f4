package wigeondaemon

import (
	"strings"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonteam"
)

// routeTable matches requests to queues, and credentials to teams. It is immutable.
type routeTable struct {
	version      wigeonstep.ConfigVersion
	queuesByHost map[string][]wigeonstep.Queue
	spare        map[wigeonstep.ServiceName]bool
	// services holds the names in the order of the configuration.
	services []wigeonstep.ServiceName
	// directory holds the valid teams, and teamFaults the faults of the others.
	directory  *wigeonteam.Directory
	teamFaults []wigeonteam.Fault
	// listsTeams is set if the configuration lists teams, also if none of them is valid.
	listsTeams bool
	// record is the configuration as the operator wrote it, which peers may ask for. It holds the API keys of the teams, so it
	// must not reach a log, a metric or another record.
	record []byte
	// clientLimits bounds the requests of clients.
	clientLimits wigeonstep.ClientLimits
}

func newRouteTable(c *wigeonstep.Configuration) *routeTable {
	t := &routeTable{version: c.Version, queuesByHost: map[string][]wigeonstep.Queue{}, spare: map[wigeonstep.ServiceName]bool{}, listsTeams: len(c.Teams) > 0, clientLimits: c.ClientLimits}
	t.directory, t.teamFaults = wigeonteam.NewDirectory(c.Teams)
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
