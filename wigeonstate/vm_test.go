package wigeonstate_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	inService = wigeonwire.Phase_PHASE_IN_SERVICE
	draining  = wigeonwire.Phase_PHASE_DRAINING
	drained   = wigeonwire.Phase_PHASE_DRAINED
	rebooting = wigeonwire.Phase_PHASE_REBOOTING
	verifying = wigeonwire.Phase_PHASE_VERIFYING
	failed    = wigeonwire.Phase_PHASE_FAILED
	gone      = wigeonwire.Phase_PHASE_GONE
)

// Guards against a drain that exceeds the budget of a service, because a VM that is unavailable for another reason is
// not counted.
func TestBudget(t *testing.T) {
	disruptions := map[string]func(f *fixture){
		"draining": func(f *fixture) { f.accept(controlA, f.transitionTo("a11", draining)) },
		"failed":   func(f *fixture) { f.accept(controlA, f.transitionTo("a11", failed)) },
		"verifying": func(f *fixture) {
			f.accept(controlA, f.transitionTo("a11", failed))
			f.accept(controlA, f.transitionTo("a11", verifying))
		},
		"leaving": func(f *fixture) {
			entry := observeEntry("a11", "orders")
			entry.GetVmObserve().Leaving = true
			f.accept(controlA, entry)
		},
		"data centre without control": func(f *fixture) { f.accept(controlB, closeEntry()) },
	}
	for name, disrupt := range disruptions {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.openSessions()
			f.observe("orders", "a11", "a12", "a21", "b11")
			f.accept(operator, documentEntry("d1", "orders", 0, document("orders", "orders", 1, 0)))
			f.accept(operator, documentEntry("d2", "prices", 0, document("prices", "orders", 3, 0)))
			disrupt(f)
			f.refuse(controlA, f.transitionTo("a21", draining), "service orders allows 1 unavailable workers; with this drain 2 of 4 would be")
		})
	}
}

// Guards against a drain that exceeds the budget of a rack, and against racks of different data centres that share a
// budget.
func TestBudgetOfRack(t *testing.T) {
	f := newFixture(t)
	f.openSessions()
	f.observe("orders", "a11", "a12", "a21", "b11")
	f.accept(operator, documentEntry("d1", "orders", 0, document("orders", "orders", 3, 1)))
	f.accept(controlA, f.transitionTo("a11", draining))
	f.refuse(controlA, f.transitionTo("a12", draining), "service orders allows 1 unavailable workers in a rack.*")
	f.accept(controlA, f.transitionTo("a21", draining))
	// A rack of the same name in another data centre is another failure domain.
	f.accept(controlB, f.transitionTo("b11", draining))
}

// Guards against two control daemons that propose drains concurrently, each within the budget but not both together.
func TestBudgetIsGrantedOnce(t *testing.T) {
	f := newFixture(t)
	f.openSessions()
	f.observe("orders", "a11", "b11")
	f.accept(operator, documentEntry("d1", "orders", 0, document("orders", "orders", 1, 0)))
	first, second := f.transitionTo("a11", draining), f.transitionTo("b11", draining)
	f.accept(controlA, first)
	f.refuse(controlB, second, "service orders allows 1 .*")
}

// Guards against a VM that becomes drained, and can then be assigned to another pool, while an entry process still uses it.
func TestDrainBarrier(t *testing.T) {
	tests := map[string]struct {
		do     func(f *fixture)
		reason string
	}{
		"not reported": {func(f *fixture) { f.renew(entryB) }, "session 00000000000000a1 has not applied the drain at offset .*"},
		"busy":         {func(f *fixture) { f.renew(entryB); f.renew(entryA, "a11") }, "session 00000000000000a1 has requests in flight on the VM"},
		"reported":     {func(f *fixture) { f.renew(entryB); f.renew(entryA) }, ""},
		"new session without a renewal": {func(f *fixture) {
			f.renew(entryB)
			f.renew(entryA)
			f.open(0xa3, wigeonwire.Role_ROLE_ENTRY, "b")
		}, "session 00000000000000a3 has not applied.*"},
		"expired here": {func(f *fixture) {
			f.renew(entryB)
			f.accept(controlA, expireEntry(entryA, 1))
		}, "session 00000000000000a1 of this data centre expired without a clean close.*"},
		"expired elsewhere": {func(f *fixture) {
			f.renew(entryA)
			f.accept(controlA, expireEntry(entryB, 1))
		}, ""},
		"expired after its report": {func(f *fixture) {
			f.renew(entryB)
			f.renew(entryA)
			f.accept(controlA, expireEntry(entryA, 2))
		}, ""},
		"expired and its port bound again": {func(f *fixture) {
			f.renew(entryB)
			f.accept(controlA, expireEntry(entryA, 1))
			f.accept(0xa4, openEntry(wigeonwire.Role_ROLE_ENTRY, "a", "127.0.0.1:161"))
			f.renew(0xa4)
		}, ""},
		"expired and its VM gone": {func(f *fixture) {
			f.renew(entryB)
			f.accept(controlA, expireEntry(entryA, 1))
			entry := observeEntry("a11", "entry")
			entry.GetVmObserve().Vm = "vm-127.0.0.1:161"
			f.accept(controlA, entry)
			f.accept(controlA, f.transitionTo("vm-127.0.0.1:161", gone))
		}, ""},
		"closed": {func(f *fixture) { f.renew(entryB); f.accept(entryA, closeEntry()) }, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.openSessions()
			f.observe("orders", "a11")
			f.accept(controlA, f.transitionTo("a11", draining))
			test.do(f)
			f.refuse(controlA, f.transitionTo("a11", drained), test.reason)
		})
	}
}

// Guards against a transition that is not permitted, is based on an old epoch, or is proposed by a session that may not.
func TestTransitions(t *testing.T) {
	f := newFixture(t)
	f.openSessions()
	f.observe("orders", "a11", "b11")
	f.accept(controlA, &wigeonwire.Entry{Body: &wigeonwire.Entry_PoolObserve{PoolObserve: &wigeonwire.PoolObserve{Pools: []string{"prices", "orders"}}}})
	f.refuse(controlA, f.transitionTo("a11", drained), "a VM does not change from in_service to drained")
	f.refuse(controlB, f.transitionTo("a11", draining), `the VM is in data centre "a" and the session in "b"`)
	f.refuse(entryA, f.transitionTo("a11", draining), "only a control session may propose this")
	stale := f.transitionTo("a11", draining)
	f.accept(controlA, f.transitionTo("a11", draining))
	f.refuse(controlA, stale, "epoch .* is not the current one, .*")
	assign := f.transitionTo("a11", inService)
	assign.GetVmTransition().Pool = "prices"
	f.refuse(controlA, assign, "a VM changes its pool only from drained to in_service")
	f.renew(entryA)
	f.renew(entryB)
	f.accept(controlA, f.transitionTo("a11", drained))
	assign = f.transitionTo("a11", inService)
	assign.GetVmTransition().Pool = "nowhere"
	f.refuse(controlA, assign, `pool "nowhere" is not known`)
	assign.GetVmTransition().Pool = "prices"
	f.accept(controlA, assign)
	f.c.Assert(string(f.vm("a11").Pool), qt.Equals, "prices")
	f.c.Assert(f.state.View().Pools["orders"], qt.HasLen, 1)
	explained := f.state.Decisions("vm", "a11")
	f.c.Assert(explained, qt.HasLen, 9)
	f.c.Assert(explained[0].GetVerdict(), qt.Equals, "a VM does not change from in_service to drained")
	f.c.Assert(explained[8].GetDecision().GetAction(), qt.Equals, "assign to prices")
}

// Guards against a VM that joins the fleet again under its old id with an epoch that its worker has seen already.
func TestEpochOfReturnedVM(t *testing.T) {
	f := newFixture(t)
	f.openSessions()
	f.observe("orders", "a11")
	f.accept(controlA, f.transitionTo("a11", failed))
	last := f.vm("a11").Epoch
	f.accept(controlA, f.transitionTo("a11", gone))
	f.observe("orders", "a11")
	f.c.Assert(f.vm("a11").Epoch > last+1, qt.IsTrue)
}

// Guards against two concurrent waves of a pool, and against a VM that counts as done without a reboot or is maintained
// twice in a wave.
func TestWave(t *testing.T) {
	f := newFixture(t)
	f.openSessions()
	f.observe("orders", "a11", "b11")
	wave := &wigeonwire.Entry{Body: &wigeonwire.Entry_WaveStart{WaveStart: &wigeonwire.WaveStart{Wave: "w1", Pool: "orders"}}}
	f.accept(controlA, wave)
	f.refuse(controlB, wave, "the wave has no id or is known")
	other := &wigeonwire.Entry{Body: &wigeonwire.Entry_WaveStart{WaveStart: &wigeonwire.WaveStart{Wave: "w2", Pool: "orders"}}}
	f.refuse(controlB, other, "wave w1 of the pool has not ended")
	drain := func() *wigeonwire.Entry {
		entry := f.transitionTo("a11", draining)
		entry.GetVmTransition().Wave = "w1"
		return entry
	}
	f.accept(controlA, drain())
	f.accept(controlA, f.transitionTo("a11", inService))
	f.c.Assert(f.state.View().Waves[0].DoneVMs, qt.Equals, 0)
	f.accept(controlA, drain())
	f.renew(entryA)
	f.renew(entryB)
	for _, phase := range []wigeonwire.Phase{drained, rebooting, verifying, inService} {
		f.accept(controlA, f.transitionTo("a11", phase))
	}
	f.c.Assert(string(f.vm("a11").LastWave), qt.Equals, "w1")
	f.c.Assert(f.state.View().Waves[0].DoneVMs, qt.Equals, 1)
	f.c.Assert(f.state.View().Waves[0].TotalVMs, qt.Equals, 2)
	f.refuse(controlA, drain(), "the VM is done in wave w1")
	f.accept(controlB, &wigeonwire.Entry{Body: &wigeonwire.Entry_WaveEnd{WaveEnd: &wigeonwire.WaveEnd{Wave: "w1"}}})
	f.c.Assert(f.state.View().Waves, qt.HasLen, 0)
	f.accept(controlB, other)
}

// Guards against a pool that loses all its VMs one move at a time. The disruption budget does not prevent that, because
// a VM that has moved to another pool no longer counts as unavailable.
func TestPoolKeepsRequestedWorkers(t *testing.T) {
	f := newFixture(t)
	f.openSessions()
	f.observe("orders", "a11", "a12", "a21", "a22", "b11")
	f.accept(operator, documentEntry("d1", "orders", 0, document("orders", "orders", 2, 0)))
	give := func(id string) *wigeonwire.Entry {
		f.accept(controlA, f.transitionTo(id, draining))
		f.renew(entryA)
		f.renew(entryB)
		f.accept(controlA, f.transitionTo(id, drained))
		entry := f.transitionTo(id, wigeonwire.Phase_PHASE_IN_SERVICE)
		entry.GetVmTransition().Pool = "spare"
		return entry
	}
	f.accept(controlA, give("a11"))
	f.refuse(controlA, give("a12"), "service orders asks for 4 workers of pool orders; without this one 3 would be left")
	f.accept(controlA, f.transitionTo("a12", wigeonwire.Phase_PHASE_IN_SERVICE))
}

// Guards against a leaving VM that cannot drain because the budget counts it twice: as leaving and as draining.
func TestDrainOfLeavingVMUsesNoBudget(t *testing.T) {
	f := newFixture(t)
	f.openSessions()
	f.observe("orders", "a11", "a12", "a21", "b11")
	f.accept(operator, documentEntry("d1", "orders", 0, document("orders", "orders", 1, 0)))
	f.accept(controlA, f.transitionTo("a12", failed))
	entry := observeEntry("a11", "orders")
	entry.GetVmObserve().Leaving = true
	f.accept(controlA, entry)
	f.accept(controlA, f.transitionTo("a11", draining))
	f.refuse(controlA, f.transitionTo("a21", draining), "service orders allows 1 unavailable workers; with this drain 3 of 4 would be")
}
