package wigeonstate_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// Guards against 14,000 closed sessions of operators a day that every view and every drain goes through.
func TestClosedOperatorsAreForgottenSoon(t *testing.T) {
	f := newFold(t)
	f.start()
	f.observe("orders", "a11")
	f.accept(operator, documentEntry("d1", "orders", 0, document("orders", "orders", 1, 0)))
	f.accept(operator, closeEntry())
	f.advance(12 * time.Minute)
	encoded, err := f.state.Encode()
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(sessionsIn(f, encoded), qt.Not(qt.Contains), uint64(operator))
	// The document outlives the session, and the change is not judged a second time.
	f.c.Assert(f.state.View().Services, qt.HasLen, 1)
	f.open(operator+1, wigeonwire.Role_ROLE_OPERATOR, "a")
	f.refuse(operator+1, documentEntry("d1", "orders", 0, document("orders", "orders", 1, 0)), "change d1 was judged before.*")
}

func sessionsIn(f *fold, encoded []byte) []uint64 {
	var state wigeonwire.State
	f.c.Assert(proto.Unmarshal(encoded, &state), qt.IsNil)
	var ids []uint64
	for _, s := range state.GetSessions() {
		ids = append(ids, s.GetSession())
	}
	return ids
}
