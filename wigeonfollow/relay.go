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
	// maxRecentBytes bounds the memory of the records that are kept in memory for peers that cannot reach the platform.
	maxRecentBytes = 2 << 20
	// maxPlatformReadAge is the age of the last read from the platform that reached the end of the log, from which on
	// records are fetched from peers.
	maxPlatformReadAge = 2 * time.Second
	relayInterval      = 500 * time.Millisecond
	// maxConcurrentPeers bounds the concurrent calls to peers. It is above 1 so that a few peers that do not answer do not
	// delay the calls to the others.
	maxConcurrentPeers = 4
	// relayTimeout bounds all calls to one peer in one round.
	relayTimeout = 2 * time.Second
	// recordOverhead is the memory of a record besides its payload, in bytes.
	recordOverhead = 48
)

// recentRecords holds the last folded records, without a gap.
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

// FetchRecords returns at most limit of the recently folded records from the offset on, with the confirmed age of the
// view, for peers that cannot reach the platform. It returns wigeonstep.ErrCompacted when the record at the offset was
// evicted.
func (f *Follower) FetchRecords(_ context.Context, from wigeonstep.Offset, limit int) (*wigeonwire.Records, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.state.NextOffset()
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

// FetchSnapshot returns the encoded folded state, for peers that need records which this process no longer holds.
func (f *Follower) FetchSnapshot(context.Context) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	data, err := f.state.Encode()
	if err != nil {
		return nil, fmt.Errorf("encode snapshot for a peer: %w", err)
	}
	return data, nil
}

// followPeers fetches records from peers while the platform is unreachable.
func (f *Follower) followPeers(ctx context.Context) error {
	started := time.Now()
	for sleep(ctx, relayInterval) {
		f.mu.Lock()
		last := f.freshness.platformReadAt
		f.mu.Unlock()
		if last.IsZero() {
			last = started
		}
		if time.Since(last) >= maxPlatformReadAge {
			f.fetchFromPeers(ctx)
		}
	}
	return ctx.Err()
}

// fetchFromPeers fetches records from the peers in their order, several at once, until the view is fresh. A process
// that is not ready yet queries all peers: if it has never reached the platform, it uses the greatest end offset among
// them as the end of the log.
func (f *Follower) fetchFromPeers(ctx context.Context) {
	var mu sync.Mutex
	var end wigeonstep.Offset
	var group errgroup.Group
	group.SetLimit(maxConcurrentPeers)
	for _, peer := range f.config.Peers() {
		if ctx.Err() != nil || (f.isReady() && f.ConfirmedAge() < maxPlatformReadAge) {
			break
		}
		group.Go(func() error {
			next, err := f.fetchFromPeer(ctx, peer)
			if err != nil {
				f.logger.Debug("records not fetched from peer", zap.Error(err))
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			end = max(end, next)
			return nil
		})
	}
	_ = group.Wait() // The functions return no error, because a single failed peer is tolerated.
	f.mu.Lock()
	defer f.mu.Unlock()
	if end > 0 {
		f.setReadyOffsetLocked(end)
	}
	f.publishLocked()
}

func (f *Follower) isReady() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.target.reached
}

// fetchFromPeer fetches and folds records from one peer up to the end of the peer's view, and returns that end offset.
func (f *Follower) fetchFromPeer(ctx context.Context, peer RecordSource) (wigeonstep.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	for {
		began := time.Now()
		from := f.nextOffset()
		fetched, err := peer.FetchRecords(ctx, from, readLimit)
		if errors.Is(err, wigeonstep.ErrCompacted) {
			if err := f.replaceStateFromPeer(ctx, peer); err != nil {
				return 0, err
			}
			if f.nextOffset() == from {
				return 0, fmt.Errorf("snapshot of the peer is not newer than offset %d: %w", from, err)
			}
			continue
		}
		if err != nil {
			return 0, fmt.Errorf("fetch records from a peer: %w", err)
		}
		if end, done, err := f.applyRelayed(fetched, began); done || err != nil {
			return end, err
		}
	}
}

// applyRelayed folds fetched records. It returns the end of the peer's view and whether no more records are to be
// fetched from this peer. If the state reached that end, the view is confirmed as of the peer's confirmed age.
func (f *Follower) applyRelayed(fetched *wigeonwire.Records, began time.Time) (wigeonstep.Offset, bool, error) {
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
	if f.state.NextOffset() < end {
		// A peer that returns no records although it has more is not queried again, because that might never end.
		return end, len(records) == 0, nil
	}
	confirmedAt := began.Add(-time.Duration(max(fetched.GetConfirmedAgeMs(), 0)) * time.Millisecond)
	if confirmedAt.After(f.freshness.confirmedAt) {
		f.freshness.confirmedAt = confirmedAt
	}
	return end, true, nil
}

// replaceStateFromPeer replaces the state by the peer's snapshot if that is newer.
func (f *Follower) replaceStateFromPeer(ctx context.Context, peer RecordSource) error {
	data, err := peer.FetchSnapshot(ctx)
	if err != nil {
		return fmt.Errorf("fetch snapshot from a peer: %w", err)
	}
	state, err := wigeonstate.Decode(data)
	if err != nil {
		return fmt.Errorf("decode snapshot of a peer: %w", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replaceStateLocked(state)
	return nil
}
