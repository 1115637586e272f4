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

// BenchmarkRound measures one planning round: quiet, with nothing to do, and wave, with an open wave in every pool.
// The ratio compares it with the indexing of the VM list, which is the least that any reader of the list does.
func BenchmarkRound(b *testing.B) {
	for _, size := range []struct{ vms, pools, centres int }{{50, 5, 3}, {500, 20, 3}, {7300, 84, 7}} {
		for _, waves := range []bool{false, true} {
			name := "quiet"
			if waves {
				name = "wave"
			}
			b.Run(fmt.Sprintf("%s/vms=%d/pools=%d", name, size.vms, size.pools), func(b *testing.B) {
				view, list, now := benchmarkFleet(b, size.vms, size.pools, size.centres, waves)
				pools := wigeonpool.NewPlanner(wigeonpool.Config{})
				maintenance := wigeonmaintenance.NewPlanner(wigeonmaintenance.Config{Period: 100 * 365 * 24 * time.Hour})
				loads := map[wigeonstep.PoolName]int{}
				for pool, vms := range view.Pools {
					loads[pool] = 4 * len(vms)
				}
				listing := wigeonpool.NewListing(list, now)
				round := func() int {
					now = now.Add(time.Second)
					listing.TakenAt = now
					fleet := wigeonpool.NewFleet(view, now, "z0", wigeonpool.Observations{Listing: listing, Loads: loads})
					return len(pools.Plan(fleet).Entries) + len(maintenance.Plan(fleet).Entries)
				}
				if !waves {
					maintained(view, maintenance.Plan(wigeonpool.NewFleet(view, now, "z0", wigeonpool.Observations{Listing: listing})))
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

// maintained marks every VM as done in the wave that the plan would start in its pool.
func maintained(view *wigeonstate.View, plan wigeonpool.Plan) {
	for _, e := range plan.Entries {
		if start := e.GetWaveStart(); start != nil {
			for _, vm := range view.Pools[wigeonstep.PoolName(start.GetPool())] {
				vm.LastWave = wigeonstep.WaveID(start.GetWave())
			}
		}
	}
}

// benchmarkFleet folds a fleet whose pools hold their targets.
func benchmarkFleet(b *testing.B, vms, pools, centres int, waves bool) (*wigeonstate.View, *wigeonstep.VMList, time.Time) {
	b.Helper()
	names := make([]string, centres)
	for i := range names {
		names[i] = fmt.Sprint("z", i)
	}
	w := newWorld(b, planners{}, names...)
	w.daemons = w.daemons[:centres]
	each := vms / pools
	for p := range pools - 1 {
		w.addVMs(fmt.Sprintf("pool%02d", p), each, 32)
	}
	w.addVMs("spare", vms-each*(pools-1), 32)
	for _, id := range w.ids {
		m := w.truth[id]
		for _, d := range w.daemons {
			if d.centre == string(m.DataCentre) {
				w.accept(d.session, observeEntry(&m.ListedVM))
			}
		}
	}
	for p := range pools - 1 {
		w.document(fmt.Sprintf("pool%02d", p), 0, max(1, each-1), "availability: {max_unavailable_workers: 3}\n")
	}
	if waves {
		for p := range pools - 1 {
			w.accept(w.daemons[0].session, waveEntry(fmt.Sprintf("pool%02d", p)))
		}
	}
	// Fold time advances by at most 5 s with a batch; the VMs must have been in service for a while before they may drain.
	for range 100 {
		w.now = w.now.Add(5 * time.Second)
		w.renew()
	}
	list := w.trueList()
	return w.state.View(), list, w.now
}

// BenchmarkListing measures what a reading of the VM list costs when nothing changed, against indexing it anew.
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
				listing = listing.Next(same, now)
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
