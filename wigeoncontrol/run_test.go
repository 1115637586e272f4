package wigeoncontrol_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeoncontrol"
	"github.com/wigeonstep/wigeonstep/wigeonfake"
	"github.com/wigeonstep/wigeonstep/wigeonfollow"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// followerProcess simulates a process in a synctest bubble: a follower, with a control daemon if its role is control.
type followerProcess struct {
	follower   *wigeonfollow.Follower
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

func (p *followerProcess) stop() {
	p.cancel()
	p.goroutines.Wait()
}

func startProcess(platform *wigeonfake.Platform, id wigeonstep.SessionID, role wigeonwire.Role, address string) *followerProcess {
	ctx, cancel := context.WithCancel(context.Background())
	p := &followerProcess{cancel: cancel, follower: wigeonfollow.New(wigeonfollow.Config{
		Log: platform.Client(address), Session: id,
		OpenEntry: &wigeonwire.SessionOpen{Role: role, DataCentre: "a", PeerAddress: address},
	})}
	p.follower.SetReady(true, false)
	p.goroutines.Go(func() { _ = p.follower.Run(ctx) })
	if role == wigeonwire.Role_ROLE_CONTROL {
		p.goroutines.Go(func() {
			_ = wigeoncontrol.Run(ctx, wigeoncontrol.Config{
				DataCentre: "a", Follower: p.follower, Platform: platform.Client(address),
				Probe: func(_ context.Context, address string) error {
					for _, vm := range platform.VMs() {
						if vm.Address == address && vm.Up {
							return nil
						}
					}
					return errors.New("no answer")
				},
			})
		})
	}
	return p
}

// runFleet runs two control daemons of one data centre with the real follower until four VMs are maintained. Until then
// it calls injectFault every 40 s with the number of the call, and once more with round -1 to end the faults. It checks
// that each VM was rebooted once and no longer drains on the platform.
func runFleet(t *testing.T, injectFault func(round int, platform *wigeonfake.Platform, controls []*followerProcess)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		platform := &wigeonfake.Platform{Seed: 1}
		defer platform.Close()
		platform.SetFaults(wigeonfake.Faults{RebootTime: 20 * time.Second, VMListLag: time.Second, LoseAppendAnswerProbability: 0.02})
		for i := range 4 {
			platform.AddVM(wigeonstep.ListedVM{
				ID: wigeonstep.VMID(fmt.Sprint("vm-", i)), DataCentre: "a", Rack: "r", Pool: "orders", Address: fmt.Sprint("vm-", i, ":1"),
				Shape: wigeonstep.Shape{Cores: 32, MemoryGB: 64, Slots: 8, Connections: 64},
			})
		}
		platform.AddPool(wigeonstep.SparePool)
		entry := startProcess(platform, 0xe1, wigeonwire.Role_ROLE_ENTRY, "entry")
		defer entry.stop()
		operator := startProcess(platform, 0xd1, wigeonwire.Role_ROLE_OPERATOR, "operator")
		defer operator.stop()
		controls := []*followerProcess{}
		for i := range 2 {
			controls = append(controls, startProcess(platform, wigeonstep.SessionID(0xc0+i), wigeonwire.Role_ROLE_CONTROL, fmt.Sprint("control", i)))
		}
		defer func() {
			for _, p := range controls {
				p.stop()
			}
		}()
		time.Sleep(10 * time.Second)
		_, err := operator.follower.Propose(t.Context(), &wigeonwire.Entry{Body: &wigeonwire.Entry_DocumentChange{DocumentChange: &wigeonwire.DocumentChange{
			ChangeId: "1", Service: "orders", Operator: "test",
			Content: []byte("service: orders\nteam: t\npool: orders\ncapacity: {workers: 3}\nclasses: [{name: c}]\nmaintenance: {max_drain_s: 20}\n"),
		}}})
		c.Assert(err, qt.IsNil)

		rounds := 0
		for ; rounds < 60 && !allMaintained(entry.follower); rounds++ {
			time.Sleep(40 * time.Second)
			injectFault(rounds, platform, controls)
		}
		t.Logf("%d disturbances", rounds)
		c.Assert(allMaintained(entry.follower), qt.IsTrue)
		injectFault(-1, platform, controls)
		time.Sleep(2 * time.Minute)
		for _, vm := range platform.VMs() {
			c.Assert(vm.Reboots, qt.Equals, 1, qt.Commentf("%s", vm.ID))
			c.Assert(vm.Draining, qt.IsFalse, qt.Commentf("%s", vm.ID))
		}
		c.Assert(entry.follower.View().Waves, qt.HasLen, 0)
	})
}

// Every VM must be maintained once although the daemon that plans is killed and replaced every 40 s and the platform
// loses responses to appends. The daemons run with all their goroutines.
func TestRunMaintainsThroughKills(t *testing.T) {
	runFleet(t, func(round int, platform *wigeonfake.Platform, controls []*followerProcess) {
		if round < 0 {
			return
		}
		i := round % 2
		controls[i].stop()
		controls[i] = startProcess(platform, wigeonstep.SessionID(0xc8+round), wigeonwire.Role_ROLE_CONTROL, fmt.Sprint("control", i))
	})
}

// Failures of the platform may delay a wave but must not skip or repeat a step. In turn, for 40 s each, the VM service
// fails, the log fails, the VM list is empty, the list is stale, and one daemon is cut off from both services.
func TestRunMaintainsThroughOutages(t *testing.T) {
	runFleet(t, func(round int, platform *wigeonfake.Platform, _ []*followerProcess) {
		platform.ChangeFaults(func(f *wigeonfake.Faults) {
			f.VMServiceUnavailable, f.LogUnavailable, f.VMListEmpty, f.VMListFrozen = round%6 == 0, round%6 == 1, round%6 == 2, round%6 == 3
		})
		platform.SetDisconnected("control0", round%6 == 4)
	})
}

func allMaintained(f *wigeonfollow.Follower) bool {
	view := f.View()
	for _, vm := range view.VMs {
		if vm.LastWave == "" || vm.Phase != wigeonwire.Phase_PHASE_IN_SERVICE {
			return false
		}
	}
	return len(view.VMs) == 4
}
