package wigeonfollow_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonfollow"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// memLog is the platform's log in memory.
type memLog struct {
	mu      sync.Mutex
	streams map[wigeonstep.Stream]*memStream
	changed chan struct{}
}

type memStream struct {
	first   wigeonstep.Offset
	records []wigeonstep.LogRecord
	at      []time.Time
}

func newMemLog() *memLog {
	return &memLog{changed: make(chan struct{}), streams: map[wigeonstep.Stream]*memStream{
		wigeonstep.FleetStream: {}, wigeonstep.SnapshotStream: {},
	}}
}

func (s *memStream) next() wigeonstep.Offset { return s.first + wigeonstep.Offset(len(s.records)) }

func (l *memLog) append(stream wigeonstep.Stream, payload []byte) wigeonstep.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.streams[stream]
	offset := s.next()
	s.records = append(s.records, wigeonstep.LogRecord{Offset: offset, Payload: payload})
	s.at = append(s.at, time.Now())
	close(l.changed)
	l.changed = make(chan struct{})
	return offset
}

// compact drops the records of the fleet stream that are older than 2 s. Retention is far longer than the lag of a running reader;
// dropping records that no reader has seen would leave nobody who could write a snapshot of them.
func (l *memLog) compact() {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.streams[wigeonstep.FleetStream]
	for len(s.at) > 0 && time.Since(s.at[0]) > 2*time.Second {
		s.first, s.records, s.at = s.first+1, s.records[1:], s.at[1:]
	}
}

// batches returns the batches of a session and when they were appended.
func (l *memLog) batches(session wigeonstep.SessionID) (batches []*wigeonwire.Batch, at []time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.streams[wigeonstep.FleetStream]
	for i, record := range s.records {
		var batch wigeonwire.Batch
		if proto.Unmarshal(record.Payload, &batch) == nil && batch.GetSession() == uint64(session) {
			batches, at = append(batches, &batch), append(at, s.at[i])
		}
	}
	return batches, at
}

// entries counts the entries on the log, over all sessions, that match.
func (l *memLog) entries(match func(*wigeonwire.Entry) bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, record := range l.streams[wigeonstep.FleetStream].records {
		var batch wigeonwire.Batch
		if proto.Unmarshal(record.Payload, &batch) != nil {
			continue
		}
		for _, entry := range batch.GetEntries() {
			if match(entry) {
				count++
			}
		}
	}
	return count
}

// client is one process's access to the log, with faults.
type client struct {
	log *memLog
	mu  sync.Mutex
	// down fails every call without effect; appendsDown only appends.
	down, appendsDown bool
	// loseAnswers and loseRequests count the next appends whose answer is lost after, or before, they take effect.
	loseAnswers, loseRequests int
	// delay is added to every call.
	delay time.Duration
}

func (c *client) set(change func(*client)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c)
}

func (c *client) Append(ctx context.Context, stream wigeonstep.Stream, payload []byte) (wigeonstep.Offset, error) {
	c.mu.Lock()
	down, delay := c.down || c.appendsDown, c.delay
	loseAnswer, loseRequest := c.loseAnswers > 0, c.loseAnswers == 0 && c.loseRequests > 0
	if loseAnswer {
		c.loseAnswers--
	}
	if loseRequest {
		c.loseRequests--
	}
	c.mu.Unlock()
	time.Sleep(delay)
	if down {
		return 0, fmt.Errorf("append: %w", wigeonstep.ErrUnavailable)
	}
	if loseRequest {
		return 0, fmt.Errorf("append: %w", wigeonstep.ErrAnswerLost)
	}
	offset := c.log.append(stream, payload)
	if loseAnswer {
		return 0, fmt.Errorf("append: %w", wigeonstep.ErrAnswerLost)
	}
	return offset, nil
}

func (c *client) Read(ctx context.Context, stream wigeonstep.Stream, from wigeonstep.Offset, limit int, wait time.Duration) (wigeonstep.LogRead, error) {
	c.mu.Lock()
	down, delay := c.down, c.delay
	c.mu.Unlock()
	time.Sleep(delay)
	if down {
		return wigeonstep.LogRead{}, fmt.Errorf("read: %w", wigeonstep.ErrUnavailable)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		c.log.mu.Lock()
		s, changed := c.log.streams[stream], c.log.changed
		read := wigeonstep.LogRead{First: s.first, Next: s.next()}
		if from < s.first {
			c.log.mu.Unlock()
			return read, fmt.Errorf("read: %w", wigeonstep.ErrCompacted)
		}
		if from < s.next() {
			rest := s.records[from-s.first:]
			read.Records = rest[:min(limit, len(rest))]
		}
		c.log.mu.Unlock()
		if len(read.Records) > 0 || wait == 0 {
			return read, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			return wigeonstep.LogRead{}, fmt.Errorf("read: %w", wigeonstep.ErrUnavailable)
		}
	}
}

// process is a follower that runs in a test.
type process struct {
	*wigeonfollow.Follower
	client *client
	cancel context.CancelFunc
	done   chan struct{}
}

func startProcess(t testing.TB, log *memLog, id wigeonstep.SessionID, role wigeonwire.Role, change ...func(*wigeonfollow.Config, *client)) *process {
	t.Helper()
	p := &process{client: &client{log: log}, done: make(chan struct{})}
	config := wigeonfollow.Config{
		Log:     p.client,
		Session: id,
		Open:    &wigeonwire.SessionOpen{Role: role, DataCentre: "a", PeerAddress: fmt.Sprintf("127.0.0.1:%d", id)},
	}
	for _, c := range change {
		c(&config, p.client)
	}
	p.Follower = wigeonfollow.New(config)
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go func() {
		defer close(p.done)
		if err := p.Run(ctx); err != nil {
			t.Errorf("run: %v", err)
		}
	}()
	return p
}

// stop ends the process without closing its session.
func (p *process) stop() {
	p.cancel()
	<-p.done
}

// until waits for a condition, in the fake time of the test.
func until(t testing.TB, limit time.Duration, condition func() bool) {
	t.Helper()
	for began := time.Now(); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > limit {
			t.Fatalf("the condition does not hold after %v", limit)
		}
	}
}

// testWait bounds the waits of tests, so that a proposal that is lost fails the test instead of holding it up.
const testWait = 10 * time.Minute

func (p *process) propose(t testing.TB, entry *wigeonwire.Entry) (wigeonstep.Offset, error) {
	ctx, cancel := context.WithTimeout(t.Context(), testWait)
	defer cancel()
	return p.Propose(ctx, entry)
}

func (p *process) waitReady(t testing.TB) error {
	ctx, cancel := context.WithTimeout(t.Context(), testWait)
	defer cancel()
	return p.WaitReady(ctx)
}

func (p *process) closeSession(t testing.TB) error {
	ctx, cancel := context.WithTimeout(t.Context(), testWait)
	defer cancel()
	return p.CloseSession(ctx)
}

// opened waits until the process's session is confirmed and has been renewed.
func (p *process) opened(t testing.TB) {
	t.Helper()
	until(t, 10*time.Second, p.LeaseValid)
}

// encoded returns the encoding of the process's state.
func (p *process) encoded(c *qt.C) []byte {
	var data []byte
	p.Read(func(state *wigeonstate.State) {
		var err error
		data, err = state.Encode()
		c.Assert(err, qt.IsNil)
	})
	return data
}

// inBubble runs a test with fake time, so that waits of hours take no time and always end alike.
func inBubble(t *testing.T, test func(t *testing.T, c *qt.C, log *memLog)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t, qt.New(t), newMemLog()) })
}

func decision(subject string) *wigeonwire.Entry {
	return &wigeonwire.Entry{Body: &wigeonwire.Entry_Decision{Decision: &wigeonwire.Decision{SubjectKind: "pool", Subject: subject, Action: "test"}}}
}

func observation(vm string, cores uint32) *wigeonwire.Entry {
	return &wigeonwire.Entry{Body: &wigeonwire.Entry_VmObserve{VmObserve: &wigeonwire.VMObserve{
		Vm: vm, DataCentre: "a", Rack: "r", Pool: "orders", Shape: &wigeonwire.Shape{Cores: cores},
	}}}
}

func intent(key string) *wigeonwire.Entry {
	return &wigeonwire.Entry{Body: &wigeonwire.Entry_Intent{Intent: &wigeonwire.Intent{Key: key, Team: "shop", Class: "order"}}}
}

func marshal(c *qt.C, message proto.Message) []byte {
	data, err := proto.Marshal(message)
	c.Assert(err, qt.IsNil)
	return data
}
