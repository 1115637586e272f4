package wigeonstate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// View returns an immutable view of the state. It shares the parts that have not changed with earlier views.
func (s *State) View() *View {
	s.init()
	if s.view != nil && s.view.NextOffset == s.nextOffset && s.stale == (staleParts{}) {
		return s.view
	}
	view := &View{}
	if s.view != nil {
		*view = *s.view
	}
	view.NextOffset, view.FoldTime = s.nextOffset, s.now()
	if s.stale.sessions {
		view.Sessions = s.viewSessions()
	}
	if s.stale.sessions || s.stale.partitionOwners || view.partitionOwners == nil {
		view.partitionOwners = s.viewOwners()
	}
	if s.stale.vms {
		view.VMs = maps.Clone(s.vms)
		view.Pools = maps.Clone(s.poolMembers)
	}
	if s.stale.services {
		view.Services, view.routes = s.viewServices()
	}
	if s.stale.waves {
		view.Waves = s.viewWaves()
	}
	s.stale = staleParts{}
	s.view = view
	return view
}

func (s *State) viewSessions() []*Session {
	sessions := make([]*Session, 0, len(s.sessions))
	for _, session := range s.sessions {
		if !session.closed() {
			sessions = append(sessions, session.view)
		}
	}
	slices.SortFunc(sessions, func(a, b *Session) int { return cmp.Compare(a.ID, b.ID) })
	return sessions
}

func (s *State) viewOwners() *[Partitions]*Session {
	partitionOwners := new([Partitions]*Session)
	for p, id := range s.partitionOwners {
		if id != 0 {
			partitionOwners[p] = s.sessions[id].view
		}
	}
	return partitionOwners
}

func (s *State) viewServices() (map[wigeonstep.ServiceName]*Service, map[routeKey]*Route) {
	services := make(map[wigeonstep.ServiceName]*Service, len(s.services))
	routes := make(map[routeKey]*Route, len(s.services))
	for name, service := range s.services {
		services[name] = service.view
		document := service.view.Document
		for i := range document.Classes {
			class := &document.Classes[i]
			routes[routeKey{team: document.Team, class: class.Name}] = &Route{Service: service.view, Class: class}
		}
	}
	return services, routes
}

func (s *State) viewWaves() []*Wave {
	var waves []*Wave
	for id, wave := range s.waves {
		if wave.GetEnded() {
			continue
		}
		waves = append(waves, &Wave{
			ID:        id,
			Pool:      wigeonstep.PoolName(wave.GetPool()),
			StartedAt: time.UnixMilli(wave.GetStartedUnixMs()).UTC(),
			DoneVMs:   int(wave.GetDone()),
			TotalVMs:  int(wave.GetTotal()),
		})
	}
	slices.SortFunc(waves, func(a, b *Wave) int { return cmp.Compare(a.ID, b.ID) })
	return waves
}

// ChangeVerdict returns the verdict on a document change, and false when the change is not known.
func (s *State) ChangeVerdict(change wigeonstep.ChangeID) (*wigeonwire.ChangeVerdict, bool) {
	verdict, ok := s.changeVerdicts[change]
	return verdict, ok
}
