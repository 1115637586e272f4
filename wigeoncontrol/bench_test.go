package wigeoncontrol_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonmaintenance"
	"github.com/wigeonstep/wigeonstep/wigeonpool"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
)

// BenchmarkRound measures one planning round: "quiet" has nothing to do, "wave" has an open wave in every pool. The
// metric x_list_index is the cost relative to that of indexing the VM list, the least that any reader of the list has
// to do.
func BenchmarkRound(b *testing.B) {
	for _, size := range []struct{ vms, pools, dataCentres int }{{50, 5, 3}, {500, 20, 3}, {7300, 84, 7}} {
		for _, waves := range []bool{false, true} {
			name := "quiet"
			if waves {
				name = "wave"
			}
			b.Run(fmt.Sprintf("%s/vms=%d/pools=%d", name, size.vms, size.pools), func(b *testing.B) {
				view, list, now := newBenchmarkFleet(b, size.vms, size.pools, size.dataCentres, waves)
				pools := wigeonpool.NewPlanner(wigeonpool.Config{})
				maintenance := wigeonmaintenance.NewPlanner(wigeonmaintenance.Config{Period: 100 * 365 * 24 * time.Hour})
				slotDemand := map[wigeonstep.PoolName]int{}
				for pool, vms := range view.Pools {
					slotDemand[pool] = 4 * len(vms)
				}
				listing := wigeonpool.NewListing(list, now)
				round := func() int {
					now = now.Add(time.Second)
					listing.TakenAt = now
					fleet := wigeonpool.NewFleet(view, now, "z0", wigeonpool.Observations{Listing: listing, SlotDemand: slotDemand})
					return len(pools.Plan(fleet).Entries) + len(maintenance.Plan(fleet).Entries)
				}
				if !waves {
					markMaintained(view, maintenance.Plan(wigeonpool.NewFleet(view, now, "z0", wigeonpool.Observations{Listing: listing})))
				}
				round()
				entries := 0
				b.ReportAllocs()
				for b.Loop() {
					entries += round()
				}
				perRound := float64(b.Elapsed()) / float64(b.N)
				b.StopTimer()
				start, reads := time.Now(), 0
				for ; time.Since(start) < 200*time.Millisecond; reads++ {
					wigeonpool.NewListing(list, now)
				}
				index := float64(time.Since(start)) / float64(reads)
				b.ReportMetric(perRound/float64(size.vms), "ns/vm")
				b.ReportMetric(perRound/index, "x_list_index")
				b.ReportMetric(float64(entries)/float64(b.N), "entries/op")
			})
		}
	}
}

// markMaintained marks the VMs of each pool as maintained in the wave that the plan starts for the pool.
func markMaintained(view *wigeonstate.View, plan wigeonpool.Plan) {
	for _, e := range plan.Entries {
		if start := e.GetWaveStart(); start != nil {
			for _, vm := range view.Pools[wigeonstep.PoolName(start.GetPool())] {
				vm.LastWave = wigeonstep.WaveID(start.GetWave())
			}
		}
	}
}

// newBenchmarkFleet returns the view, the VM list and the time of a fleet whose pools have their target sizes, with an
// open wave in every pool but the spare one if waves is set.
func newBenchmarkFleet(b *testing.B, vms, pools, dataCentres int, waves bool) (*wigeonstate.View, *wigeonstep.VMList, time.Time) {
	b.Helper()
	names := make([]string, dataCentres)
	for i := range names {
		names[i] = fmt.Sprint("z", i)
	}
	w := newSimulation(b, plannerConfigs{}, names...)
	w.daemons = w.daemons[:dataCentres]
	perPool := vms / pools
	for p := range pools - 1 {
		w.addVMs(fmt.Sprintf("pool%02d", p), perPool, 32)
	}
	w.addVMs("spare", vms-perPool*(pools-1), 32)
	for _, id := range w.ids {
		m := w.platformVMs[id]
		for _, d := range w.daemons {
			if d.dataCentre == string(m.DataCentre) {
				w.mustAppend(d.session, observeEntry(&m.ListedVM))
			}
		}
	}
	for p := range pools - 1 {
		w.putDocument(fmt.Sprintf("pool%02d", p), 0, max(1, perPool-1), "availability: {max_unavailable_workers: 3}\n")
	}
	if waves {
		for p := range pools - 1 {
			w.mustAppend(w.daemons[0].session, waveEntry(fmt.Sprintf("pool%02d", p)))
		}
	}
	// Fold time advances by at most 5 s per batch, and VMs must have been in service for some time before they may
	// drain.
	for range 100 {
		w.now = w.now.Add(5 * time.Second)
		w.renewSessions()
	}
	list := w.actualVMList()
	return w.state.View(), list, w.now
}

// BenchmarkListing measures processing an unchanged VM list. The metric x_list_index is the cost relative to that of
// indexing the list from scratch.
func BenchmarkListing(b *testing.B) {
	for _, vms := range []int{50, 500, 7300} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			list := &wigeonstep.VMList{}
			for i := range vms {
				list.VMs = append(list.VMs, wigeonstep.ListedVM{ID: wigeonstep.VMID(fmt.Sprint("vm-", i)), DataCentre: "a", Address: fmt.Sprint("10.0.0.", i), Up: true})
			}
			now := time.Unix(1_800_000_000, 0)
			same := &wigeonstep.VMList{VMs: append([]wigeonstep.ListedVM(nil), list.VMs...)}
			listing := wigeonpool.NewListing(list, now)
			b.ReportAllocs()
			for b.Loop() {
				listing = listing.Update(same, now)
			}
			perRead := float64(b.Elapsed()) / float64(b.N)
			b.StopTimer()
			start, reads := time.Now(), 0
			for ; time.Since(start) < 200*time.Millisecond; reads++ {
				wigeonpool.NewListing(list, now)
			}
			b.ReportMetric(perRead/(float64(time.Since(start))/float64(reads)), "x_list_index")
		})
	}
}
