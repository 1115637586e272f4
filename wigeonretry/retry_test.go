package wigeonretry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
	"github.com/wigeonstep/wigeonstep/wigeonretry"
)

var epoch = time.Unix(1_800_000_000, 0)

// Guards against retries that could run non-idempotent work twice, and against retries without a retry policy, after the last
// attempt, after the deadline, or of requests that did not fail (docs/design.md, section 9).
func TestDecide(t *testing.T) {
	const never, safe = wigeondocument.RetryNever, wigeondocument.RetrySafe
	for _, test := range []struct {
		name       string
		policy     wigeondocument.RetryPolicy
		idempotent bool
		attempt    int
		verdict    wigeonstep.BackendVerdict
		status     int
		remaining  time.Duration
		want       bool
	}{
		{"not sent", safe, false, 1, wigeonstep.BackendNotSent, 0, time.Second, true},
		{"busy", safe, false, 1, wigeonstep.BackendBusy, 429, time.Second, true},
		{"leaving", safe, false, 2, wigeonstep.BackendLeaving, 503, time.Second, true},
		{"lost", safe, false, 1, wigeonstep.BackendOutcomeUnknown, 0, time.Second, false},
		{"lost, idempotent", safe, true, 1, wigeonstep.BackendOutcomeUnknown, 0, time.Second, true},
		{"server error", safe, false, 1, wigeonstep.BackendAnswered, 500, time.Second, false},
		{"server error, idempotent", safe, true, 1, wigeonstep.BackendAnswered, 500, time.Second, true},
		{"success", safe, true, 1, wigeonstep.BackendAnswered, 200, time.Second, false},
		{"client error", safe, true, 1, wigeonstep.BackendAnswered, 400, time.Second, false},
		{"never, not sent", never, true, 1, wigeonstep.BackendNotSent, 0, time.Second, false},
		{"never, lost", never, true, 1, wigeonstep.BackendOutcomeUnknown, 0, time.Second, false},
		{"third attempt", safe, true, 3, wigeonstep.BackendNotSent, 0, time.Second, false},
		{"no time left", safe, true, 1, wigeonstep.BackendNotSent, 0, time.Millisecond, false},
		{"no verdict", safe, true, 1, 0, 0, time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			budget := &wigeonretry.Budget{}
			for range 5 {
				budget.CountFirstAttempt(epoch)
			}
			result := wigeonstep.BackendResult{Verdict: test.verdict, Status: test.status}
			again, delay := wigeonretry.Decide(test.policy, test.idempotent, test.attempt, result, epoch, epoch.Add(test.remaining), budget,
				rand.New(rand.NewPCG(1, 1)))
			c.Check(again, quicktest.Equals, test.want)
			c.Check(delay > 0, quicktest.Equals, test.want)
			c.Check(budget.TryRetry(epoch), quicktest.Equals, !test.want, quicktest.Commentf("only a retry is charged"))
		})
	}
}

// Guards against more than one retry for every five first attempts of the last 10 s.
func TestBudgetProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := &wigeonretry.Budget{}
		now := epoch
		var firsts, retries []time.Time
		countRecent := func(times []time.Time) (n int) {
			for _, at := range times {
				if now.Sub(at) <= 10*time.Second {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 300, 1000, 9999, 30000}).Draw(t, "ms")) * time.Millisecond)
			for range rapid.IntRange(0, 20).Draw(t, "firsts") {
				budget.CountFirstAttempt(now)
				firsts = append(firsts, now)
			}
			for range rapid.IntRange(0, 5).Draw(t, "retries") {
				if budget.TryRetry(now) {
					retries = append(retries, now)
					if r, f := countRecent(retries), countRecent(firsts); r*5 > f {
						t.Fatalf("%d retries for %d first attempts in 10 s", r, f)
					}
				}
			}
		}
	})
}
