package wigeononce

import (
	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// Handover tells when a session that became ready may run callers' own keys. The zero value is ready for use.
//
// A session that joins takes partitions over from sessions whose lease still runs. Until such a session has folded the
// change, it believes to be the owner and may answer not_run at once. So the new owner runs no key before every other
// open session has reported an applied offset that covers the change, or has ended.
type Handover struct {
	session wigeonstep.SessionID
	// from is the first offset after a view in which the session was ready.
	from wigeonstep.Offset
	done bool
}

// Done reports whether no other session can still believe to own a partition of the session self. Once true it stays true for the session.
// applied returns the offset that a session reported to this process directly, zero when none; it is newer than the one on the log.
func (h *Handover) Done(view *wigeonstate.View, self wigeonstep.SessionID, applied func(wigeonstep.SessionID) wigeonstep.Offset) bool {
	if h.session != self {
		*h = Handover{session: self}
	}
	if h.done || self == 0 {
		return h.done
	}
	if h.from == 0 && !h.begin(view) {
		return false
	}
	for _, s := range view.Sessions {
		// A session that closes answers no more not_run from before it says so on the log.
		mayDecide := s.Role == wigeonwire.Role_ROLE_ENTRY && s.Ready && !s.Closing && !s.Expired && s.ID != self
		if mayDecide && max(s.AppliedOffset, applied(s.ID))+1 < h.from {
			return false
		}
	}
	h.done = true
	return true
}

func (h *Handover) begin(view *wigeonstate.View) bool {
	for _, s := range view.Sessions {
		if s.ID == h.session && s.Ready && !s.Expired {
			h.from = view.Next
			return true
		}
	}
	return false
}
