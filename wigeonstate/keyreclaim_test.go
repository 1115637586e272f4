package wigeonstate_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// Guards against a key that cannot be used again although the process that held its intent reported that it did not
// run, and against a key that is released by another process or after another outcome.
func TestKeyThatDidNotRunIsClaimedAgain(t *testing.T) {
	f := newFixture(t)
	f.openSessions()
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
	qt.Assert(t, f.state.KeyCount(), qt.Equals, 1)
}

// Guards against a key that is removed 24 h after its first intent although a second intent was accepted since.
func TestRetentionOfReclaimedKey(t *testing.T) {
	f := newFixture(t)
	f.openSessions()
	owner := uint64(f.state.View().Owner("a").ID)
	f.accept(owner, intentEntry("a"))
	f.accept(owner, outcomeEntry("a", wigeonwire.Outcome_OUTCOME_NOT_RUN))
	f.advanceTime(23 * time.Hour)
	f.accept(owner, intentEntry("a"))
	f.advanceTime(2 * time.Hour)
	_, known := f.state.Key("a")
	qt.Assert(t, known, qt.IsTrue)
	f.advanceTime(23 * time.Hour)
	_, known = f.state.Key("a")
	qt.Assert(t, known, qt.IsFalse)
}
