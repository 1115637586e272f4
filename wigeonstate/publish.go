package wigeonstate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// View returns the immutable picture of the state. Parts that did not change are shared with earlier views.
func (s *State) View() *View {
	s.init()
	if s.view != nil && s.view.Next == s.next && s.stale == (staleParts{}) {
		return s.view
	}
	view := &View{}
	if s.view != nil {
		*view = *s.view
	}
	view.Next, view.Time = s.next, s.now()
	if s.stale.sessions {
		view.Sessions = s.viewSessions()
	}
	if s.stale.sessions || s.stale.owners || view.owners == nil {
		view.owners = s.viewOwners()
	}
	if s.stale.vms {
		view.VMs = maps.Clone(s.vms)
		view.Pools = maps.Clone(s.members)
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
	owners := new([Partitions]*Session)
	for p, id := range s.owners {
		if id != 0 {
			owners[p] = s.sessions[id].view
		}
	}
	return owners
}

func (s *State) viewServices() (map[wigeonstep.ServiceName]*Service, map[route]*Route) {
	services := make(map[wigeonstep.ServiceName]*Service, len(s.services))
	routes := make(map[route]*Route, len(s.services))
	for name, service := range s.services {
		services[name] = service.view
		document := service.view.Document
		for i := range document.Classes {
			class := &document.Classes[i]
			routes[route{team: document.Team, class: class.Name}] = &Route{Service: service.view, Class: class}
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
			ID:      id,
			Pool:    wigeonstep.PoolName(wave.GetPool()),
			Started: time.UnixMilli(wave.GetStartedUnixMs()).UTC(),
			Done:    int(wave.GetDone()),
			Total:   int(wave.GetTotal()),
		})
	}
	slices.SortFunc(waves, func(a, b *Wave) int { return cmp.Compare(a.ID, b.ID) })
	return waves
}

// Change returns the verdict on a document change.
func (s *State) Change(change wigeonstep.ChangeID) (*wigeonwire.ChangeVerdict, bool) {
	verdict, ok := s.changes[change]
	return verdict, ok
}
