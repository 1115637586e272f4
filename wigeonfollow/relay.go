package wigeonfollow

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// maxRecentBytes bounds the records kept for peers that cannot reach the platform.
	maxRecentBytes = 2 << 20
	// relayAfter is how old the last read from the platform must be before peers are asked.
	relayAfter    = 2 * time.Second
	relayInterval = 500 * time.Millisecond
	// peersAtOnce bounds the calls to peers, so that a few that do not answer do not hold up the others.
	peersAtOnce = 4
	// relayTimeout ends a call to a peer that does not answer.
	relayTimeout = 2 * time.Second
	// recordOverhead is the memory of a record besides its payload.
	recordOverhead = 48
)

// recentRecords are the last records that were folded, without a gap.
type recentRecords struct {
	records []wigeonstep.LogRecord
	bytes   int
}

func (r *recentRecords) add(record wigeonstep.LogRecord) {
	r.records = append(r.records, record)
	r.bytes += len(record.Payload) + recordOverhead
	for r.bytes > maxRecentBytes && len(r.records) > 1 {
		r.bytes -= len(r.records[0].Payload) + recordOverhead
		r.records[0] = wigeonstep.LogRecord{}
		r.records = r.records[1:]
	}
}

// FetchRecords implements RecordSource for the peers of this process.
func (f *Follower) FetchRecords(_ context.Context, from wigeonstep.Offset, limit int) (*wigeonwire.Records, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.state.Next()
	first := next
	if len(f.recent.records) > 0 {
		first = f.recent.records[0].Offset
	}
	if from < first {
		return nil, fmt.Errorf("%w: offset %d, the oldest is %d", wigeonstep.ErrCompacted, from, first)
	}
	fetched := &wigeonwire.Records{
		NextOffset:     uint64(next),
		FirstOffset:    uint64(first),
		ConfirmedAgeMs: min(f.confirmedAgeLocked(), 24*365*time.Hour).Milliseconds() + 1,
	}
	for _, record := range f.recent.records[min(int(from-first), len(f.recent.records)):] {
		if len(fetched.GetRecords()) >= limit {
			break
		}
		fetched.Records = append(fetched.Records, &wigeonwire.LogRecord{Offset: uint64(record.Offset), Payload: record.Payload})
	}
	return fetched, nil
}

// FetchSnapshot implements RecordSource for the peers of this process.
func (f *Follower) FetchSnapshot(context.Context) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	data, err := f.state.Encode()
	if err != nil {
		return nil, fmt.Errorf("snapshot for a peer: %w", err)
	}
	return data, nil
}

// followPeers fetches records from peers while the platform is out of reach.
func (f *Follower) followPeers(ctx context.Context) error {
	started := time.Now()
	for sleep(ctx, relayInterval) {
		f.mu.Lock()
		last := f.reach.platform
		f.mu.Unlock()
		if last.IsZero() {
			last = started
		}
		if time.Since(last) >= relayAfter {
			f.askPeers(ctx)
		}
	}
	return ctx.Err()
}

// askPeers asks the peers in their order, a few at once, until the view is fresh. A process that is not ready asks each of them:
// if it has never reached the platform, it takes the greatest offset among them as the end of the log.
func (f *Follower) askPeers(ctx context.Context) {
	var mu sync.Mutex
	var end wigeonstep.Offset
	var group errgroup.Group
	group.SetLimit(peersAtOnce)
	for _, peer := range f.config.Peers() {
		if ctx.Err() != nil || (f.isReady() && f.ConfirmedAge() < relayAfter) {
			break
		}
		group.Go(func() error {
			next, err := f.askPeer(ctx, peer)
			if err != nil {
				f.logger.Debug("peer does not relay", zap.Error(err))
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			end = max(end, next)
			return nil
		})
	}
	_ = group.Wait() // The functions return no error: a peer that fails is one of many.
	f.mu.Lock()
	defer f.mu.Unlock()
	if end > 0 {
		f.setTargetLocked(end)
	}
	f.publishLocked()
}

func (f *Follower) isReady() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.target.reached
}

// askPeer fetches records from one peer to the end of the peer's view, and returns that end.
func (f *Follower) askPeer(ctx context.Context, peer RecordSource) (wigeonstep.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	for {
		began := time.Now()
		from := f.nextOffset()
		fetched, err := peer.FetchRecords(ctx, from, readLimit)
		if errors.Is(err, wigeonstep.ErrCompacted) {
			if err := f.adoptFrom(ctx, peer); err != nil {
				return 0, err
			}
			if f.nextOffset() == from {
				return 0, fmt.Errorf("the peer's snapshot is not newer: %w", err)
			}
			continue
		}
		if err != nil {
			return 0, fmt.Errorf("fetch records from a peer: %w", err)
		}
		if end, done, err := f.relay(fetched, began); done || err != nil {
			return end, err
		}
	}
}

// relay folds fetched records and reports whether the state reached the end of the peer's view.
func (f *Follower) relay(fetched *wigeonwire.Records, began time.Time) (wigeonstep.Offset, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	records := make([]wigeonstep.LogRecord, len(fetched.GetRecords()))
	for i, record := range fetched.GetRecords() {
		records[i] = wigeonstep.LogRecord{Offset: wigeonstep.Offset(record.GetOffset()), Payload: record.GetPayload()}
	}
	if err := f.applyLocked(records); err != nil {
		return 0, false, err
	}
	defer f.publishLocked()
	end := wigeonstep.Offset(fetched.GetNextOffset())
	if f.state.Next() < end {
		// A peer that sends nothing although it has more would be asked for ever.
		return end, len(records) == 0, nil
	}
	confirmed := began.Add(-time.Duration(max(fetched.GetConfirmedAgeMs(), 0)) * time.Millisecond)
	if confirmed.After(f.reach.confirmed) {
		f.reach.confirmed = confirmed
	}
	return end, true, nil
}

func (f *Follower) adoptFrom(ctx context.Context, peer RecordSource) error {
	data, err := peer.FetchSnapshot(ctx)
	if err != nil {
		return fmt.Errorf("fetch snapshot from a peer: %w", err)
	}
	state, err := wigeonstate.Decode(data)
	if err != nil {
		return fmt.Errorf("snapshot of a peer: %w", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.adoptLocked(state)
	return nil
}
