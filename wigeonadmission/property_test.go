package wigeonadmission_test

import (
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonadmission"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
	"github.com/wigeonstep/wigeonstep/wigeonrouting"
)

// Guards against tickets that are lost or started twice, more held slots than granted, startable tickets left in the
// queue, and panics on contradictory shares.
func TestPoolProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		edgeValue := rapid.SampledFrom([]int{-1, 0, 1, 3, 1 << 40})
		drawDocuments := func() []*wigeondocument.Document {
			list := []*wigeondocument.Document{nil}
			for _, team := range rapid.SliceOfN(rapid.SampledFrom([]wigeonstep.TeamName{"a", "b", "c"}), 0, 4).Draw(t, "teams") {
				d := document(team, wigeondocument.Share{
					Weight: edgeValue.Draw(t, "weight"), GuaranteedSlots: edgeValue.Draw(t, "guarantee"), MaxSlots: edgeValue.Draw(t, "limit"),
				}, time.Duration(rapid.IntRange(-1, 200).Draw(t, "run"))*time.Millisecond)
				d.Classes[0].MaxQueueMS = rapid.SampledFrom([]int{-1, 0, 100, 10000}).Draw(t, "max_queue_ms")
				if rapid.Bool().Draw(t, "kinds swapped") {
					d.Classes[0].Kind, d.Classes[1].Kind = d.Classes[1].Kind, d.Classes[0].Kind
				}
				list = append(list, d)
			}
			return list
		}
		pool := wigeonadmission.New(wigeonadmission.Config{Name: "ovens"})
		now, slots := epoch, 0
		var queued, running []*wigeonadmission.Ticket
		held := func() int { return pool.Demand(now).Held }
		start := func(tickets []*wigeonadmission.Ticket) {
			for _, ticket := range tickets {
				i := slices.Index(queued, ticket)
				if i < 0 {
					t.Fatalf("started a ticket that was not queued")
				}
				queued = slices.Delete(queued, i, i+1)
				running = append(running, ticket)
			}
			if len(tickets) > 0 && held() > slots {
				t.Fatalf("%d slots held of %d", held(), slots)
			}
		}
		removeRandom := func(list *[]*wigeonadmission.Ticket) *wigeonadmission.Ticket {
			if len(*list) == 0 {
				t.Skip("none")
			}
			i := rapid.IntRange(0, len(*list)-1).Draw(t, "index")
			ticket := (*list)[i]
			*list = slices.Delete(*list, i, i+1)
			return ticket
		}
		t.Repeat(map[string]func(*rapid.T){
			"documents": func(*rapid.T) {
				pool.SetServices(drawDocuments())
				start(pool.Dispatch(now))
			},
			"slots": func(t *rapid.T) {
				slots = rapid.IntRange(0, 12).Draw(t, "slots")
				pool.SetSlots(wigeonadmission.Grant{
					Slots: slots, PoolSlots: rapid.IntRange(slots, 40).Draw(t, "pool"), LongSlots: slots * 3 / 4,
				})
				start(pool.Dispatch(now))
			},
			"submit": func(t *rapid.T) {
				ticket := &wigeonadmission.Ticket{
					Team:  rapid.SampledFrom([]wigeonstep.TeamName{"a", "b", "c"}).Draw(t, "team"),
					Class: rapid.SampledFrom([]wigeonstep.ClassName{"bake", "cure"}).Draw(t, "class"),
				}
				if rapid.Bool().Draw(t, "deadline") {
					ticket.Deadline = now.Add(time.Duration(rapid.IntRange(-1, 3000).Draw(t, "ms")) * time.Millisecond)
				}
				switch d := pool.Submit(now, ticket); d.Verdict {
				case wigeonadmission.Started:
					queued = append(queued, ticket)
					start([]*wigeonadmission.Ticket{ticket})
				case wigeonadmission.Queued:
					queued = append(queued, ticket)
				case wigeonadmission.Refused:
					if d.Status != 429 && d.Status != 503 || d.Reason == "" || d.RetryAfter <= 0 {
						t.Fatalf("incomplete refusal %+v", d)
					}
				}
			},
			"finish": func(t *rapid.T) {
				start(pool.Finish(now, removeRandom(&running), time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms"))*time.Millisecond))
			},
			"cancel queued": func(t *rapid.T) {
				wasQueued, started := pool.Cancel(now, removeRandom(&queued))
				if !wasQueued {
					t.Fatalf("a queued ticket was cancelled as running")
				}
				start(started)
			},
			"cancel running": func(*rapid.T) {
				_, started := pool.Cancel(now, removeRandom(&running))
				start(started)
			},
			"expire": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				for _, ticket := range pool.Expire(now) {
					i := slices.Index(queued, ticket)
					if i < 0 {
						t.Fatalf("expired a ticket that was not queued")
					}
					queued = slices.Delete(queued, i, i+1)
					if pool.ExpiredDecision(now, ticket).RetryAfter <= 0 {
						t.Fatalf("an expired ticket has no Retry-After")
					}
				}
				start(pool.Dispatch(now))
			},
			"": func(t *rapid.T) {
				if d := pool.Demand(now); d.Held != len(running) || d.Wanted < len(running)+len(queued) {
					t.Fatalf("demand %+v with %d running and %d queued", d, len(running), len(queued))
				}
				if started := pool.Dispatch(now); len(started) > 0 {
					t.Fatalf("a call left %d startable tickets in the queue", len(started))
				}
			},
		})
	})
}

// Guards against grants that overlap, exceed the pool, depend on the order of the reports, or are not max-min fair.
func TestSplitProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(-1, 100).Draw(t, "slots")
		sizes := rapid.IntRange(-1, 60)
		var reports []wigeonadmission.Report
		for i := range rapid.IntRange(1, 12).Draw(t, "sessions") {
			held := sizes.Draw(t, "held")
			reports = append(reports, wigeonadmission.Report{
				Session: wigeonstep.SessionID(i), Reported: rapid.Bool().Draw(t, "heard"),
				Demand: wigeonadmission.Demand{Held: held, Wanted: sizes.Draw(t, "wanted"), HeldLong: min(held, sizes.Draw(t, "long"))},
			})
		}
		shuffled := rapid.Permutation(reports).Draw(t, "order")
		owned, granted, long, fixedLong := map[int]int{}, 0, 0, 0
		grants, shares, held, used := make([]wigeonadmission.Grant, len(reports)), make([]int, len(reports)), 0, 0
		for i, r := range reports {
			grants[i] = wigeonadmission.Split(total, r.Session, reports)
			if reordered := wigeonadmission.Split(total, r.Session, shuffled); !reordered.Equal(grants[i]) {
				t.Fatalf("the order of the reports changes %+v to %+v", grants[i], reordered)
			}
			rangeSlots := 0
			for _, slotRange := range grants[i].Ranges {
				for number := slotRange.First; number < slotRange.First+slotRange.Count; number++ {
					if owner, taken := owned[number]; taken || number < 0 || number >= total {
						t.Fatalf("slot %d of %d belongs to sessions %d and %d", number, total, owner, i)
					}
					owned[number] = i
					rangeSlots++
				}
			}
			if grants[i].Slots > rangeSlots {
				t.Fatalf("the ranges have only %d slots in grant %+v", rangeSlots, grants[i])
			}
			shares[i] = rangeSlots
			granted += rangeSlots
			held += max(r.Held, 0)
			used += max(r.Held, grants[i].Slots)
			long += grants[i].LongSlots
			if r.Reported {
				fixedLong += max(r.HeldLong, 0)
			}
		}
		if granted != max(total, 0) || long > max(total*3/4, 0) {
			t.Fatalf("%d slots and %d for long work granted of %d", granted, long, total)
		}
		if used > max(total, held) {
			t.Fatalf("the sessions hold %d of %d slots and may grow to %d", held, total, used)
		}
		for i, r := range reports {
			if !r.Reported || fixedLong > max(total, 0) {
				continue
			}
			ownShare := shares[i] - max(r.HeldLong, 0)
			for j, o := range reports {
				otherShare := shares[j]
				if o.Reported {
					otherShare -= max(o.HeldLong, 0)
				}
				if want := max(r.Wanted, r.Held) - max(r.HeldLong, 0); ownShare < want && otherShare > ownShare+1 && ownShare+1 < otherShare {
					t.Fatalf("session %d wants %d and gets %d while session %d gets %d", i, want, ownShare, j, otherShare)
				}
			}
		}
	})
}

// Guards against a peer without a report that gets no slots, and against a failure in a pool without sessions.
func TestSplitWithoutReports(t *testing.T) {
	c := quicktest.New(t)
	c.Check(wigeonadmission.Split(80, 1, nil), quicktest.DeepEquals, wigeonadmission.Grant{PoolSlots: 80})
	reports := []wigeonadmission.Report{
		{Session: 1, Reported: true, Demand: wigeonadmission.Demand{Wanted: 500}},
		{Session: 2, Reported: true, Demand: wigeonadmission.Demand{Wanted: 5}},
		{Session: 3},
		{Session: 4, Reported: true, Demand: wigeonadmission.Demand{Wanted: 500}},
	}
	var slots []int
	for _, r := range reports {
		slots = append(slots, wigeonadmission.Split(80, r.Session, reports).Slots)
	}
	c.Check(slots, quicktest.DeepEquals, []int{28, 5, 20, 27})
}

// Guards against idle sessions that take the few slots of a small pool, and against remainders that always go to the
// first busy sessions instead of those with the largest demand.
func TestSplitOfFewSlots(t *testing.T) {
	c := quicktest.New(t)
	reports := make([]wigeonadmission.Report, 20)
	for i := range reports {
		reports[i] = wigeonadmission.Report{Session: wigeonstep.SessionID(i), Reported: true}
	}
	for i := 10; i < 20; i++ {
		reports[i].Wanted = 1 + i%5
	}
	var with []int
	for _, r := range reports {
		if wigeonadmission.Split(8, r.Session, reports).Slots > 0 {
			with = append(with, int(r.Session))
		}
	}
	c.Check(with, quicktest.DeepEquals, []int{11, 12, 13, 14, 16, 17, 18, 19})
}

// Guards against grants of several processes that together overload a server or leave a slot unused.
func TestGrantsFillServersExactly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := 0
		var servers []wigeonrouting.Server
		for i := range rapid.IntRange(1, 12).Draw(t, "servers") {
			s := wigeonrouting.Server{VM: wigeonstep.VMID(rune('a' + i)), Slots: rapid.IntRange(0, 8).Draw(t, "slots"), InService: rapid.Bool().Draw(t, "in service")}
			if s.InService {
				total += s.Slots
			}
			servers = append(servers, s)
		}
		var reports []wigeonadmission.Report
		for i := range rapid.IntRange(1, 8).Draw(t, "sessions") {
			reports = append(reports, wigeonadmission.Report{
				Session: wigeonstep.SessionID(i), Reported: true, Demand: wigeonadmission.Demand{Wanted: rapid.IntRange(0, 40).Draw(t, "wanted")},
			})
		}
		inFlight, picked := map[wigeonstep.VMID]int{}, 0
		for _, r := range reports {
			picker := wigeonrouting.New(wigeonrouting.Config{Seed: uint64(r.Session)})
			picker.SetServers(epoch, rapid.Permutation(servers).Draw(t, "order"))
			grant := wigeonadmission.Split(total, r.Session, reports)
			picker.SetShare(grant.Ranges, grant.PoolSlots)
			for range grant.Slots {
				s, ok := picker.Pick(epoch, wigeonrouting.PickOptions{})
				if !ok {
					t.Fatalf("a request with a slot of %+v finds no server", grant)
				}
				inFlight[s.VM]++
				picked++
				if inFlight[s.VM] > s.Slots {
					t.Fatalf("%d requests on the %d slots of %s", inFlight[s.VM], s.Slots, s.VM)
				}
			}
		}
		if picked != total {
			t.Fatalf("%d requests on %d slots", picked, total)
		}
	})
}
