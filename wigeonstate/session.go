package wigeonstate

import (
	"fmt"
	"maps"
	"slices"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// session is what the fold holds of a session. view is replaced, never written, because views share it.
type session struct {
	view     *Session
	opened   wigeonstep.Offset
	sequence uint64
	status   wigeonwire.SessionStatus
	endedMS  int64
}

// open reports whether the session may propose. It is false for a nil session.
func (s *session) open() bool {
	return s != nil && s.status == wigeonwire.SessionStatus_SESSION_STATUS_OPEN
}

// closed reports whether the process is known to use nothing any more.
func (s *session) closed() bool {
	return s.status == wigeonwire.SessionStatus_SESSION_STATUS_CLOSED
}

// owns reports whether the session takes part in the ownership of partitions.
func (s *session) owns() bool {
	return s.open() && s.view.Role == wigeonwire.Role_ROLE_ENTRY && s.view.Ready && !s.view.Closing
}

// sameProcess reports whether both sessions were opened with the same role and peer address, which a port bound once proves to be one place.
func (s *session) sameProcess(other *session) bool {
	return s != nil && other != nil && s.view.Role == other.view.Role &&
		s.view.PeerAddress != "" && s.view.PeerAddress == other.view.PeerAddress
}

func (s *State) openSession(batch *wigeonwire.Batch, open *wigeonwire.SessionOpen, r *record) string {
	id := wigeonstep.SessionID(batch.GetSession())
	if r.session != nil {
		return "the session was opened before"
	}
	if open.GetRole() == wigeonwire.Role_ROLE_UNSPECIFIED {
		return "the session has no role"
	}
	opened := &session{
		view: &Session{
			ID:          id,
			Role:        open.GetRole(),
			DataCentre:  wigeonstep.DataCentreName(open.GetDataCentre()),
			PeerAddress: open.GetPeerAddress(),
			VM:          wigeonstep.VMID(open.GetVm()),
		},
		opened:   r.offset,
		sequence: batch.GetSequence(),
		status:   wigeonwire.SessionStatus_SESSION_STATUS_OPEN,
	}
	for _, earlier := range s.sessions {
		if earlier.sameProcess(opened) && !earlier.closed() {
			s.endSession(earlier, wigeonwire.SessionStatus_SESSION_STATUS_CLOSED)
		}
	}
	s.sessions[id] = opened
	s.stale.sessions = true
	r.session = opened
	return ""
}

func (s *State) renewSession(renew *wigeonwire.SessionRenew, r record) string {
	before := r.session.view
	if renew.GetRenewal() <= before.LastRenewal {
		return fmt.Sprintf("renewal %d is not above the last one, %d", renew.GetRenewal(), before.LastRenewal)
	}
	after := *before
	after.LastRenewal = renew.GetRenewal()
	after.AppliedOffset = max(before.AppliedOffset, wigeonstep.Offset(renew.GetAppliedOffset()))
	after.Ready, after.Closing = renew.GetReady(), renew.GetClosing()
	after.BusyVMs = nil
	if len(renew.GetBusyVms()) > 0 {
		after.BusyVMs = make(map[wigeonstep.VMID]bool, len(renew.GetBusyVms()))
		for _, vm := range renew.GetBusyVms() {
			after.BusyVMs[wigeonstep.VMID(vm)] = true
		}
	}
	owned := r.session.owns()
	r.session.view = &after
	s.stale.sessions = true
	if owned != r.session.owns() {
		s.shareOut()
	}
	return ""
}

// expireSession is a compare-and-set on the last renewal, so that a renewal that came first wins.
func (s *State) expireSession(expire *wigeonwire.SessionExpire) string {
	target := s.sessions[wigeonstep.SessionID(expire.GetSession())]
	if !target.open() {
		return "the session to expire is not open"
	}
	if expire.GetLastRenewal() != target.view.LastRenewal {
		return fmt.Sprintf("the session was renewed: last renewal %d, expected %d", target.view.LastRenewal, expire.GetLastRenewal())
	}
	status := wigeonwire.SessionStatus_SESSION_STATUS_EXPIRED
	if _, gone := s.gone[target.view.VM]; gone {
		status = wigeonwire.SessionStatus_SESSION_STATUS_CLOSED
	}
	return s.endSession(target, status)
}

func (s *State) endSession(ended *session, status wigeonwire.SessionStatus) string {
	owned := ended.owns()
	if ended.endedMS == 0 {
		ended.endedMS = s.timeMS
	}
	ended.status = status
	if status == wigeonwire.SessionStatus_SESSION_STATUS_EXPIRED {
		after := *ended.view
		after.Expired = true
		ended.view = &after
	}
	s.stale.sessions = true
	if owned {
		s.shareOut()
	}
	return ""
}

// closeSessionsOn closes the sessions of an entry VM that is gone: their processes cannot run any more.
func (s *State) closeSessionsOn(vm wigeonstep.VMID) {
	for _, session := range s.sessions {
		if session.view.VM == vm && session.status == wigeonwire.SessionStatus_SESSION_STATUS_EXPIRED {
			s.endSession(session, wigeonwire.SessionStatus_SESSION_STATUS_CLOSED)
		}
	}
}

// controlled returns the data centres that have an open control session.
func (s *State) controlled() map[wigeonstep.DataCentreName]bool {
	centres := make(map[wigeonstep.DataCentreName]bool)
	for _, session := range s.sessions {
		if session.open() && session.view.Role == wigeonwire.Role_ROLE_CONTROL {
			centres[session.view.DataCentre] = true
		}
	}
	return centres
}

// requireControl returns why the session may not change the fleet, or nothing for a control session.
func (s *session) requireControl() string {
	if s.view.Role != wigeonwire.Role_ROLE_CONTROL {
		return "only a control session may propose this"
	}
	return ""
}

// sortedSessions returns the sessions in the order of their ids.
func (s *State) sortedSessions() []*session {
	ids := slices.Sorted(maps.Keys(s.sessions))
	sorted := make([]*session, len(ids))
	for i, id := range ids {
		sorted[i] = s.sessions[id]
	}
	return sorted
}

// OpenSession reports whether the session is open, and the sequence number of its last folded batch.
func (s *State) OpenSession(id wigeonstep.SessionID) (sequence uint64, open bool) {
	known := s.sessions[id]
	if known == nil {
		return 0, false
	}
	return known.sequence, known.open()
}
