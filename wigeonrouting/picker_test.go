package wigeonrouting_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonrouting"
)

var (
	epoch      = time.Unix(1_800_000_000, 0)
	success    = wigeonstep.BackendResult{Verdict: wigeonstep.BackendAnswered, Status: 200}
	lostAnswer = wigeonstep.BackendResult{Verdict: wigeonstep.BackendOutcomeUnknown}
)

func servers(n int) []wigeonrouting.Server {
	var list []wigeonrouting.Server
	for i := range n {
		list = append(list, wigeonrouting.Server{
			VM: wigeonstep.VMID(fmt.Sprintf("vm%d", i)), DataCentre: wigeonstep.DataCentreName(fmt.Sprintf("dc%d", i%3)),
			Slots: 8, Connections: 64, InService: true, Epoch: 1,
		})
	}
	return list
}

// Guards against requests to servers that are leaving, out of service, excluded, in another data centre despite LocalOnly,
// full, or quarantined without a due probe, against a quarantine of more than a quarter of the pool or more than the budget, and
// against wrong counts of requests in flight.
func TestPickerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		picker := wigeonrouting.New(wigeonrouting.Config{DataCentre: "dc1"})
		now := epoch
		listed := map[wigeonstep.VMID]wigeonrouting.Server{}
		// leaving holds the epoch at which a VM announced that it is leaving, known the last listed epoch of each VM.
		leaving, known := map[wigeonstep.VMID]wigeonstep.VMEpoch{}, map[wigeonstep.VMID]wigeonstep.VMEpoch{}
		inFlight := map[wigeonstep.VMID]int{}
		vm := rapid.Custom(func(t *rapid.T) wigeonstep.VMID {
			return wigeonstep.VMID(fmt.Sprintf("vm%d", rapid.IntRange(0, 9).Draw(t, "vm")))
		})
		budget, quota := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"servers": func(t *rapid.T) {
				list := servers(rapid.IntRange(0, 10).Draw(t, "count"))
				clear(listed)
				quota = 0
				for i := range list {
					s := &list[i]
					s.InService = rapid.IntRange(0, 3).Draw(t, "in service") > 0
					s.Slots = rapid.IntRange(0, 3).Draw(t, "slots")
					s.Epoch = wigeonstep.VMEpoch(1 + now.Sub(epoch)/(20*time.Second))
					listed[s.VM], known[s.VM] = *s, s.Epoch
					if s.InService {
						quota++
					}
				}
				quota /= 4
				if budget > 0 {
					quota = min(quota, budget)
				}
				picker.SetServers(now, list)
				for id, at := range leaving {
					if s, ok := listed[id]; ok && s.Epoch > at || !ok && inFlight[id] == 0 {
						delete(leaving, id)
					}
				}
			},
			"share": func(t *rapid.T) {
				first, slots := rapid.IntRange(0, 20).Draw(t, "first"), rapid.IntRange(0, 20).Draw(t, "slots")
				picker.SetShare([]wigeonrouting.SlotRange{{First: first, Count: slots}}, rapid.IntRange(0, 40).Draw(t, "pool"))
			},
			"pick": func(t *rapid.T) {
				options := wigeonrouting.PickOptions{LocalOnly: rapid.Bool().Draw(t, "local"), Exclude: []wigeonstep.VMID{vm.Draw(t, "exclude")}}
				quarantined := map[wigeonstep.VMID]time.Time{}
				for _, q := range picker.Quarantined() {
					quarantined[q.VM] = q.NextProbe
				}
				s, ok := picker.Pick(now, options)
				if !ok {
					return
				}
				inFlight[s.VM]++
				probe, inQuarantine := quarantined[s.VM]
				switch {
				case !listed[s.VM].InService, s.VM == options.Exclude[0], options.LocalOnly && s.DataCentre != "dc1":
					t.Fatalf("picked %+v for %+v", s, options)
				case leaving[s.VM] > 0:
					t.Fatalf("picked %s, which is leaving", s.VM)
				case inQuarantine && probe.After(now):
					t.Fatalf("picked %s, whose probe is not due", s.VM)
				case !inQuarantine && inFlight[s.VM] > s.Slots:
					t.Fatalf("%d requests on the %d slots of %s", inFlight[s.VM], s.Slots, s.VM)
				}
			},
			"done": func(t *rapid.T) {
				id := vm.Draw(t, "vm")
				if inFlight[id] == 0 {
					t.Skip("nothing in flight")
				}
				inFlight[id]--
				result := wigeonstep.BackendResult{
					Verdict: wigeonstep.BackendVerdict(rapid.IntRange(1, 5).Draw(t, "verdict")), Status: rapid.SampledFrom([]int{200, 500}).Draw(t, "status"),
					Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
				}
				if result.Leaving || result.Verdict == wigeonstep.BackendLeaving {
					leaving[id] = known[id]
				}
				picker.Done(now, id, result, time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms"))*time.Millisecond, 100*time.Millisecond)
				if _, ok := listed[id]; !ok && inFlight[id] == 0 {
					delete(leaving, id)
				}
			},
			"mark leaving": func(t *rapid.T) {
				id := vm.Draw(t, "vm")
				if _, ok := listed[id]; ok {
					picker.MarkLeaving(now, id)
					leaving[id] = known[id]
				}
			},
			"budget": func(t *rapid.T) {
				before := budget
				budget = rapid.IntRange(0, 2).Draw(t, "budget")
				picker.SetBudget(budget)
				if budget > 0 && (before == 0 || budget < before) {
					quota = min(quota, budget)
				} else {
					quota = len(listed) / 4
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				for id, n := range inFlight {
					if picker.InFlight(id) != n {
						t.Fatalf("%d in flight on %s, want %d", picker.InFlight(id), id, n)
					}
				}
				if n := len(picker.Quarantined()); n > quota {
					t.Fatalf("%d servers in quarantine, want at most %d", n, quota)
				}
			},
		})
	})
}

// reportResults reports n requests to the VM that ended with the given result and without an expected run time.
func reportResults(picker *wigeonrouting.Picker, now time.Time, vm wigeonstep.VMID, result wigeonstep.BackendResult, n int) {
	for range n {
		picker.Done(now, vm, result, time.Millisecond, 0)
	}
}

func quarantinedVMs(picker *wigeonrouting.Picker) []wigeonstep.VMID {
	var list []wigeonstep.VMID
	for _, q := range picker.Quarantined() {
		list = append(list, q.VM)
	}
	return list
}

// Guards against a full quarantine in which a server with few failures keeps out one with more.
func TestWorstServersAreQuarantinedFirst(t *testing.T) {
	c := quicktest.New(t)
	picker := wigeonrouting.New(wigeonrouting.Config{})
	picker.SetServers(epoch, servers(8))
	picker.SetBudget(1)
	reportResults(picker, epoch, "vm1", success, 1)
	reportResults(picker, epoch, "vm1", lostAnswer, 4)
	c.Check(quarantinedVMs(picker), quicktest.DeepEquals, []wigeonstep.VMID{"vm1"})
	reportResults(picker, epoch, "vm2", lostAnswer, 20)
	c.Check(quarantinedVMs(picker), quicktest.DeepEquals, []wigeonstep.VMID{"vm2"})
	decisions := picker.Decisions()
	c.Assert(decisions, quicktest.HasLen, 3)
	c.Check(decisions[1].Rule, quicktest.Equals, "worst_first")
}

// Guards against probes without exponential back-off, and against a server that stays quarantined after it has recovered.
func TestProbesBackOff(t *testing.T) {
	c := quicktest.New(t)
	picker := wigeonrouting.New(wigeonrouting.Config{})
	picker.SetServers(epoch, servers(4))
	now := epoch
	reportResults(picker, now, "vm1", lostAnswer, 5)
	exclude := []wigeonstep.VMID{"vm0", "vm2", "vm3"}
	var probes []time.Duration
	for range 6 {
		for {
			now = now.Add(50 * time.Millisecond)
			if s, ok := picker.Pick(now, wigeonrouting.PickOptions{Exclude: exclude}); ok {
				probes = append(probes, now.Sub(epoch))
				picker.Done(now, s.VM, lostAnswer, time.Millisecond, 0)
				break
			}
		}
	}
	c.Logf("probes at %v", probes)
	for i := 1; i < len(probes); i++ {
		gap := probes[i] - probes[i-1]
		longest := min(time.Second<<i, time.Minute)
		c.Check(gap > longest*7/10 && gap <= longest+50*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("gap %v", gap))
	}
	now = now.Add(75 * time.Second)
	_, ok := picker.Pick(now, wigeonrouting.PickOptions{Exclude: exclude, NoProbe: true})
	c.Check(ok, quicktest.IsTrue, quicktest.Commentf("a probe that is long overdue is sent with any request"))
	picker.Release(now, "vm1")
	c.Check(picker.Quarantined(), quicktest.HasLen, 1)
	_, ok = picker.Pick(now, wigeonrouting.PickOptions{Exclude: exclude})
	c.Check(ok, quicktest.IsTrue, quicktest.Commentf("a probe that was not sent stays due"))
	picker.Done(now, "vm1", success, time.Millisecond, 0)
	c.Check(picker.Quarantined(), quicktest.HasLen, 0)
}

// Guards against a concurrency limit that busy answers do not decrease, or that successes do not increase again.
func TestLimitFollowsBusyAnswers(t *testing.T) {
	c := quicktest.New(t)
	picker := wigeonrouting.New(wigeonrouting.Config{})
	picker.SetServers(epoch, servers(1))
	now := epoch
	fillServer := func() (n int) {
		for {
			if _, ok := picker.Pick(now, wigeonrouting.PickOptions{}); !ok {
				return n
			}
			n++
		}
	}
	c.Check(fillServer(), quicktest.Equals, 8)
	picker.Done(now, "vm0", wigeonstep.BackendResult{Verdict: wigeonstep.BackendBusy}, 0, 0)
	reportResults(picker, now, "vm0", success, 7)
	limit := fillServer()
	c.Check(limit >= 4 && limit <= 6, quicktest.IsTrue, quicktest.Commentf("limit %d", limit))
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		reportResults(picker, now, "vm0", success, limit)
		limit = fillServer()
	}
	c.Check(limit, quicktest.Equals, 8)
}
