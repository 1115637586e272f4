package wigeonstate

import (
	"fmt"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// acceptIntent records the intent of a session to run the request with an idempotency key.
func (s *State) acceptIntent(intent *wigeonwire.Intent, r recordContext) string {
	return s.claimKey(intent.GetKey(), keyEntry{
		requestHash: intent.GetRequestHash(),
	}, keyNames{team: intent.GetTeam(), class: intent.GetClass(), service: intent.GetService()}, r)
}

// claimKey records the key for the session. It refuses a session that does not own the key's partition, and a key that has
// an intent already, unless the outcome of that intent is not_run.
func (s *State) claimKey(key string, entry keyEntry, names keyNames, r recordContext) string {
	if key == "" {
		return "the key is empty"
	}
	if owner := s.owner(key); owner != r.session.view.ID {
		return fmt.Sprintf("partition %d of the key is owned by session %s", PartitionOf(wigeonstep.IdempotencyKey(key)), owner)
	}
	id := keyIDOf(key)
	existing := s.keys.find(id)
	if existing != nil && existing.outcome() != wigeonwire.Outcome_OUTCOME_NOT_RUN {
		return fmt.Sprintf("the key has an intent of session %s at offset %d", wigeonstep.SessionID(existing.session), existing.offset)
	}
	entry.id = id
	entry.session = uint64(r.session.view.ID)
	entry.offset = uint64(r.offset)
	entry.acceptedS = uint32(s.foldTimeMS / 1000)
	if existing != nil {
		s.keys.reclaim(existing, entry)
		return ""
	}
	s.keys.add(entry, names)
	return ""
}

// recordKeyOutcome records the outcome of a key, which is set only once. The process that holds the intent may report any
// outcome. When the session of the intent is not open any more, the owner of the partition may report unknown.
func (s *State) recordKeyOutcome(report *wigeonwire.KeyOutcome, r recordContext) string {
	entry := s.keys.find(keyIDOf(report.GetKey()))
	if entry == nil {
		return "the key has no intent"
	}
	if entry.outcome() != wigeonwire.Outcome_OUTCOME_UNSPECIFIED {
		return "the key has an outcome"
	}
	if report.GetOutcome() <= wigeonwire.Outcome_OUTCOME_UNSPECIFIED || report.GetOutcome() > wigeonwire.Outcome_OUTCOME_ACCEPTED {
		return "the outcome is not known"
	}
	holder := s.sessions[wigeonstep.SessionID(entry.session)]
	if entry.session != uint64(r.session.view.ID) && !holder.sameProcess(r.session) {
		takenOver := !holder.open() && s.owner(report.GetKey()) == r.session.view.ID
		if !takenOver || report.GetOutcome() != wigeonwire.Outcome_OUTCOME_UNKNOWN {
			return fmt.Sprintf("the intent is of session %s", wigeonstep.SessionID(entry.session))
		}
	}
	entry.setOutcome(report.GetOutcome())
	return ""
}
