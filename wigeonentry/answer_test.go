package wigeonentry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonfake"
)

// TestDamagedAnswers guards against a truncated answer, or an answer to another request, that reaches a caller. The
// idempotent request is sent again. The order ends as unknown and is not.
func TestDamagedAnswers(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults wigeonfake.BackendFaults
	}{
		{"cut in the middle", wigeonfake.BackendFaults{TruncateNextAnswers: 1}},
		{"of another request", wigeonfake.BackendFaults{MismatchNextAnswers: 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, 1, 1, nil)
			e := f.entries[0]
			for range 10 { // first attempts, which fill the retry budget
				f.c.Assert(e.read("before").outcome, qt.Equals, wigeonstep.OutcomeDone)
			}
			f.backends[0].SetFaults(test.faults)
			got := e.read("repeated")
			f.c.Assert(got.outcome, qt.Equals, wigeonstep.OutcomeDone, qt.Commentf("%+v", got))
			_, err := wigeonfake.CheckAnswer([]byte(got.body), []byte("repeated"))
			f.c.Assert(err, qt.IsNil)
			f.c.Assert(f.runCounter.RunsOfBody([]byte("repeated")), qt.Equals, 2)

			f.backends[0].SetFaults(test.faults)
			for range 2 {
				order := e.order("order-1", "once")
				f.c.Assert(order.outcome, qt.Equals, wigeonstep.OutcomeUnknown, qt.Commentf("%+v", order))
				f.c.Assert(order.status, qt.Equals, http.StatusBadGateway)
			}
			f.c.Assert(f.runCounter.RunsOfKey("order-1"), qt.Equals, 1)
		})
	}
}

// TestCallerDisconnects guards against an answer that reaches another caller after its own caller has closed the
// connection, and against a second run of the order when it is repeated.
func TestCallerDisconnects(t *testing.T) {
	f := newFleet(t, 1, 1, nil)
	e := f.entries[0]
	f.backends[0].SetFaults(wigeonfake.BackendFaults{Paused: true})
	conn := dial(t, e.address)
	_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\n%s: wax\r\n%s: order\r\n%s: order-1\r\nContent-Length: 3\r\n\r\nwax",
		wigeonstep.HeaderTeam, wigeonstep.HeaderClass, wigeonstep.HeaderIdempotencyKey)
	f.c.Assert(err, qt.IsNil)
	waitFor(t, "the order to reach the backend server", func() bool { return f.backends[0].Stats().Waiting == 1 })
	f.c.Assert(conn.Close(), qt.IsNil)
	f.backends[0].SetFaults(wigeonfake.BackendFaults{})
	for i := range 20 {
		body := fmt.Sprintf("other %d", i)
		_, err := wigeonfake.CheckAnswer([]byte(e.read(body).body), []byte(body))
		f.c.Assert(err, qt.IsNil)
	}
	got := send(e.address, http.MethodPost, "/", "wax", wigeonstep.HeaderTeam, "wax", wigeonstep.HeaderClass, "order", wigeonstep.HeaderIdempotencyKey, "order-1")
	f.c.Assert(got.outcome, qt.Equals, wigeonstep.OutcomeDone, qt.Commentf("%+v", got))
	f.c.Assert(f.runCounter.RunsOfKey("order-1"), qt.Equals, 1)
}

// TestLargeAnswers guards against truncated or mixed answers when they exceed every buffer and other requests share the
// connections.
func TestLargeAnswers(t *testing.T) {
	f := newFleet(t, 2, 1, nil)
	answers := make(chan error, 40)
	for i := range cap(answers) {
		go func() {
			body := strings.Repeat(fmt.Sprint(i), 10_000)
			got := send(f.entries[0].address, http.MethodPost, fmt.Sprintf("/x?answer_bytes=%d", i%4*200_000), body, wigeonstep.HeaderTeam, "wax", wigeonstep.HeaderClass, "read")
			_, err := wigeonfake.CheckAnswer([]byte(got.body), []byte(body))
			answers <- err
		}()
	}
	for range cap(answers) {
		f.c.Assert(<-answers, qt.IsNil)
	}
}
