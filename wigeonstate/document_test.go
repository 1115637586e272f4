package wigeonstate_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
)

// Guards against two operators whose concurrent changes of a document are both reported as accepted.
func TestDocumentRace(t *testing.T) {
	f := newFixture(t)
	f.openSessions()
	f.observe("orders", "a11")
	f.refuse(operator, documentEntry("d0", "orders", 1, document("orders", "orders", 1, 0)), "base version 1 is not current: the service has no document, its base version is 0")
	f.accept(operator, documentEntry("d1", "orders", 0, document("orders", "orders", 1, 0)))
	f.refuse(operator, documentEntry("d2", "orders", 0, document("orders", "orders", 2, 1)),
		`base version 0 is not current: version 1 was accepted from op-d1 at 1970-01-01T00:16:40Z \(change d1\); they differ in `+
			`availability.max_unavailable_per_rack: in force 0, refused 1, availability.max_unavailable_workers: in force 1, refused 2`)
	f.accept(operator, documentEntry("d3", "orders", 1, document("orders", "orders", 2, 1)))
	service := f.state.View().Services["orders"]
	f.c.Assert(service.Version, qt.Equals, wigeonstep.DocumentVersion(2))
	f.c.Assert(service.Operator, qt.Equals, "op-d3")
	won, ok := f.state.ChangeVerdict("d3")
	f.c.Assert(ok, qt.IsTrue)
	f.c.Assert(won.GetVersion(), qt.Equals, uint64(2))
	lost, _ := f.state.ChangeVerdict("d2")
	f.c.Assert(lost.GetAccepted(), qt.IsFalse)
	// A change that is sent again after its answer was lost keeps its first verdict.
	f.refuse(operator, documentEntry("d3", "orders", 2, document("orders", "orders", 2, 1)), "change d3 was judged before, at offset .*")
	again, _ := f.state.ChangeVerdict("d3")
	f.c.Assert(again.GetAccepted(), qt.IsTrue)
	f.c.Assert(f.state.Decisions("service", "orders"), qt.HasLen, 4)
}

// Guards against a document that is put in force although it is invalid or contradicts other documents or the fleet.
func TestDocumentChecks(t *testing.T) {
	tests := map[string]struct{ content, reason string }{
		"unknown key":    {strings.Replace(document("prices", "orders", 1, 0), "team:", "tem:", 1), `.*prices:2:1: tem: .*`},
		"other service":  {document("stock", "orders", 1, 0), `the document names service "stock" and the change service "prices"`},
		"unknown pool":   {document("prices", "nowhere", 1, 0), `.*platform has no pool "nowhere"`},
		"too many slots": {document("prices", "orders", 1, 0) + "share: {guaranteed_slots: 9}\n", `.*guarantee 9 slots together; the pool has 8`},
		"shared class":   {strings.Replace(document("prices", "orders", 1, 0), "team-prices", "team-orders", 1), `.*has a class "order" in service "orders" already.*`},
		"too long":       {strings.Repeat("#", 1<<17), "the document has 131072 bytes; at most 65536 are allowed"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.openSessions()
			f.observe("orders", "a11")
			f.accept(operator, documentEntry("d1", "orders", 0, document("orders", "orders", 1, 0)))
			f.refuse(operator, documentEntry("d2", "prices", 0, test.content), test.reason)
			f.c.Assert(f.state.View().Services, qt.HasLen, 1)
		})
	}
}

// Guards against a document with invalid UTF-8 whose text enters the state, where it would make every snapshot fail.
func TestDocumentThatIsNotUTF8(t *testing.T) {
	f := newFixture(t)
	f.openSessions()
	f.observe("orders", "a11")
	f.accept(operator, documentEntry("d1", "orders", 0, document("orders", "orders", 1, 0)))
	f.refuse(operator, documentEntry("d2", "orders", 1, "service: \xff\xfe\nteam: [\n"), ".+")
	f.refuse(operator, documentEntry("d3", "orders", 0, "service: \xff\xfe\n"), ".+")
	_, err := f.state.Encode()
	f.c.Assert(err, qt.IsNil)
}

// Guards against a request class without a route, and against a view that changes after it was returned.
func TestRoutes(t *testing.T) {
	f := newFixture(t)
	f.openSessions()
	f.observe("orders", "a11")
	f.accept(operator, documentEntry("d1", "orders", 0, document("orders", "orders", 1, 0)))
	before := f.state.View()
	route, ok := before.Route("team-orders", "bake")
	f.c.Assert(ok, qt.IsTrue)
	f.c.Assert(route.Class.Idempotent, qt.IsTrue)
	f.c.Assert(route.Service.Document.Pool, qt.Equals, wigeonstep.PoolName("orders"))
	_, ok = before.Route("team-orders", "none")
	f.c.Assert(ok, qt.IsFalse)
	// A later view shares the parts that have not changed.
	f.observe("orders", "a12")
	after := f.state.View()
	f.c.Assert(before.VMs, qt.HasLen, 1)
	f.c.Assert(after.VMs, qt.HasLen, 2)
	f.c.Assert(after.VMs["a11"], qt.Equals, before.VMs["a11"])
	same, _ := after.Route("team-orders", "bake")
	f.c.Assert(same, qt.Equals, route)
}

// Guards against a decision history that grows without bound.
func TestDecisionsAreBounded(t *testing.T) {
	f := newFixture(t)
	f.openSessions()
	for i := range 60 {
		f.accept(controlA, decisionEntry("orders", fmt.Sprint(i)))
	}
	decisions := f.state.Decisions("pool", "orders")
	f.c.Assert(decisions, qt.HasLen, 50)
	f.c.Assert(decisions[0].GetDecision().GetAction(), qt.Equals, "10")
}

// Guards against keys, jobs, verdicts and sessions that are removed too early or never.
func TestRetention(t *testing.T) {
	f := newFixture(t)
	f.openSessions()
	f.observe("orders", "a11")
	f.accept(operator, documentEntry("d1", "orders", 0, document("orders", "orders", 1, 0)))
	owner := uint64(f.state.View().Owner("k1").ID)
	f.accept(owner, intentEntry("k1"))
	f.accept(owner, acceptEntry("j1", "", "bake"))
	f.accept(owner, acceptEntry("j2", "", "bake"))
	f.accept(owner, cancelEntry("j2"))
	f.accept(entryB, closeEntry())
	f.advanceTime(24*time.Hour - time.Minute)
	_, known := f.state.Key("k1")
	f.c.Assert(known, qt.IsTrue)
	f.advanceTime(3 * time.Minute)
	_, known = f.state.Key("k1")
	f.c.Assert(known, qt.IsFalse)
	f.c.Assert(f.state.KeyCount(), qt.Equals, 0)
	_, known = f.state.Job("j2")
	f.c.Assert(known, qt.IsFalse)
	_, known = f.state.Job("j1")
	f.c.Assert(known, qt.IsTrue)
	_, known = f.state.ChangeVerdict("d1")
	f.c.Assert(known, qt.IsFalse)
	f.c.Assert(f.state.View().Services, qt.HasLen, 1)
	f.refuse(entryB, closeEntry(), "the session is not open")
}
