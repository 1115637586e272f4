package wigeonadmission_test

import (
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonadmission"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
)

// newPool returns a pool with the given slots in one process; long work may hold three quarters of them.
func newPool(slots int, documents ...*wigeondocument.Document) *wigeonadmission.Pool {
	pool := wigeonadmission.New(wigeonadmission.Config{Name: "ovens"})
	pool.SetServices(documents)
	pool.SetSlots(wigeonadmission.Grant{Slots: slots, PoolSlots: slots, LongSlots: slots * 3 / 4})
	return pool
}

// submitTickets submits n tickets and returns the started ones, the queued ones and the decisions on the refused ones.
func submitTickets(pool *wigeonadmission.Pool, now time.Time, n int, team wigeonstep.TeamName, class wigeonstep.ClassName) (
	started, queued []*wigeonadmission.Ticket, refused []wigeonadmission.Decision,
) {
	for range n {
		ticket := &wigeonadmission.Ticket{Team: team, Class: class}
		switch d := pool.Submit(now, ticket); d.Verdict {
		case wigeonadmission.Started:
			started = append(started, ticket)
		case wigeonadmission.Queued:
			queued = append(queued, ticket)
		case wigeonadmission.Refused:
			refused = append(refused, d)
		}
	}
	return started, queued, refused
}

// Guards against long work that borrows unused guaranteed slots of another team and then holds them for hours.
func TestLongWorkDoesNotBorrowGuaranteedSlots(t *testing.T) {
	c := quicktest.New(t)
	pool := newPool(16, document("a", wigeondocument.Share{Weight: 1, GuaranteedSlots: 10}, 0), document("b", wigeondocument.Share{Weight: 100}, 0))
	started, _, _ := submitTickets(pool, epoch, 20, "b", "cure")
	c.Check(started, quicktest.HasLen, 6)
	started, _, _ = submitTickets(pool, epoch, 20, "a", "bake")
	c.Check(started, quicktest.HasLen, 10)
}

// Guards against counting a team's own long runs against its short work in the reserve.
func TestOwnLongRunsDoNotBlockReserve(t *testing.T) {
	c := quicktest.New(t)
	pool := newPool(16, documents(2, 100*time.Millisecond)...)
	long, _, _ := submitTickets(pool, epoch, 20, "a", "cure")
	c.Check(long, quicktest.HasLen, 12)
	running, _, _ := submitTickets(pool, epoch, 8, "b", "bake")
	c.Check(running, quicktest.HasLen, 4)
	submitTickets(pool, epoch, 8, "a", "bake")
	shorts := 0
	for i := range 4 {
		for _, started := range pool.Finish(epoch.Add(time.Duration(i)*time.Millisecond), running[i], 100*time.Millisecond) {
			if started.Team == "a" {
				shorts++
			}
		}
	}
	c.Check(shorts, quicktest.Equals, 2)
}

// Guards against a steady stream of short work that starves the same team's long jobs.
func TestShortStreamDoesNotStarveLongWork(t *testing.T) {
	c := quicktest.New(t)
	pool := newPool(16, documents(1, 100*time.Millisecond)...)
	running, _, _ := submitTickets(pool, epoch, 32, "a", "bake")
	submitTickets(pool, epoch, 1, "a", "cure")
	started := pool.Finish(epoch, running[0], 100*time.Millisecond)
	c.Assert(started, quicktest.HasLen, 1)
	c.Check(started[0].Class, quicktest.Equals, wigeonstep.ClassName("cure"))
}

// Guards against refused callers that all retry at the same time.
func TestRetryAfterFollowsDrainRate(t *testing.T) {
	c := quicktest.New(t)
	pool := newPool(16, documents(1, 100*time.Millisecond)...)
	_, _, refused := submitTickets(pool, epoch, 3000, "a", "bake")
	c.Assert(len(refused) > 2000, quicktest.IsTrue)
	perSecond, most := map[int]int{}, 0
	for _, d := range refused {
		second := int(d.RetryAfter.Seconds())
		perSecond[second]++
		most = max(most, perSecond[second])
	}
	// 16 slots serve 160 runs of 100 ms per second; a fixed Retry-After brings back more than 2000 callers within one
	// second.
	c.Logf("of %d callers refused at once at most %d retry in the same second", len(refused), most)
	c.Check(most <= 200, quicktest.IsTrue)
}

// Guards against an estimate that follows only the mean of finished runs while all running work takes much longer and
// none of it ends.
func TestOverdueRunsRaiseEstimate(t *testing.T) {
	c := quicktest.New(t)
	pool := newPool(16, documents(1, 100*time.Millisecond)...)
	submitTickets(pool, epoch, 16, "a", "bake")
	_, queued, _ := submitTickets(pool, epoch.Add(time.Second), 10, "a", "bake")
	c.Check(queued, quicktest.HasLen, 10)
	_, queued, _ = submitTickets(pool, epoch.Add(4*time.Second), 10, "a", "bake")
	c.Check(len(queued) < 10, quicktest.IsTrue, quicktest.Commentf("%d queued", len(queued)))
}

// Guards against tickets that still wait for slots after other teams have reclaimed them, and are refused only when
// their maximum queue time has passed.
func TestTicketsThatCannotStartInTimeAreShed(t *testing.T) {
	c := quicktest.New(t)
	pool := newPool(16, documents(4, 100*time.Millisecond)...)
	running, queued, _ := submitTickets(pool, epoch, 2000, "a", "bake")
	c.Assert(len(queued) > 500, quicktest.IsTrue)
	now := epoch
	for _, team := range []wigeonstep.TeamName{"b", "c", "d"} {
		submitTickets(pool, now, 2000, team, "bake")
	}
	for _, ticket := range running {
		now = now.Add(time.Second / 160)
		pool.Finish(now, ticket, 100*time.Millisecond)
	}
	expired := slices.DeleteFunc(pool.Expire(now), func(t *wigeonadmission.Ticket) bool { return t.Team != "a" })
	c.Logf("%d of %d refused after %v", len(expired), len(queued), now.Sub(epoch))
	// Four of the sixteen slots serve 40 runs per second, so about 190 tickets start within the 4.7 s bound.
	left := len(queued) - len(expired)
	c.Check(left > 150 && left < 220, quicktest.IsTrue, quicktest.Commentf("%d tickets left", left))
	c.Assert(len(expired) > 0, quicktest.IsTrue)
	d := pool.ExpiredDecision(now, expired[0])
	c.Check(d.Status, quicktest.Equals, 503)
	c.Check(d.RetryAfter > 0, quicktest.IsTrue)
}

// Guards against queueing a request whose deadline passes before its estimated start.
func TestDeadlineBoundsTheWait(t *testing.T) {
	c := quicktest.New(t)
	pool := newPool(16, documents(1, 100*time.Millisecond)...)
	submitTickets(pool, epoch, 16+160, "a", "bake")
	for _, test := range []struct {
		left time.Duration
		want wigeonadmission.Verdict
	}{{-time.Millisecond, wigeonadmission.Refused}, {500 * time.Millisecond, wigeonadmission.Refused}, {2 * time.Second, wigeonadmission.Queued}} {
		ticket := &wigeonadmission.Ticket{Team: "a", Class: "bake", Deadline: epoch.Add(test.left)}
		c.Check(pool.Submit(epoch, ticket).Verdict, quicktest.Equals, test.want, quicktest.Commentf("%v left", test.left))
	}
}

// Guards against weights without effect in a process with fewer slots than teams, where most teams hold equally many
// slots.
func TestOneSlotFollowsWeights(t *testing.T) {
	c := quicktest.New(t)
	pool := newPool(1, document("a", wigeondocument.Share{Weight: 9}, time.Millisecond), document("b", wigeondocument.Share{Weight: 1}, time.Millisecond))
	running, _, _ := submitTickets(pool, epoch, 300, "a", "bake")
	submitTickets(pool, epoch, 300, "b", "bake")
	starts := map[wigeonstep.TeamName]int{}
	for range 200 {
		running = pool.Finish(epoch, running[0], time.Millisecond)
		starts[running[0].Team]++
	}
	c.Check(starts["a"] >= 175 && starts["a"] <= 185, quicktest.IsTrue, quicktest.Commentf("%v", starts))
}
