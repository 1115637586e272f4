package wigeononce

import (
	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// Handover tracks when a session that became ready may run callers' own keys. The zero value is ready for use.
//
// A session that becomes ready takes over partitions from sessions whose lease is still valid. Until such a session has
// folded the change, it regards itself as the owner and may answer not_run at once. The new owner therefore runs no key
// before every other ready session has reported an applied offset that covers the change, or is closing,
// closed or expired.
type Handover struct {
	session wigeonstep.SessionID
	// readyOffset is the next offset of the first view in which the session was ready, zero before.
	readyOffset wigeonstep.Offset
	done        bool
}

// Done updates the handover with the view and reports whether no other session can still regard itself as the owner of
// a partition of the session self. Once true, the result stays true for that session. applied returns the offset that a
// session reported to this process directly, zero when none; it may be newer than the one on the log.
func (h *Handover) Done(view *wigeonstate.View, self wigeonstep.SessionID, applied func(wigeonstep.SessionID) wigeonstep.Offset) bool {
	if h.session != self {
		*h = Handover{session: self}
	}
	if h.done || self == 0 {
		return h.done
	}
	if h.readyOffset == 0 && !h.recordReady(view) {
		return false
	}
	for _, s := range view.Sessions {
		// A closing session stops answering not_run before its closing state is on the log.
		mayAnswer := s.Role == wigeonwire.Role_ROLE_ENTRY && s.Ready && !s.Closing && !s.Expired && s.ID != self
		if mayAnswer && max(s.AppliedOffset, applied(s.ID))+1 < h.readyOffset {
			return false
		}
	}
	h.done = true
	return true
}

func (h *Handover) recordReady(view *wigeonstate.View) bool {
	for _, s := range view.Sessions {
		if s.ID == h.session && s.Ready && !s.Expired {
			h.readyOffset = view.NextOffset
			return true
		}
	}
	return false
}
