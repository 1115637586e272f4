package wigeonstate

import (
	"fmt"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// acceptIntent accepts an intent only from the owner of the key's partition and only for a key that has none, or whose
// holder proved that it did not run.
func (s *State) acceptIntent(intent *wigeonwire.Intent, r record) string {
	return s.claimKey(intent.GetKey(), keyEntry{
		request: intent.GetRequestHash(),
	}, keyNames{team: intent.GetTeam(), class: intent.GetClass(), service: intent.GetService()}, r)
}

// claimKey records the key for the session unless it is taken or owned by another session.
func (s *State) claimKey(key string, entry keyEntry, names keyNames, r record) string {
	if key == "" {
		return "the key is empty"
	}
	if owner := s.owner(key); owner != r.session.view.ID {
		return fmt.Sprintf("partition %d of the key is owned by session %s", PartitionOf(wigeonstep.Key(key)), owner)
	}
	id := keyIDOf(key)
	earlier := s.keys.find(id)
	if earlier != nil && earlier.outcome() != wigeonwire.Outcome_OUTCOME_NOT_RUN {
		return fmt.Sprintf("the key has an intent of session %s at offset %d", wigeonstep.SessionID(earlier.session), earlier.offset)
	}
	entry.id = id
	entry.session = uint64(r.session.view.ID)
	entry.offset = uint64(r.offset)
	entry.atS = uint32(s.timeMS / 1000)
	if earlier != nil {
		s.keys.claimAgain(earlier, entry)
		return ""
	}
	s.keys.add(entry, names)
	return ""
}

// endKey records the outcome of a key once. The process that holds the intent reports any outcome;
// the owner of the partition reports unknown for a session that is not open.
func (s *State) endKey(end *wigeonwire.KeyOutcome, r record) string {
	entry := s.keys.find(keyIDOf(end.GetKey()))
	if entry == nil {
		return "the key has no intent"
	}
	if entry.outcome() != wigeonwire.Outcome_OUTCOME_UNSPECIFIED {
		return "the key has an outcome"
	}
	if end.GetOutcome() <= wigeonwire.Outcome_OUTCOME_UNSPECIFIED || end.GetOutcome() > wigeonwire.Outcome_OUTCOME_ACCEPTED {
		return "the outcome is not known"
	}
	holder := s.sessions[wigeonstep.SessionID(entry.session)]
	if entry.session != uint64(r.session.view.ID) && !holder.sameProcess(r.session) {
		successor := !holder.open() && s.owner(end.GetKey()) == r.session.view.ID
		if !successor || end.GetOutcome() != wigeonwire.Outcome_OUTCOME_UNKNOWN {
			return fmt.Sprintf("the intent is of session %s", wigeonstep.SessionID(entry.session))
		}
	}
	entry.setOutcome(end.GetOutcome())
	return ""
}
