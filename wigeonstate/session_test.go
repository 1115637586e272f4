package wigeonstate_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// Guards against a batch that is applied twice, because it was appended again after the answer to the first append was
// lost.
func TestDuplicateBatch(t *testing.T) {
	f := newFixture(t)
	f.openSessions()
	f.observe("orders", "a11")
	drain := &wigeonwire.Batch{Session: controlA, Sequence: 90, AtUnixMs: 1, Entries: []*wigeonwire.Entry{f.transitionTo("a11", draining)}}
	f.c.Assert(f.applyBatch(drain)[0].Accepted, qt.IsTrue)
	f.c.Assert(f.applyBatch(drain), qt.IsNil)
	drain.Sequence = 89
	f.c.Assert(f.applyBatch(drain), qt.IsNil)
	_, duplicates := f.state.SkippedRecords()
	f.c.Assert(duplicates, qt.Equals, uint64(2))
}

// Guards against a duplicate of a batch that opens a session, which opens the session again after it was closed.
func TestDuplicateOpenAfterClose(t *testing.T) {
	f := newFixture(t)
	open := &wigeonwire.Batch{Session: 7, Sequence: 1, AtUnixMs: 1, Entries: []*wigeonwire.Entry{openEntry(wigeonwire.Role_ROLE_ENTRY, "a", "x:1")}}
	f.c.Assert(f.applyBatch(open)[0].Accepted, qt.IsTrue)
	f.sequences[7] = 1
	f.accept(7, closeEntry())
	f.c.Assert(f.applyBatch(open), qt.IsNil)
	f.refuse(7, openEntry(wigeonwire.Role_ROLE_ENTRY, "a", "x:1"), "the session was opened before")
	f.refuse(7, f.renewEntry(7), "the session is not open")
}

// Guards against the expiry of a session that was renewed after the proposing process last saw it.
func TestExpireIsCompareAndSet(t *testing.T) {
	f := newFixture(t)
	f.openSessions()
	f.renew(entryA)
	f.refuse(controlB, expireEntry(entryA, 1), "the session was renewed: last renewal 2, expected 1")
	f.accept(controlB, expireEntry(entryA, 2))
	f.refuse(controlA, expireEntry(entryA, 2), "the session to expire is not open")
	f.refuse(entryA, f.renewEntry(entryA), "the session is not open")
	f.c.Assert(f.state.View().Sessions[0].Expired, qt.IsTrue)
}

// Guards against a process with a wrong clock that advances the fold time far enough to expire all keys, or sets it back.
func TestFoldTime(t *testing.T) {
	f := newFixture(t)
	f.openSessions()
	began := f.state.View().FoldTime
	f.nowMS += 1_000_000_000
	f.renew(entryA)
	f.c.Assert(f.state.View().FoldTime.Sub(began).Seconds(), qt.Equals, 5.0)
	f.nowMS = 1
	f.renew(entryA)
	f.c.Assert(f.state.View().FoldTime.Sub(began).Seconds(), qt.Equals, 5.0)
}

// Guards against a record that cannot be decoded and is not counted and skipped.
func TestUnreadableRecords(t *testing.T) {
	f := newFixture(t)
	noSession, err := proto.Marshal(&wigeonwire.Batch{Sequence: 1, Entries: []*wigeonwire.Entry{closeEntry()}})
	f.c.Assert(err, qt.IsNil)
	for i, payload := range [][]byte{[]byte("garbage"), nil, noSession} {
		f.c.Assert(f.state.Apply(wigeonstep.Offset(i), payload), qt.IsNil)
	}
	unreadable, _ := f.state.SkippedRecords()
	f.c.Assert(unreadable, qt.Equals, uint64(3))
	f.c.Assert(f.state.NextOffset(), qt.Equals, wigeonstep.Offset(3))
}

// Guards against two processes that run the request of the same key, concurrently or one after the other.
func TestIntent(t *testing.T) {
	f := newFixture(t)
	f.openSessions()
	owner := uint64(f.state.View().Owner("k1").ID)
	other := entryA + entryB - owner
	f.refuse(other, intentEntry("k1"), "partition .* of the key is owned by session .*")
	f.accept(owner, intentEntry("k1"))
	f.refuse(owner, intentEntry("k1"), "the key has an intent of session .*")
	f.accept(controlA, expireEntry(owner, 1))
	f.c.Assert(uint64(f.state.View().Owner("k1").ID), qt.Equals, other)
	f.refuse(owner, intentEntry("k2"), "the session is not open")
	f.refuse(other, intentEntry("k1"), "the key has an intent of session .*")

	done := outcomeEntry("k1", wigeonwire.Outcome_OUTCOME_DONE)
	f.refuse(other, done, "the intent is of session .*")
	f.accept(other, outcomeEntry("k1", wigeonwire.Outcome_OUTCOME_UNKNOWN))
	key, ok := f.state.Key("k1")
	f.c.Assert(ok, qt.IsTrue)
	f.c.Assert(key.GetSession(), qt.Equals, owner)
	f.c.Assert(key.GetOutcome(), qt.Equals, wigeonwire.Outcome_OUTCOME_UNKNOWN)
	f.c.Assert(key.GetTeam(), qt.Equals, "shop")
}

// Guards against a closing session that still owns partitions, whose keys no other process could then serve.
func TestClosingSessionOwnsNoPartitions(t *testing.T) {
	f := newFixture(t)
	f.openSessions()
	f.accept(entryA, renewEntry(&wigeonwire.SessionRenew{Renewal: 2, Ready: true, Closing: true}))
	for _, key := range []wigeonstep.IdempotencyKey{"k1", "k2", "k3", "k4", "k5", "k6"} {
		f.c.Assert(f.state.View().Owner(key).ID, qt.Equals, wigeonstep.SessionID(entryB))
	}
	f.accept(entryB, closeEntry())
	f.c.Assert(f.state.View().Owner("k1"), qt.IsNil)
}

func outcomeEntry(key string, outcome wigeonwire.Outcome) *wigeonwire.Entry {
	return &wigeonwire.Entry{Body: &wigeonwire.Entry_KeyOutcome{KeyOutcome: &wigeonwire.KeyOutcome{Key: key, Outcome: outcome}}}
}
