package wigeonstate_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// Guards against closed operator sessions that stay in the state, 14,000 a day at the target size, and slow down the code that
// iterates over all sessions, such as the building of views and the drain check.
func TestClosedOperatorSessionRetention(t *testing.T) {
	f := newFixture(t)
	f.openSessions()
	f.observe("orders", "a11")
	f.accept(operator, documentEntry("d1", "orders", 0, document("orders", "orders", 1, 0)))
	f.accept(operator, closeEntry())
	f.advanceTime(12 * time.Minute)
	encoded, err := f.state.Encode()
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(encodedSessionIDs(f, encoded), qt.Not(qt.Contains), uint64(operator))
	// The document stays in force after the session was removed, and its change is not applied a second time.
	f.c.Assert(f.state.View().Services, qt.HasLen, 1)
	f.open(operator+1, wigeonwire.Role_ROLE_OPERATOR, "a")
	f.refuse(operator+1, documentEntry("d1", "orders", 0, document("orders", "orders", 1, 0)), "change d1 was judged before.*")
}

func encodedSessionIDs(f *fixture, encoded []byte) []uint64 {
	var state wigeonwire.State
	f.c.Assert(proto.Unmarshal(encoded, &state), qt.IsNil)
	var ids []uint64
	for _, s := range state.GetSessions() {
		ids = append(ids, s.GetSession())
	}
	return ids
}
