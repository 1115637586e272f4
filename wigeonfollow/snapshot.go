package wigeonfollow

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// maxChunkBytes bounds one append of the snapshot stream.
	maxChunkBytes = 256 << 10
	snapshotReads = 16
	// firstChunkWindow is how many records are read from the end of the stream at first; a snapshot at the target size has 14 chunks.
	firstChunkWindow = 32
	snapshotInterval = time.Second
	// snapshotRetry is the pause after a snapshot that could not be written.
	snapshotRetry = 5 * time.Second
	// maxChunks bounds the memory that a chunk with a wrong count can claim.
	maxChunks = 4096
	// chunkAttempts bounds the appends of one chunk; a snapshot that fails is written anew later.
	chunkAttempts = 5
)

// chunks splits an encoded state into appends of the snapshot stream.
func chunks(covers wigeonstep.Offset, data []byte) ([][]byte, error) {
	parts := slices.Collect(slices.Chunk(data, maxChunkBytes))
	hash := xxhash.Sum64(data)
	payloads := make([][]byte, len(parts))
	for i, part := range parts {
		payload, err := proto.Marshal(&wigeonwire.SnapshotChunk{
			Covers: uint64(covers),
			Index:  uint32(i),
			Count:  uint32(len(parts)),
			Hash:   hash,
			Data:   part,
		})
		if err != nil {
			return nil, fmt.Errorf("encode snapshot chunk: %w", err)
		}
		payloads[i] = payload
	}
	return payloads, nil
}

// writeSnapshots writes a snapshot every quarter of the retention time while this process is the writer, and at once when one is due.
func (f *Follower) writeSnapshots(ctx context.Context) error {
	var written time.Time
	for sleep(ctx, snapshotInterval) {
		f.mu.Lock()
		due := written.IsZero() || f.snapshotDue || time.Since(written) >= f.config.Retention/4
		due = due && f.writerLocked()
		f.mu.Unlock()
		if !due {
			continue
		}
		if err := f.writeSnapshot(ctx); err != nil {
			f.logger.Warn("snapshot not written", zap.Error(err))
			sleep(ctx, snapshotRetry)
			continue
		}
		written = time.Now()
	}
	return ctx.Err()
}

// writerLocked reports whether this process is the control daemon with the lowest open session id and has caught up.
func (f *Follower) writerLocked() bool {
	if !f.target.reached || !f.own.confirmed || f.config.Open.GetRole() != wigeonwire.Role_ROLE_CONTROL {
		return false
	}
	for _, session := range f.state.View().Sessions {
		if session.Role == wigeonwire.Role_ROLE_CONTROL && !session.Expired {
			return session.ID == f.own.id
		}
	}
	return false
}

func (f *Follower) writeSnapshot(ctx context.Context) error {
	f.mu.Lock()
	covers := f.state.Next()
	data, err := f.state.Encode()
	f.mu.Unlock()
	if err != nil {
		return err
	}
	payloads, err := chunks(covers, data)
	if err != nil {
		return err
	}
	for _, payload := range payloads {
		if err := f.appendChunk(ctx, payload); err != nil {
			return err
		}
	}
	f.mu.Lock()
	f.snapshotDue = false
	f.mu.Unlock()
	f.logger.Info("snapshot written", zap.Uint64("covers", uint64(covers)), zap.Int("bytes", len(data)))
	return nil
}

// appendChunk repeats a chunk whose answer was lost; readers take a chunk that is there twice once.
func (f *Follower) appendChunk(ctx context.Context, payload []byte) error {
	var err error
	for range chunkAttempts {
		if err := f.limiter.Wait(ctx); err != nil {
			return fmt.Errorf("wait to append: %w", err)
		}
		if err = f.appendOnce(ctx, wigeonstep.SnapshotStream, payload); err == nil {
			return nil
		}
	}
	return err
}

// loadSnapshot adopts the newest complete snapshot of the platform, if it is ahead of the state.
func (f *Follower) loadSnapshot(ctx context.Context) error {
	assembly, err := f.newestSnapshot(ctx)
	if err != nil {
		return err
	}
	if assembly.newest == nil {
		return nil
	}
	state, err := wigeonstate.Decode(assembly.newest)
	if err != nil {
		f.logger.Warn("snapshot unreadable", zap.Error(err))
		return fmt.Errorf("load snapshot: %w", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.adoptLocked(state)
	return nil
}

// newestSnapshot reads the end of the snapshot stream, and more of it until a complete snapshot is found. The stream
// holds about four snapshots, of which only the newest is of use.
func (f *Follower) newestSnapshot(ctx context.Context) (snapshotAssembly, error) {
	end, err := f.readSnapshots(ctx, 0, 1)
	if err != nil && !errors.Is(err, wigeonstep.ErrCompacted) {
		return snapshotAssembly{}, err
	}
	for window := wigeonstep.Offset(firstChunkWindow); ; window *= 4 {
		from := max(end.First, end.Next-min(window, end.Next))
		assembly, err := f.readAssembly(ctx, from)
		if err != nil || assembly.newest != nil || from == end.First {
			return assembly, err
		}
	}
}

// readAssembly reads the snapshot stream from the offset to its end.
func (f *Follower) readAssembly(ctx context.Context, from wigeonstep.Offset) (snapshotAssembly, error) {
	assembly := snapshotAssembly{}
	for {
		read, err := f.readSnapshots(ctx, from, snapshotReads)
		if errors.Is(err, wigeonstep.ErrCompacted) && read.First > from {
			from = read.First
			continue
		}
		if err != nil {
			return assembly, err
		}
		for _, record := range read.Records {
			assembly.add(record.Payload)
			from = record.Offset + 1
		}
		if len(read.Records) == 0 || from >= read.Next {
			return assembly, nil
		}
	}
}

func (f *Follower) readSnapshots(ctx context.Context, from wigeonstep.Offset, limit int) (wigeonstep.LogRead, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	read, err := f.config.Log.Read(ctx, wigeonstep.SnapshotStream, from, limit, 0)
	if err != nil {
		return read, fmt.Errorf("read %s: %w", wigeonstep.SnapshotStream, err)
	}
	return read, nil
}

// snapshotAssembly collects the chunks of snapshots and keeps the newest complete one whose hash matches.
type snapshotAssembly struct {
	newest []byte
	covers uint64
	parts  map[snapshotName][][]byte
}

// snapshotName tells snapshots apart; two writers of the same state write the same one.
type snapshotName struct {
	covers, hash uint64
	count        uint32
}

func (a *snapshotAssembly) add(payload []byte) {
	var chunk wigeonwire.SnapshotChunk
	if proto.Unmarshal(payload, &chunk) != nil || chunk.GetIndex() >= chunk.GetCount() || chunk.GetCount() > maxChunks {
		return
	}
	if a.newest != nil && chunk.GetCovers() <= a.covers {
		return
	}
	name := snapshotName{chunk.GetCovers(), chunk.GetHash(), chunk.GetCount()}
	if a.parts == nil {
		a.parts = make(map[snapshotName][][]byte)
	}
	if a.parts[name] == nil {
		a.parts[name] = make([][]byte, chunk.GetCount())
	}
	a.parts[name][chunk.GetIndex()] = chunk.GetData()
	for _, part := range a.parts[name] {
		if part == nil {
			return
		}
	}
	data := slices.Concat(a.parts[name]...)
	delete(a.parts, name)
	if xxhash.Sum64(data) != name.hash {
		return
	}
	a.newest, a.covers = data, name.covers
	for other := range a.parts {
		if other.covers <= name.covers {
			delete(a.parts, other)
		}
	}
}
