package wigeondaemon

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
)

// slowList is a machines' service whose lists are on their way until the test releases them.
type slowList struct {
	wigeonstep.MachineClient
	lists chan []wigeonstep.PooledVM
}

func (s *slowList) ListPooledVMs(context.Context) ([]wigeonstep.PooledVM, error) {
	return <-s.lists, nil
}

// listingFleet is a daemon that owns the fleet partition, at a time that the test sets.
type listingFleet struct {
	*Daemon
	sh       *shard
	now      time.Duration
	machines *slowList
}

func newListingFleet(t *testing.T, vms ...wigeonstep.PooledVM) *listingFleet {
	t.Helper()
	f := &listingFleet{machines: &slowList{lists: make(chan []wigeonstep.PooledVM, 1)}}
	f.Daemon = New(Config{
		Logger: zap.NewNop(), Machines: f.machines,
		Now: func() wigeonshard.Timestamp { return wigeonshard.Timestamp{Steady: f.now} },
	})
	f.sh = f.addShard(fleetPartition)
	f.sh.ctx = t.Context()
	f.list(t, vms, func() {})
	return f
}

// list reads a list, during which something happens, and applies it 50 ms after its request.
func (f *listingFleet) list(t *testing.T, vms []wigeonstep.PooledVM, during func()) {
	t.Helper()
	f.listVMs(f.sh, f.now)
	f.now += 30 * time.Millisecond
	during()
	f.now += 20 * time.Millisecond
	f.machines.lists <- vms
	(<-f.events)()
}

func (f *listingFleet) confirmMove(vm wigeonstep.VMID, to wigeonstep.PoolName) {
	f.handleMoveResult(f.sh, wigeonjob.MoveOrder{VM: vm, Pool: to, Phase: wigeonjob.OrderIssued}, nil)
}

func upVM(id wigeonstep.VMID, pool wigeonstep.PoolName, worker wigeonstep.WorkerID) wigeonstep.PooledVM {
	return wigeonstep.PooledVM{ID: id, Pool: pool, State: wigeonstep.VMUp, Worker: worker}
}

// Guards against VMs that stay unused, or count as on their way long after they have arrived, while other VMs move: a list during
// which a move is confirmed still shows all the others.
func TestListIsUsedWhileVMsMove(t *testing.T) {
	c := qt.New(t)
	f := newListingFleet(t, upVM("a", "busy", "w-a"), upVM("b", "busy", "w-b"), upVM("c", "busy", "w-c"))
	f.confirmMove("a", "spare")
	f.now += 400 * time.Millisecond
	// The list was made after the move of a had ended, and before that of b was called.
	f.list(t, []wigeonstep.PooledVM{upVM("a", "spare", "w-a2"), upVM("b", "busy", "w-b"), upVM("c", "busy", "w-c")}, func() {
		f.confirmMove("b", "spare")
	})
	c.Assert(f.fleet.vms["a"], qt.DeepEquals, upVM("a", "spare", "w-a2"))
	c.Assert(f.fleet.vms["b"].State, qt.Equals, wigeonstep.VMMoving)
	c.Assert(f.fleet.vms["b"].Pool, qt.Equals, wigeonstep.PoolName("spare"))

	f.now += 400 * time.Millisecond
	f.list(t, []wigeonstep.PooledVM{upVM("a", "spare", "w-a2"), upVM("b", "spare", "w-b2")}, func() {
		f.confirmMove("a", "busy")
	})
	c.Assert(f.fleet.vms["a"].State, qt.Equals, wigeonstep.VMMoving)
	c.Assert(f.fleet.vms["b"], qt.DeepEquals, upVM("b", "spare", "w-b2"))
	_, present := f.fleet.vms["c"]
	c.Assert(present, qt.IsFalse, qt.Commentf("c was taken away for good"))
}

// Guards against a move that a list takes back which was made before it.
func TestOlderListDoesNotRevertMove(t *testing.T) {
	c := qt.New(t)
	f := newListingFleet(t, upVM("a", "busy", "w-a"))
	before := []wigeonstep.PooledVM{upVM("a", "busy", "w-a")}
	f.list(t, before, func() { f.confirmMove("a", "spare") })
	c.Assert(f.fleet.vms["a"].State, qt.Equals, wigeonstep.VMMoving)
	f.list(t, nil, func() { f.confirmMove("a", "spare") })
	c.Assert(f.fleet.vms["a"].State, qt.Equals, wigeonstep.VMMoving, qt.Commentf("the list without the VM was made before its move was confirmed"))
	f.list(t, nil, func() {})
	c.Assert(f.fleet.vms, qt.HasLen, 0)
}

// Guards against a lost worker whose end is noticed late, because lists are ignored while VMs move.
func TestLossIsNoticedWhileVMsMove(t *testing.T) {
	c := qt.New(t)
	f := newListingFleet(t, upVM("a", "busy", "w-a"), upVM("b", "busy", "w-b"))
	f.fleet.losses.losses = map[wigeonstep.WorkerID]*loss{"w-a": {partition: 1, since: 7, reportedAt: f.now}}
	f.list(t, []wigeonstep.PooledVM{{ID: "a", Pool: "busy", State: wigeonstep.VMDown}, upVM("b", "busy", "w-b")}, func() {
		f.confirmMove("b", "spare")
	})
	ended, _ := f.fleet.losses.verdicts(1)
	c.Assert(ended, qt.HasLen, 1)
}
