package wigeonstate

import (
	"fmt"
	"maps"
	"slices"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// session is the state of one session.
type session struct {
	// view is replaced on every change and never modified, because views share it.
	view *Session
	// opened is the offset of the record that opened the session.
	opened wigeonstep.Offset
	// lastSequence is the sequence number of the session's last batch. A batch with this or a lower number is a duplicate.
	lastSequence uint64
	status       wigeonwire.SessionStatus
	// endedAtMS is the fold time at which the session expired or was closed, zero while it is open.
	endedAtMS int64
}

// open reports whether entries of the session can be accepted. It is false for a nil session.
func (s *session) open() bool {
	return s != nil && s.status == wigeonwire.SessionStatus_SESSION_STATUS_OPEN
}

// closed reports whether the process is known to use no VM any more: it closed the session itself, a later process opened a
// session with its address, or it ran on a VM that left the fleet. The process of an expired session may still be running.
func (s *session) closed() bool {
	return s.status == wigeonwire.SessionStatus_SESSION_STATUS_CLOSED
}

// canOwnPartitions reports whether partitions are assigned to the session.
func (s *session) canOwnPartitions() bool {
	return s.open() && s.view.Role == wigeonwire.Role_ROLE_ENTRY && s.view.Ready && !s.view.Closing
}

// sameProcess reports whether both sessions were opened with the same role and peer address. Only one process at a time can
// be bound to a port, so the process of the earlier session either opened the later one too or has ended.
func (s *session) sameProcess(other *session) bool {
	return s != nil && other != nil && s.view.Role == other.view.Role &&
		s.view.PeerAddress != "" && s.view.PeerAddress == other.view.PeerAddress
}

// openSession opens the session of a batch and sets it in r for the remaining entries. Open and expired sessions with the
// same role and peer address are closed, because no other process can still run under them (sameProcess).
func (s *State) openSession(batch *wigeonwire.Batch, open *wigeonwire.SessionOpen, r *recordContext) string {
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
		opened:       r.offset,
		lastSequence: batch.GetSequence(),
		status:       wigeonwire.SessionStatus_SESSION_STATUS_OPEN,
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

// renewSession records a renewal, which reports the state of the process. Renewal numbers must rise; the applied offset
// never decreases.
func (s *State) renewSession(renew *wigeonwire.SessionRenew, r recordContext) string {
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
	owned := r.session.canOwnPartitions()
	r.session.view = &after
	s.stale.sessions = true
	if owned != r.session.canOwnPartitions() {
		s.assignPartitions()
	}
	return ""
}

// expireSession ends a session whose process did not renew it. It is a compare-and-set on the number of the last
// renewal, so a session that was renewed in the meantime does not expire. A session on a VM that left the fleet is
// closed instead, because its process cannot be running any more.
func (s *State) expireSession(expire *wigeonwire.SessionExpire) string {
	target := s.sessions[wigeonstep.SessionID(expire.GetSession())]
	if !target.open() {
		return "the session to expire is not open"
	}
	if expire.GetLastRenewal() != target.view.LastRenewal {
		return fmt.Sprintf("the session was renewed: last renewal %d, expected %d", target.view.LastRenewal, expire.GetLastRenewal())
	}
	status := wigeonwire.SessionStatus_SESSION_STATUS_EXPIRED
	if _, gone := s.goneAtMS[target.view.VM]; gone {
		status = wigeonwire.SessionStatus_SESSION_STATUS_CLOSED
	}
	return s.endSession(target, status)
}

// endSession sets the status of an ended session. An expired session can end a second time, as closed; the time of its
// first end stays.
func (s *State) endSession(ended *session, status wigeonwire.SessionStatus) string {
	owned := ended.canOwnPartitions()
	if ended.endedAtMS == 0 {
		ended.endedAtMS = s.foldTimeMS
	}
	ended.status = status
	if status == wigeonwire.SessionStatus_SESSION_STATUS_EXPIRED {
		after := *ended.view
		after.Expired = true
		ended.view = &after
	}
	s.stale.sessions = true
	if owned {
		s.assignPartitions()
	}
	return ""
}

// closeExpiredSessionsOn closes the expired sessions on a VM that left the fleet, because their processes cannot be running
// any more.
func (s *State) closeExpiredSessionsOn(vm wigeonstep.VMID) {
	for _, session := range s.sessions {
		if session.view.VM == vm && session.status == wigeonwire.SessionStatus_SESSION_STATUS_EXPIRED {
			s.endSession(session, wigeonwire.SessionStatus_SESSION_STATUS_CLOSED)
		}
	}
}

// controlledDataCentres returns the data centres that have an open control session.
func (s *State) controlledDataCentres() map[wigeonstep.DataCentreName]bool {
	centres := make(map[wigeonstep.DataCentreName]bool)
	for _, session := range s.sessions {
		if session.open() && session.view.Role == wigeonwire.Role_ROLE_CONTROL {
			centres[session.view.DataCentre] = true
		}
	}
	return centres
}

// requireControl returns the reason why the session may not change the fleet, or "" for a control session.
func (s *session) requireControl() string {
	if s.view.Role != wigeonwire.Role_ROLE_CONTROL {
		return "only a control session may propose this"
	}
	return ""
}

// sortedSessions returns the sessions sorted by id.
func (s *State) sortedSessions() []*session {
	ids := slices.Sorted(maps.Keys(s.sessions))
	sorted := make([]*session, len(ids))
	for i, id := range ids {
		sorted[i] = s.sessions[id]
	}
	return sorted
}

// SessionStatus reports whether the session is open, and returns the sequence number of its last applied batch. An unknown
// session is not open and has sequence number 0.
func (s *State) SessionStatus(id wigeonstep.SessionID) (lastSequence uint64, open bool) {
	known := s.sessions[id]
	if known == nil {
		return 0, false
	}
	return known.lastSequence, known.open()
}
