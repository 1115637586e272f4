package wigeonadmission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonadmission"
	"github.com/wigeonstep/wigeonstep/wigeonrouting"
)

// BenchmarkAdmitAndPick measures one request from Submit to Done in a pool whose slots are all held and whose queues
// are filled. The metric "times" is the cost relative to that of 50 workers and 6 teams in the same run.
func BenchmarkAdmitAndPick(b *testing.B) {
	base := 0.0
	for _, size := range []struct{ workers, teams int }{{50, 6}, {50, 97}, {7300, 6}, {7300, 97}} {
		b.Run(fmt.Sprintf("workers=%d/teams=%d", size.workers, size.teams), func(b *testing.B) {
			now := epoch
			f := newFleet(1, 1, size.workers, documents(size.teams, 200*time.Millisecond), nil, nil)
			pool, picker := f.processes[0].admission, f.processes[0].routing
			slots := 8 * size.workers
			pool.SetSlots(wigeonadmission.Grant{Slots: slots, PoolSlots: slots, LongSlots: slots * 3 / 4})
			type running struct {
				ticket *wigeonadmission.Ticket
				vm     wigeonstep.VMID
			}
			var held []running
			start := func(tickets []*wigeonadmission.Ticket) {
				for _, t := range tickets {
					server, ok := picker.Pick(now, wigeonrouting.PickOptions{})
					if !ok {
						b.Fatal("no server has room")
					}
					held = append(held, running{t, server.VM})
				}
			}
			submit := func(i int) {
				t := &wigeonadmission.Ticket{Team: wigeonstep.TeamName(rune('a' + i%size.teams)), Class: "bake"}
				d := pool.Submit(now, t)
				switch d.Verdict {
				case wigeonadmission.Started:
					start([]*wigeonadmission.Ticket{t})
				case wigeonadmission.Refused:
					b.Fatal("refused", d)
				case wigeonadmission.Queued:
				}
			}
			for i := range slots + 5*size.teams {
				submit(i)
			}
			random := rand.New(rand.NewPCG(1, 1))
			success := wigeonstep.BackendResult{Verdict: wigeonstep.BackendAnswered, Status: 200}
			step := 200 * time.Millisecond / time.Duration(slots)
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				now = now.Add(step)
				j := random.IntN(len(held))
				done := held[j]
				held[j] = held[len(held)-1]
				held = held[:len(held)-1]
				picker.Done(now, done.vm, success, 200*time.Millisecond, 200*time.Millisecond)
				start(pool.Finish(now, done.ticket, 200*time.Millisecond))
				submit(i)
			}
			cost := float64(b.Elapsed().Nanoseconds()) / float64(b.N)
			if base == 0 {
				base = cost
			}
			b.ReportMetric(cost/base, "times")
		})
	}
}
