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

// memoryLog is an in-memory implementation of the platform's log.
type memoryLog struct {
	mu      sync.Mutex
	streams map[wigeonstep.Stream]*memoryStream
	changed chan struct{}
}

type memoryStream struct {
	first   wigeonstep.Offset
	records []wigeonstep.LogRecord
	at      []time.Time
}

func newMemoryLog() *memoryLog {
	return &memoryLog{changed: make(chan struct{}), streams: map[wigeonstep.Stream]*memoryStream{
		wigeonstep.FleetStream: {}, wigeonstep.SnapshotStream: {},
	}}
}

func (s *memoryStream) next() wigeonstep.Offset { return s.first + wigeonstep.Offset(len(s.records)) }

func (l *memoryLog) append(stream wigeonstep.Stream, payload []byte) wigeonstep.Offset {
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

// compact drops the records of the fleet stream that are older than 2 s. It keeps newer ones, as a real retention time
// is far longer than the lag of a running reader: if no reader had seen the dropped records, no process could write a
// snapshot that covers them.
func (l *memoryLog) compact() {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.streams[wigeonstep.FleetStream]
	for len(s.at) > 0 && time.Since(s.at[0]) > 2*time.Second {
		s.first, s.records, s.at = s.first+1, s.records[1:], s.at[1:]
	}
}

// batches returns the batches of a session and the times at which they were appended.
func (l *memoryLog) batches(session wigeonstep.SessionID) (batches []*wigeonwire.Batch, at []time.Time) {
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

// entries counts the entries on the log that match, over all sessions.
func (l *memoryLog) entries(match func(*wigeonwire.Entry) bool) int {
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

// logClient is the log client of one process, with fault injection.
type logClient struct {
	log *memoryLog
	mu  sync.Mutex
	// down fails all calls without effect; appendsDown fails appends only.
	down, appendsDown bool
	// loseAnswers is the number of next appends that take effect but lose their answer. loseRequests is the number of
	// appends after them that are lost without effect.
	loseAnswers, loseRequests int
	// delay is added to every call.
	delay time.Duration
}

func (c *logClient) set(change func(*logClient)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c)
}

func (c *logClient) Append(ctx context.Context, stream wigeonstep.Stream, payload []byte) (wigeonstep.Offset, error) {
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

func (c *logClient) Read(ctx context.Context, stream wigeonstep.Stream, from wigeonstep.Offset, limit int, wait time.Duration) (wigeonstep.LogRead, error) {
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

// process is a running follower and its log client.
type process struct {
	*wigeonfollow.Follower
	logClient *logClient
	cancel    context.CancelFunc
	done      chan struct{}
}

func startProcess(t testing.TB, log *memoryLog, id wigeonstep.SessionID, role wigeonwire.Role, change ...func(*wigeonfollow.Config, *logClient)) *process {
	t.Helper()
	p := &process{logClient: &logClient{log: log}, done: make(chan struct{})}
	config := wigeonfollow.Config{
		Log:       p.logClient,
		Session:   id,
		OpenEntry: &wigeonwire.SessionOpen{Role: role, DataCentre: "a", PeerAddress: fmt.Sprintf("127.0.0.1:%d", id)},
	}
	for _, c := range change {
		c(&config, p.logClient)
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

// waitUntil polls a condition until it holds, and fails the test after the limit. It runs in the fake time of the test.
func waitUntil(t testing.TB, limit time.Duration, condition func() bool) {
	t.Helper()
	for began := time.Now(); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > limit {
			t.Fatalf("condition still false after %v", limit)
		}
	}
}

// testWait bounds the waits of tests, so that a lost proposal fails the test instead of blocking it.
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

// waitSessionOpen waits until the session of the process is confirmed and has been renewed.
func (p *process) waitSessionOpen(t testing.TB) {
	t.Helper()
	waitUntil(t, 10*time.Second, p.LeaseValid)
}

// encodeState returns the encoded folded state of the process.
func (p *process) encodeState(c *qt.C) []byte {
	var data []byte
	p.Read(func(state *wigeonstate.State) {
		var err error
		data, err = state.Encode()
		c.Assert(err, qt.IsNil)
	})
	return data
}

// runWithFakeTime runs a test in a synctest bubble, whose fake clock makes long waits instant and deterministic.
func runWithFakeTime(t *testing.T, test func(t *testing.T, c *qt.C, log *memoryLog)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t, qt.New(t), newMemoryLog()) })
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
