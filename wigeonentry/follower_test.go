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

// testLog is an in-memory log of the fleet. Each follower folds its records into a state of its own.
type testLog struct {
	mu        sync.Mutex
	records   [][]byte
	followers []*testFollower
	// down makes appends fail and leaves views unconfirmed.
	down bool
	// loseAnswers is the number of next appends that take effect and still fail with wigeonstep.ErrAnswerLost.
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
		for _, v := range f.applyRecords(l.records) {
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

// testFollower implements wigeonentry.Follower. It applies every record as soon as it is appended.
type testFollower struct {
	log     *testLog
	session wigeonstep.SessionID

	mu       sync.Mutex
	state    wigeonstate.State
	sequence uint64
	renewals uint64
	view     atomic.Pointer[wigeonstate.View]
	// confirmed is the time of the last confirmation of the view in Unix nanoseconds. It is used only while the log is down.
	confirmed atomic.Int64
	// leaseLost invalidates the lease while the view stays fresh, as failing appends do.
	leaseLost atomic.Bool
	closed    atomic.Bool
	// ready and closing are guarded by log.mu.
	ready, closing bool
}

func (l *testLog) addFollower(t testing.TB, session uint64, role wigeonwire.Role, dataCentre, peerAddress string) *testFollower {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	f := &testFollower{log: l, session: wigeonstep.SessionID(session)}
	f.view.Store(&wigeonstate.View{})
	l.followers = append(l.followers, f)
	f.applyRecords(l.records)
	qt.Assert(t, f.append(&wigeonwire.Entry{Body: &wigeonwire.Entry_SessionOpen{SessionOpen: &wigeonwire.SessionOpen{
		Role: role, DataCentre: dataCentre, PeerAddress: peerAddress,
	}}}), qt.IsNil)
	return f
}

func (f *testFollower) applyRecords(records [][]byte) []wigeonstate.Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	var verdicts []wigeonstate.Verdict
	for i := int(f.state.NextOffset()); i < len(records); i++ {
		verdicts = append(verdicts, f.state.Apply(wigeonstep.Offset(i), records[i])...)
	}
	f.view.Store(f.state.View())
	return verdicts
}

// append appends one entry of the session. The caller holds log.mu.
func (f *testFollower) append(entry *wigeonwire.Entry) error {
	f.sequence++
	return f.log.appendBatch(uint64(f.session), f.sequence, entry)
}

func (f *testFollower) mustAppend(t testing.TB, entries ...*wigeonwire.Entry) {
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

// renew appends a renewal of the session. The caller holds log.mu.
func (f *testFollower) renew() {
	if f.log.down || f.closed.Load() {
		return
	}
	f.renewals++
	// An error means that the session was expired, which some tests do on purpose.
	_ = f.append(&wigeonwire.Entry{Body: &wigeonwire.Entry_SessionRenew{SessionRenew: &wigeonwire.SessionRenew{
		Renewal: f.renewals, Ready: f.ready, Closing: f.closing, AppliedOffset: uint64(f.state.NextOffset()) - 1,
	}}})
}

func (f *testFollower) CloseSession(context.Context) error {
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	f.closed.Store(true)
	return f.append(&wigeonwire.Entry{Body: &wigeonwire.Entry_SessionClose{SessionClose: &wigeonwire.SessionClose{}}})
}

// expire expires the session of f on behalf of the control session.
func (l *testLog) expire(t testing.TB, f *testFollower) {
	t.Helper()
	l.mu.Lock()
	last := f.renewals
	l.mu.Unlock()
	l.followers[0].mustAppend(t, &wigeonwire.Entry{Body: &wigeonwire.Entry_SessionExpire{SessionExpire: &wigeonwire.SessionExpire{
		Session: uint64(f.session), LastRenewal: last,
	}}})
}
