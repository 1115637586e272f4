package wigeonfake_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonfake"
)

// sendResult is the result of send. Other fields are zero if err is set before a response arrives.
type sendResult struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// send posts the body with the headers, given as pairs of a name and a value, over a new connection.
func send(t testing.TB, address, body string, headers ...string) sendResult {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/order", strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return sendResult{err: err}
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return sendResult{status: response.StatusCode, header: response.Header, body: read, err: err}
}

func startBackend(t testing.TB, backend *wigeonfake.BackendServer) *wigeonfake.BackendServer {
	t.Helper()
	qt.Assert(t, backend.Start("127.0.0.1:0"), qt.IsNil)
	t.Cleanup(backend.Stop)
	return backend
}

func waitFor(t testing.TB, event string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out after 10 s waiting for %s", event)
		}
	}
}

// Guards against answers that cannot be matched to their request or are accepted when damaged, and against runs that
// are not counted.
func TestBackendAnswersAndCounts(t *testing.T) {
	backend := startBackend(t, &wigeonfake.BackendServer{VM: "a1"})
	for run := 1; run <= 2; run++ {
		got := send(t, backend.Address(), "wax", wigeonstep.HeaderRequestID, "r1", wigeonstep.HeaderIdempotencyKey, "k1",
			wigeonfake.HeaderAnswerBytes, "100000")
		qt.Assert(t, got.err, qt.IsNil)
		qt.Assert(t, got.header.Get(wigeonstep.HeaderRequestID), qt.Equals, "r1")
		answer, err := wigeonfake.CheckAnswer(got.body, []byte("wax"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, answer.Run, qt.Equals, run)
		_, err = wigeonfake.CheckAnswer(got.body, []byte("other"))
		qt.Assert(t, err, qt.ErrorIs, wigeonfake.ErrMismatchedAnswer)
		_, err = wigeonfake.CheckAnswer(got.body[:len(got.body)-1], []byte("wax"))
		qt.Assert(t, err, qt.ErrorIs, wigeonfake.ErrIncompleteAnswer)
	}
	qt.Assert(t, backend.Runs().RunsOfKey("k1"), qt.Equals, 2)
	qt.Assert(t, backend.Runs().RunsOfRequest("r1"), qt.Equals, 2)
	qt.Assert(t, backend.Runs().RunsOfBody([]byte("wax")), qt.Equals, 2)
}

// Guards against a refused request that runs, and against a refusal without the outcome not_run.
func TestBackendRefusals(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(backend *wigeonfake.BackendServer)
		leaving string
		reason  string
	}{
		{"stale epoch", func(b *wigeonfake.BackendServer) { b.RaiseFence(8) }, "", "stale epoch"},
		{"leaving", func(b *wigeonfake.BackendServer) { b.SetFaults(wigeonfake.BackendFaults{Leaving: true}) }, "1", "leaving"},
	} {
		t.Run(test.name, func(t *testing.T) {
			backend := startBackend(t, &wigeonfake.BackendServer{})
			test.prepare(backend)
			got := send(t, backend.Address(), "x", wigeonstep.HeaderFence, "7")
			qt.Assert(t, got.status, qt.Equals, http.StatusServiceUnavailable)
			qt.Assert(t, got.header.Get(wigeonstep.HeaderOutcome), qt.Equals, "not_run")
			qt.Assert(t, got.header.Get(wigeonstep.HeaderLeaving), qt.Equals, test.leaving)
			qt.Assert(t, string(got.body), qt.Contains, test.reason)
			qt.Assert(t, backend.Runs().Counts().Total, qt.Equals, 0)
		})
	}
}

// Guards against a paused server that runs requests, and against requests that are lost when the pause ends.
func TestBackendPause(t *testing.T) {
	backend := startBackend(t, &wigeonfake.BackendServer{})
	backend.SetFaults(wigeonfake.BackendFaults{Paused: true})
	delayed := make(chan sendResult)
	go func() { delayed <- send(t, backend.Address(), "a") }()
	waitFor(t, "the arrival of the request", func() bool { return backend.Stats().Waiting == 1 })
	qt.Assert(t, backend.Runs().Counts().Total, qt.Equals, 0)
	backend.SetFaults(wigeonfake.BackendFaults{})
	qt.Assert(t, (<-delayed).status, qt.Equals, http.StatusOK)
}

// Guards against a server that accepts more connections than its limit, and against waiting connections that are never
// accepted.
func TestBackendConnections(t *testing.T) {
	backend := startBackend(t, &wigeonfake.BackendServer{Connections: 2})
	var calls sync.WaitGroup
	for range 6 {
		calls.Go(func() {
			qt.Check(t, send(t, backend.Address(), "a", wigeonfake.HeaderRunMS, "10").status, qt.Equals, http.StatusOK)
		})
	}
	calls.Wait()
	qt.Assert(t, backend.Stats().MaxInFlight <= 2, qt.IsTrue)
}

// Guards against a slow factor that does not multiply the run time.
func TestBackendSlow(t *testing.T) {
	backend := startBackend(t, &wigeonfake.BackendServer{})
	backend.SetFaults(wigeonfake.BackendFaults{SlowFactor: 10})
	begin := time.Now()
	qt.Assert(t, send(t, backend.Address(), "a", wigeonfake.HeaderRunMS, "5").status, qt.Equals, http.StatusOK)
	qt.Assert(t, time.Since(begin) >= 50*time.Millisecond, qt.IsTrue)
}

// Guards against a server that runs more requests than it has slots, and against a stop that waits for running requests.
func TestBackendBusyWhileOthersRun(t *testing.T) {
	backend := startBackend(t, &wigeonfake.BackendServer{Slots: 1})
	interrupted := make(chan sendResult)
	go func() { interrupted <- send(t, backend.Address(), "b", wigeonfake.HeaderRunMS, "60000") }()
	waitFor(t, "the start of the first request", func() bool { return backend.Stats().InFlight == 1 })
	got := send(t, backend.Address(), "c")
	qt.Assert(t, got.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, string(got.body), qt.Contains, "busy")
	backend.Stop()
	qt.Assert(t, (<-interrupted).err, qt.IsNotNil)
	qt.Assert(t, backend.Stats().CutOff, qt.Equals, 1)
}

// Guards against injected answer faults that a caller could mistake for valid answers, and against faults that continue
// after they were turned off.
func TestBackendAnswerFaults(t *testing.T) {
	backend := startBackend(t, &wigeonfake.BackendServer{Seed: 3})
	backend.SetFaults(wigeonfake.BackendFaults{TruncateNextAnswers: 20})
	for range 20 {
		got := send(t, backend.Address(), "x", wigeonfake.HeaderAnswerBytes, "5000")
		qt.Assert(t, got.err, qt.IsNotNil)
	}
	backend.SetFaults(wigeonfake.BackendFaults{MismatchNextAnswers: 1})
	got := send(t, backend.Address(), "x", wigeonstep.HeaderRequestID, "r")
	qt.Assert(t, got.header.Get(wigeonstep.HeaderRequestID), qt.Not(qt.Equals), "r")
	_, err := wigeonfake.CheckAnswer(got.body, []byte("x"))
	qt.Assert(t, errors.Is(err, wigeonfake.ErrMismatchedAnswer), qt.IsTrue)
	backend.SetFaults(wigeonfake.BackendFaults{FailAll: true})
	qt.Assert(t, send(t, backend.Address(), "x").status, qt.Equals, http.StatusInternalServerError)
	backend.SetFaults(wigeonfake.BackendFaults{})
	qt.Assert(t, send(t, backend.Address(), "x").status, qt.Equals, http.StatusOK)
}

// Guards against backend servers that do not follow the state of their VM, and against a reboot that changes the address.
func TestFleetAppliesVMEvents(t *testing.T) {
	ctx := t.Context()
	var fleet wigeonfake.Fleet
	t.Cleanup(fleet.Close)
	backend, err := fleet.Add(wigeonstep.ListedVM{ID: "a1", Pool: "wax"})
	qt.Assert(t, err, qt.IsNil)
	address := backend.Address()
	qt.Assert(t, fleet.Platform.DrainVM(ctx, "a1", 1), qt.IsNil)
	qt.Assert(t, send(t, address, "x").header.Get(wigeonstep.HeaderLeaving), qt.Equals, "1")
	qt.Assert(t, fleet.Platform.RebootVM(ctx, "a1", 2), qt.IsNil)
	waitFor(t, "the end of the reboot", func() bool {
		state, _ := fleet.Platform.VM("a1")
		return state.Up && send(t, address, "x").err == nil
	})
	qt.Assert(t, fleet.Platform.AssignVM(ctx, "a1", "orders", 3), qt.IsNil)
	qt.Assert(t, send(t, address, "x", wigeonstep.HeaderFence, "2").status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, send(t, address, "x", wigeonstep.HeaderFence, "3").status, qt.Equals, http.StatusOK)
	qt.Assert(t, fleet.Platform.Reboots("a1"), qt.Equals, 1)
}
