package wigeonentry_test

import (
	"encoding/json"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonfake"
)

// TestRequestIsServed guards the basic path: each request reaches a backend server, and its caller gets the answer to it.
func TestRequestIsServed(t *testing.T) {
	f := newFleet(t, 2, 2, nil)
	for i, body := range []string{"first", "second", "third"} {
		got := f.entries[i%2].read(body)
		f.c.Assert(got.err, qt.IsNil)
		f.c.Assert(got.outcome, qt.Equals, wigeonstep.OutcomeDone, qt.Commentf("%+v", got))
		_, err := wigeonfake.CheckAnswer([]byte(got.body), []byte(body))
		f.c.Assert(err, qt.IsNil)
	}
}

// TestKeyRunsOnce guards against a second run of a key that is repeated at the same entry process and at others,
// concurrently and later.
func TestKeyRunsOnce(t *testing.T) {
	f := newFleet(t, 2, 3, nil)
	answers := make(chan answer, 30)
	for i := range cap(answers) {
		go func() { answers <- f.entries[i%3].order("order-1", "wax for grafting") }()
	}
	for range cap(answers) {
		got := <-answers
		f.c.Assert(got.err, qt.IsNil)
		f.c.Assert(got.outcome, qt.Equals, wigeonstep.OutcomeDone, qt.Commentf("%+v", got))
	}
	f.c.Assert(f.runCounter.RunsOfKey("order-1"), qt.Equals, 1)

	reused := f.entries[0].order("order-1", "another order")
	f.c.Assert(reused.status, qt.Equals, http.StatusUnprocessableEntity)
	f.c.Assert(reused.outcome, qt.Equals, wigeonstep.OutcomeUnknown)
	f.c.Assert(f.runCounter.RunsOfKey("order-1"), qt.Equals, 1)
}

// TestIssuedKeys guards against issued keys that fail while the log is down or that run more than once, also when they
// are sent to a process other than their issuer.
func TestIssuedKeys(t *testing.T) {
	f := newFleet(t, 2, 2, nil)
	got := send(f.entries[0].address, http.MethodPost, "/wigeonstep/keys?count=2", "")
	f.c.Assert(got.status, qt.Equals, http.StatusCreated, qt.Commentf("%+v", got))
	var issued struct{ Keys []string }
	f.c.Assert(json.Unmarshal([]byte(got.body), &issued), qt.IsNil)
	f.c.Assert(issued.Keys, qt.HasLen, 2)

	f.log.setDown(true)
	for _, e := range f.entries {
		for range 3 {
			answer := e.order(issued.Keys[0], "issued")
			f.c.Assert(answer.outcome, qt.Equals, wigeonstep.OutcomeDone, qt.Commentf("%+v", answer))
		}
	}
	f.c.Assert(f.runCounter.RunsOfKey(wigeonstep.IdempotencyKey(issued.Keys[0])), qt.Equals, 1)
}

// TestBadInput guards against bad input that runs or that gets another error than the one that names the fault.
func TestBadInput(t *testing.T) {
	f := newFleet(t, 1, 1, nil)
	for _, test := range []struct {
		name    string
		headers []string
		status  int
		reason  string
	}{
		{"unknown team", []string{wigeonstep.HeaderTeam, "nobody", wigeonstep.HeaderClass, "read"}, 400, "no document in force has this team and class"},
		{"unknown class", []string{wigeonstep.HeaderTeam, "wax", wigeonstep.HeaderClass, "none"}, 400, "no document in force has this team and class"},
		{"no team", nil, 400, "the header Wigeonstep-Team is missing or too long"},
		{"no key", []string{wigeonstep.HeaderTeam, "wax", wigeonstep.HeaderClass, "order"}, 400, "the class is not idempotent, so the request needs the header Idempotency-Key"},
		{"deadline past", []string{wigeonstep.HeaderTeam, "wax", wigeonstep.HeaderClass, "read", wigeonstep.HeaderDeadlineMS, "0"}, 400, "the deadline is already past"},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := send(f.entries[0].address, http.MethodPost, "/x", "body", test.headers...)
			qt.Assert(t, got.status, qt.Equals, test.status)
			qt.Assert(t, got.outcome, qt.Equals, wigeonstep.OutcomeNotRun)
			qt.Assert(t, got.header.Get("Content-Type"), qt.Equals, "application/problem+json")
			var problem struct{ Reason string }
			qt.Assert(t, json.Unmarshal([]byte(got.body), &problem), qt.IsNil)
			qt.Assert(t, problem.Reason, qt.Equals, test.reason)
		})
	}
	f.c.Assert(f.runCounter.Counts().Total, qt.Equals, 0)
}
