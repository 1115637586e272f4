package wigeonentry_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// testLog is the fleet stream of one test, with a fold for each follower.
type testLog struct {
	mu        sync.Mutex
	records   [][]byte
	followers []*testFollower
	// down refuses appends and confirms no view.
	down bool
	// loseAnswers is how many of the next appends take effect without an answer.
	loseAnswers int
}

func (l *testLog) appendBatch(session, sequence uint64, entries ...*wigeonwire.Entry) error {
	payload, err := proto.Marshal(&wigeonwire.Batch{Session: session, Sequence: sequence, AtUnixMs: time.Now().UnixMilli(), Entries: entries})
	if err != nil {
		return err
	}
	l.records = append(l.records, payload)
	var reason string
	for _, f := range l.followers {
		for _, v := range f.catchUp(l.records) {
			if !v.Accepted && v.Session == wigeonstep.SessionID(session) {
				reason = v.Reason
			}
		}
	}
	if reason != "" {
		return fmt.Errorf("%w: %s", wigeonstep.ErrRejected, reason)
	}
	return nil
}

func (l *testLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	for _, f := range l.followers {
		f.confirmed.Store(time.Now().UnixNano())
	}
}

// testFollower folds every record at once and implements wigeonentry.Follower.
type testFollower struct {
	log     *testLog
	session wigeonstep.SessionID

	mu       sync.Mutex
	state    wigeonstate.State
	sequence uint64
	renewals uint64
	view     atomic.Pointer[wigeonstate.View]
	// confirmed is the time of the last confirmation in nanoseconds, which counts only while the log is down.
	confirmed atomic.Int64
	// leaseLost makes the lease invalid while the view stays fresh, as failing appends do.
	leaseLost atomic.Bool
	closed    atomic.Bool
	// ready and closing are guarded by the lock of the log.
	ready, closing bool
}

func (l *testLog) follow(t testing.TB, session uint64, role wigeonwire.Role, dataCentre, peerAddress string) *testFollower {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	f := &testFollower{log: l, session: wigeonstep.SessionID(session)}
	f.view.Store(&wigeonstate.View{})
	l.followers = append(l.followers, f)
	f.catchUp(l.records)
	qt.Assert(t, f.append(&wigeonwire.Entry{Body: &wigeonwire.Entry_SessionOpen{SessionOpen: &wigeonwire.SessionOpen{
		Role: role, DataCentre: dataCentre, PeerAddress: peerAddress,
	}}}), qt.IsNil)
	return f
}

func (f *testFollower) catchUp(records [][]byte) []wigeonstate.Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	var verdicts []wigeonstate.Verdict
	for i := int(f.state.Next()); i < len(records); i++ {
		verdicts = append(verdicts, f.state.Apply(wigeonstep.Offset(i), records[i])...)
	}
	f.view.Store(f.state.View())
	return verdicts
}

// append adds one entry of the session; the caller holds the lock of the log.
func (f *testFollower) append(entry *wigeonwire.Entry) error {
	f.sequence++
	return f.log.appendBatch(uint64(f.session), f.sequence, entry)
}

func (f *testFollower) must(t testing.TB, entries ...*wigeonwire.Entry) {
	t.Helper()
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	for _, entry := range entries {
		qt.Assert(t, f.append(entry), qt.IsNil, qt.Commentf("%v", entry))
	}
}

func (f *testFollower) Propose(_ context.Context, entry *wigeonwire.Entry) (wigeonstep.Offset, error) {
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	if f.log.down {
		return 0, wigeonstep.ErrUnavailable
	}
	err := f.append(entry)
	if f.log.loseAnswers > 0 {
		f.log.loseAnswers--
		return 0, wigeonstep.ErrAnswerLost
	}
	return wigeonstep.Offset(len(f.log.records) - 1), err
}

func (f *testFollower) Run(ctx context.Context) error {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			f.log.mu.Lock()
			f.renew()
			f.log.mu.Unlock()
		}
	}
}
func (f *testFollower) WaitReady(context.Context) error { return nil }
func (f *testFollower) View() *wigeonstate.View         { return f.view.Load() }
func (f *testFollower) Read(fn func(state *wigeonstate.State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fn(&f.state)
}
func (f *testFollower) Session() wigeonstep.SessionID { return f.session }
func (f *testFollower) LeaseValid() bool {
	return !f.leaseLost.Load() && f.ConfirmedAge() < 8*time.Second
}

func (f *testFollower) ConfirmedAge() time.Duration {
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	if !f.log.down {
		return 0
	}
	return time.Since(time.Unix(0, f.confirmed.Load()))
}

func (f *testFollower) SetReady(ready, closing bool) {
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	f.ready, f.closing = ready, closing
	f.renew()
}

// renew appends a renewal; the caller holds the lock of the log.
func (f *testFollower) renew() {
	if f.log.down || f.closed.Load() {
		return
	}
	f.renewals++
	// An error means that the session was expired, which is what some tests do.
	_ = f.append(&wigeonwire.Entry{Body: &wigeonwire.Entry_SessionRenew{SessionRenew: &wigeonwire.SessionRenew{
		Renewal: f.renewals, Ready: f.ready, Closing: f.closing, AppliedOffset: uint64(f.state.Next()) - 1,
	}}})
}

func (f *testFollower) CloseSession(context.Context) error {
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	f.closed.Store(true)
	return f.append(&wigeonwire.Entry{Body: &wigeonwire.Entry_SessionClose{SessionClose: &wigeonwire.SessionClose{}}})
}

// expire lets the operator's session expire another one.
func (l *testLog) expire(t testing.TB, f *testFollower) {
	t.Helper()
	l.mu.Lock()
	last := f.renewals
	l.mu.Unlock()
	l.followers[0].must(t, &wigeonwire.Entry{Body: &wigeonwire.Entry_SessionExpire{SessionExpire: &wigeonwire.SessionExpire{
		Session: uint64(f.session), LastRenewal: last,
	}}})
}
