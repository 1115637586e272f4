package wigeonrelay

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

var testWorker = wigeonstep.WorkerRef{ID: "i-1", Address: "10.1.0.1:80"}

func testOrder(number wigeonstep.RunNumber) wigeonstep.StartOrder {
	return wigeonstep.StartOrder{
		Run: wigeonstep.RunID{Task: wigeonstep.TaskID{Job: "5c0e7a21d94b36f8", Occurrence: 1, Step: 2, Index: 3}, Number: number}, Spec: "spec \xff",
		LeaseEnd: 5000, Fence: 7, Checkpoint: "saved \xff", Ticket: "ticket",
	}
}

// pipe is an in-memory connection that passes encoded messages.
type pipe struct {
	in, out chan []byte
	closed  chan struct{}
	// close closes the channel closed of both ends, once; several goroutines close an end at the same time.
	close func()
}

func newPipe() (owner, relay *pipe) {
	a, b, closed := make(chan []byte, 100), make(chan []byte, 100), make(chan struct{})
	closeBoth := sync.OnceFunc(func() { close(closed) })
	return &pipe{in: a, out: b, closed: closed, close: closeBoth}, &pipe{in: b, out: a, closed: closed, close: closeBoth}
}

func (p *pipe) Send(message proto.Message) error {
	encoded, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	select {
	case p.out <- encoded:
		return nil
	case <-p.closed:
		return io.ErrClosedPipe
	}
}

func (p *pipe) Receive(message proto.Message) error {
	select {
	case encoded := <-p.in:
		return proto.Unmarshal(encoded, message)
	case <-p.closed:
		return io.EOF
	}
}

func (p *pipe) Close() { p.close() }

// recordingWorkers records the orders that it gets and answers them after delay.
type recordingWorkers struct {
	delay time.Duration

	mu         sync.Mutex
	starts     []wigeonstep.StartOrder
	heartbeats []wigeonstep.HeartbeatRequest
}

func (w *recordingWorkers) Start(_ context.Context, _ wigeonstep.WorkerRef, order wigeonstep.StartOrder) wigeonstep.StartResult {
	w.mu.Lock()
	w.starts = append(w.starts, order)
	w.mu.Unlock()
	time.Sleep(w.delay)
	return wigeonstep.StartResult{Verdict: wigeonstep.StartNoCapacity, Clock: 4000, Err: errors.New("no room \xff")}
}

func (w *recordingWorkers) Stop(context.Context, wigeonstep.WorkerRef, wigeonstep.RunID, wigeonstep.FencingToken) error {
	return wigeonstep.ErrFenced
}

func (w *recordingWorkers) Throttle(context.Context, wigeonstep.WorkerRef, wigeonstep.RunID, int, wigeonstep.FencingToken) error {
	return nil
}

var testReport = wigeonstep.HeartbeatResult{
	Clock: 4000, StartedAt: 17, MoreEnded: true, UndecodableRows: []string{"row \xff"},
	Running: []wigeonstep.RunningRun{{Run: testOrder(2).Run, Checkpoint: "saved \xff", ProgressPercent: 41, TailLatency: 12 * time.Millisecond, CPU: 1500}},
	Ended:   []wigeonstep.EndedRun{{Number: 58, Run: testOrder(1).Run, Cause: wigeonstep.EndFailed, Checkpoint: "c"}},
}

func (w *recordingWorkers) Heartbeat(_ context.Context, _ wigeonstep.WorkerRef, request wigeonstep.HeartbeatRequest) (wigeonstep.HeartbeatResult, error) {
	w.mu.Lock()
	w.heartbeats = append(w.heartbeats, request)
	w.mu.Unlock()
	time.Sleep(w.delay)
	return testReport, nil
}

// testRelay is a relay whose clock differs from that of the owner, and the link to it.
type testRelay struct {
	*Link
	workers *recordingWorkers
	conn    *pipe
	// offset is the relay's clock when the owner's is 0.
	offset time.Duration
	began  time.Time
}

func (r *testRelay) now() time.Duration { return time.Since(r.began) }

// startRelay starts a relay in a bubble of synctest, which stop ends.
func startRelay(t *testing.T) (r *testRelay, stop func()) {
	t.Helper()
	ownerConn, relayConn := newPipe()
	r = &testRelay{workers: &recordingWorkers{}, conn: ownerConn, offset: time.Hour, began: time.Now()}
	relay := Relay{Workers: r.workers, Now: func() time.Duration { return r.now() + r.offset }}
	ctx, cancel := context.WithCancel(context.Background())
	go relay.Serve(ctx, relayConn)
	r.Link = NewLink("10.0.0.1:7060", r.now(), r.receive(t))
	go r.Send(ownerConn)
	return r, func() {
		r.Fail(errors.New("the test ends"))
		cancel()
		ownerConn.Close()
		synctest.Wait()
	}
}

func (r *testRelay) receive(t *testing.T) *wigeonwire.RelayResults {
	t.Helper()
	frame := &wigeonwire.RelayResults{}
	qt.Assert(t, r.conn.Receive(frame), qt.IsNil)
	return frame
}

// Guards against orders or results that change on their way through a relay, also if they hold bytes that are not text.
func TestOrdersPassThroughUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, stop := startRelay(t)
		defer stop()
		order, request := testOrder(2), wigeonstep.HeartbeatRequest{Fence: 7, LeaseEnd: 6000, AckedEnd: 57, Wait: 800 * time.Millisecond}
		var started wigeonstep.StartResult
		var stopped, throttled error
		var report wigeonstep.HeartbeatResult
		var acked bool
		answers := 0
		r.Start(testWorker, order, r.now()+time.Second, func(result wigeonstep.StartResult) { started, answers = result, answers+1 })
		r.Stop(testWorker, order.Run, 7, func(err error) { stopped, answers = err, answers+1 })
		r.Throttle(testWorker, order.Run, 40, 7, func(err error) { throttled, answers = err, answers+1 })
		r.Heartbeat(testWorker, request, r.now()+time.Second, func(result wigeonstep.HeartbeatResult, a bool, err error) {
			qt.Assert(t, err, qt.IsNil)
			report, acked, answers = result, a, answers+1
		})
		qt.Assert(t, r.Flush(), qt.IsTrue)
		for answers < 4 {
			r.Apply(r.now(), r.receive(t))
		}
		qt.Assert(t, r.workers.starts, qt.DeepEquals, []wigeonstep.StartOrder{order})
		qt.Assert(t, r.workers.heartbeats, qt.DeepEquals, []wigeonstep.HeartbeatRequest{request})
		qt.Assert(t, started.Verdict, qt.Equals, wigeonstep.StartNoCapacity)
		qt.Assert(t, started.Clock, qt.Equals, wigeonstep.WorkerMillis(4000))
		qt.Assert(t, started.Err.Error(), qt.Equals, "no room \xff")
		qt.Assert(t, stopped, qt.ErrorIs, wigeonstep.ErrFenced)
		qt.Assert(t, throttled, qt.IsNil)
		qt.Assert(t, report, qt.DeepEquals, testReport)
		qt.Assert(t, acked, qt.IsTrue)
		qt.Assert(t, r.Pending(), qt.Equals, 0)
	})
}

// Guards against a start that leaves, or ends that are acknowledged, after the time that the owner allowed: a frame that was
// delayed on its way, or a relay that was paused, acts on a permission that has run out.
func TestDelayedOrdersHaveNoEffect(t *testing.T) {
	for _, test := range []struct {
		name  string
		delay time.Duration
		sent  bool
	}{
		{"in time", 240 * time.Millisecond, true},
		{"late", 251 * time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, stop := startRelay(t)
				defer stop()
				var verdict wigeonstep.StartVerdict
				var acked bool
				answers := 0
				r.Start(testWorker, testOrder(1), r.now()+250*time.Millisecond, func(result wigeonstep.StartResult) { verdict, answers = result.Verdict, answers+1 })
				r.Heartbeat(testWorker, wigeonstep.HeartbeatRequest{AckedEnd: 5}, r.now()+250*time.Millisecond, func(_ wigeonstep.HeartbeatResult, a bool, _ error) {
					acked, answers = a, answers+1
				})
				time.Sleep(test.delay)
				r.Flush()
				for answers < 2 {
					r.Apply(r.now(), r.receive(t))
				}
				qt.Assert(t, verdict == wigeonstep.StartNotSent, qt.Equals, !test.sent)
				qt.Assert(t, len(r.workers.starts) == 1, qt.Equals, test.sent)
				qt.Assert(t, r.workers.heartbeats[0].AckedEnd == 5, qt.Equals, test.sent)
				qt.Assert(t, acked, qt.Equals, test.sent)
			})
		})
	}
}

// Guards against a deadline that is too late on the relay's clock, because the reading of that clock was long on its way, or the
// two clocks run at different rates.
func TestRelayTimeIsNeverLate(t *testing.T) {
	for _, test := range []struct {
		name         string
		transit, age time.Duration
		relayRate    float64
	}{
		{"fresh reading", 0, 0, 1},
		{"reading that was long on its way", 300 * time.Millisecond, 0, 1},
		{"old reading of a slow clock", 0, 2 * time.Second, 0.98},
	} {
		t.Run(test.name, func(t *testing.T) {
			// The relay's clock shows relayRate*t at the owner's time t.
			readAt := 10 * time.Second
			l := NewLink("a", readAt+test.transit, &wigeonwire.RelayResults{ClockNs: int64(float64(readAt) * test.relayRate)})
			deadline := readAt + test.transit + test.age + 250*time.Millisecond
			onRelay := l.relayTime(deadline)
			latest := time.Duration(float64(deadline) * test.relayRate)
			qt.Assert(t, onRelay <= latest, qt.IsTrue, qt.Commentf("%v, not after %v", onRelay, latest))
		})
	}
}

// Guards against orders without an answer when a relay is lost, and against starts that count as not sent although the relay may
// have sent them.
func TestLostRelayAnswersEachOrderOnce(t *testing.T) {
	l := NewLink("a", 0, &wigeonwire.RelayResults{})
	answers := 0
	l.Start(testWorker, testOrder(1), time.Second, func(result wigeonstep.StartResult) {
		answers++
		qt.Check(t, result.Verdict, qt.Equals, wigeonstep.StartUnknown)
	})
	l.Stop(testWorker, testOrder(1).Run, 7, func(err error) {
		answers++
		qt.Check(t, err, qt.ErrorIs, wigeonstep.ErrAnswerLost)
	})
	l.Heartbeat(testWorker, wigeonstep.HeartbeatRequest{}, time.Second, func(_ wigeonstep.HeartbeatResult, acked bool, err error) {
		answers++
		qt.Check(t, acked, qt.IsFalse)
		qt.Check(t, err, qt.ErrorIs, wigeonstep.ErrAnswerLost)
	})
	l.Fail(io.EOF)
	l.Fail(io.EOF)
	l.Apply(0, &wigeonwire.RelayResults{Results: []*wigeonwire.RelayResult{{Number: 1}, {Number: 2}, {Number: 99}}})
	qt.Assert(t, answers, qt.Equals, 3)
}

// Guards against a relay that stands still unnoticed, and against a pause of the owner that counts as one of its relays.
func TestSilenceOfRelay(t *testing.T) {
	l := NewLink("a", 0, &wigeonwire.RelayResults{})
	qt.Assert(t, l.Tick(10*time.Second), qt.IsFalse)
	lost := 0
	for range 16 {
		if l.Tick(25 * time.Millisecond) {
			lost++
		}
	}
	qt.Assert(t, lost > 0, qt.IsTrue)
	l.Apply(0, &wigeonwire.RelayResults{})
	qt.Assert(t, l.Tick(25*time.Millisecond), qt.IsFalse)
}

// Guards against an idle relay that counts as lost: it sends frames without results.
func TestIdleRelayShowsThatItIsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, stop := startRelay(t)
		defer stop()
		for range 20 {
			before := r.now()
			r.Apply(r.now(), r.receive(t))
			qt.Assert(t, r.now()-before <= keepAlive, qt.IsTrue)
		}
	})
}

// Guards against a relay that takes on more orders than it can send: those beyond its limit are refused at once, as not sent.
func TestFullRelayRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, stop := startRelay(t)
		defer stop()
		r.workers.delay = 50 * time.Millisecond
		verdicts := map[wigeonstep.StartVerdict]int{}
		answers := 0
		const orders = maxInFlight + 10
		for range orders {
			r.Start(testWorker, testOrder(1), r.now()+time.Second, func(result wigeonstep.StartResult) {
				verdicts[result.Verdict]++
				answers++
			})
		}
		r.Flush()
		for answers < orders {
			r.Apply(r.now(), r.receive(t))
		}
		qt.Assert(t, verdicts, qt.DeepEquals, map[wigeonstep.StartVerdict]int{wigeonstep.StartNoCapacity: maxInFlight, wigeonstep.StartNotSent: 10})
	})
}

// Guards against an unknown order or result, such as one of a newer version, that ends a process or is taken for another one.
func TestUnknownOrderIsRejected(t *testing.T) {
	s := &session{Relay: &Relay{Workers: &recordingWorkers{}, Now: func() time.Duration { return 0 }}, ctx: t.Context()}
	result := s.execute(&wigeonwire.RelayOrder{Number: 3})
	qt.Assert(t, decodeError(result.GetError()), qt.ErrorIs, wigeonstep.ErrRejected)
	qt.Assert(t, decodeStarted(&wigeonwire.RelayResult{}).Verdict, qt.Equals, wigeonstep.StartUnknown)
	qt.Assert(t, decodeError(&wigeonwire.RelayError{Kind: 99}), qt.ErrorIs, wigeonstep.ErrAnswerLost)
}
