package wigeonstate_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// Guards against a key that stays unusable although its holder proved that it did not run, and against one that is freed
// by another process or after another outcome.
func TestWithdrawnKeyIsClaimedAgain(t *testing.T) {
	f := newFold(t)
	f.start()
	owner := uint64(f.state.View().Owner("a").ID)
	f.accept(owner, intentEntry("a"))
	f.refuse(owner, intentEntry("a"), ".*has an intent.*")
	for _, s := range f.state.View().Sessions {
		if uint64(s.ID) != owner {
			f.refuse(uint64(s.ID), outcomeEntry("a", wigeonwire.Outcome_OUTCOME_NOT_RUN), ".*the intent is of session.*")
		}
	}
	f.accept(owner, outcomeEntry("a", wigeonwire.Outcome_OUTCOME_NOT_RUN))
	f.accept(owner, intentEntry("a"))
	f.refuse(owner, intentEntry("a"), ".*has an intent.*")
	f.accept(owner, outcomeEntry("a", wigeonwire.Outcome_OUTCOME_DONE))
	f.refuse(owner, outcomeEntry("a", wigeonwire.Outcome_OUTCOME_NOT_RUN), ".*has an outcome.*")
	f.refuse(owner, intentEntry("a"), ".*has an intent.*")
	qt.Assert(t, f.state.Keys(), qt.Equals, 1)
}
