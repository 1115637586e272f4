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
	// maxChunkBytes bounds the state data in one append to the snapshot stream.
	maxChunkBytes = 256 << 10
	// chunkReadLimit bounds the chunks of one read.
	chunkReadLimit = 16
	// initialChunkWindow is the number of records at the end of the stream that are read first. A snapshot at the target
	// size has 14 chunks.
	initialChunkWindow    = 32
	snapshotCheckInterval = time.Second
	// snapshotRetryDelay is the extra pause after a snapshot that could not be written.
	snapshotRetryDelay = 5 * time.Second
	// maxChunks bounds the memory that is allocated for a chunk with a corrupt count.
	maxChunks = 4096
	// chunkAttempts bounds the attempts to append one chunk. If all fail, the whole snapshot is written again later.
	chunkAttempts = 5
)

// encodeChunks splits an encoded state into the payloads of snapshot chunks. covers is the next offset of the state.
func encodeChunks(covers wigeonstep.Offset, data []byte) ([][]byte, error) {
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

// writeSnapshots writes a snapshot every quarter of the retention time while this process is the snapshot writer, and
// earlier when snapshotDue is set.
func (f *Follower) writeSnapshots(ctx context.Context) error {
	var written time.Time
	for sleep(ctx, snapshotCheckInterval) {
		f.mu.Lock()
		due := written.IsZero() || f.snapshotDue || time.Since(written) >= f.config.Retention/4
		due = due && f.isSnapshotWriterLocked()
		f.mu.Unlock()
		if !due {
			continue
		}
		if err := f.writeSnapshot(ctx); err != nil {
			f.logger.Warn("snapshot not written", zap.Error(err))
			sleep(ctx, snapshotRetryDelay)
			continue
		}
		written = time.Now()
	}
	return ctx.Err()
}

// isSnapshotWriterLocked reports whether this process has caught up with the log and holds the lowest open session id
// among the control daemons.
func (f *Follower) isSnapshotWriterLocked() bool {
	if !f.target.reached || !f.own.confirmed || f.config.OpenEntry.GetRole() != wigeonwire.Role_ROLE_CONTROL {
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
	covers := f.state.NextOffset()
	data, err := f.state.Encode()
	f.mu.Unlock()
	if err != nil {
		return err
	}
	payloads, err := encodeChunks(covers, data)
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

// appendChunk appends a chunk, with retries. Readers ignore duplicates, so a chunk whose answer was lost may be
// appended twice.
func (f *Follower) appendChunk(ctx context.Context, payload []byte) error {
	var err error
	for range chunkAttempts {
		if err := f.limiter.Wait(ctx); err != nil {
			return fmt.Errorf("wait for the append rate limiter: %w", err)
		}
		if err = f.appendOnce(ctx, wigeonstep.SnapshotStream, payload); err == nil {
			return nil
		}
	}
	return err
}

// loadSnapshot replaces the state by the newest complete snapshot on the platform, if that is newer.
func (f *Follower) loadSnapshot(ctx context.Context) error {
	assembler, err := f.newestSnapshot(ctx)
	if err != nil {
		return err
	}
	if assembler.newest == nil {
		return nil
	}
	state, err := wigeonstate.Decode(assembler.newest)
	if err != nil {
		f.logger.Warn("snapshot cannot be decoded", zap.Error(err))
		return fmt.Errorf("load snapshot: %w", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replaceStateLocked(state)
	return nil
}

// newestSnapshot reads the end of the snapshot stream, in windows of growing length until one contains a complete
// snapshot. It does not read the whole stream, because that holds about four snapshots, of which only the newest is
// needed.
func (f *Follower) newestSnapshot(ctx context.Context) (snapshotAssembler, error) {
	end, err := f.readChunks(ctx, 0, 1)
	if err != nil && !errors.Is(err, wigeonstep.ErrCompacted) {
		return snapshotAssembler{}, err
	}
	for window := wigeonstep.Offset(initialChunkWindow); ; window *= 4 {
		from := max(end.First, end.Next-min(window, end.Next))
		assembler, err := f.assembleSnapshots(ctx, from)
		if err != nil || assembler.newest != nil || from == end.First {
			return assembler, err
		}
	}
}

// assembleSnapshots reads the snapshot stream from the offset to its end and assembles its chunks.
func (f *Follower) assembleSnapshots(ctx context.Context, from wigeonstep.Offset) (snapshotAssembler, error) {
	assembler := snapshotAssembler{}
	for {
		read, err := f.readChunks(ctx, from, chunkReadLimit)
		if errors.Is(err, wigeonstep.ErrCompacted) && read.First > from {
			from = read.First
			continue
		}
		if err != nil {
			return assembler, err
		}
		for _, record := range read.Records {
			assembler.add(record.Payload)
			from = record.Offset + 1
		}
		if len(read.Records) == 0 || from >= read.Next {
			return assembler, nil
		}
	}
}

func (f *Follower) readChunks(ctx context.Context, from wigeonstep.Offset, limit int) (wigeonstep.LogRead, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	read, err := f.config.Log.Read(ctx, wigeonstep.SnapshotStream, from, limit, 0)
	if err != nil {
		return read, fmt.Errorf("read %s: %w", wigeonstep.SnapshotStream, err)
	}
	return read, nil
}

// snapshotAssembler assembles snapshots from their chunks and holds the newest complete one whose hash matches.
type snapshotAssembler struct {
	// newest is the encoded state of the newest complete snapshot, nil when there is none.
	newest []byte
	covers uint64
	// parts holds the chunks of incomplete snapshots by index.
	parts map[snapshotID][][]byte
}

// snapshotID identifies a snapshot. Chunks that two writers made from the same state have the same id and can be combined.
type snapshotID struct {
	covers, hash uint64
	count        uint32
}

func (a *snapshotAssembler) add(payload []byte) {
	var chunk wigeonwire.SnapshotChunk
	if proto.Unmarshal(payload, &chunk) != nil || chunk.GetIndex() >= chunk.GetCount() || chunk.GetCount() > maxChunks {
		return
	}
	if a.newest != nil && chunk.GetCovers() <= a.covers {
		return
	}
	id := snapshotID{chunk.GetCovers(), chunk.GetHash(), chunk.GetCount()}
	if a.parts == nil {
		a.parts = make(map[snapshotID][][]byte)
	}
	if a.parts[id] == nil {
		a.parts[id] = make([][]byte, chunk.GetCount())
	}
	a.parts[id][chunk.GetIndex()] = chunk.GetData()
	for _, part := range a.parts[id] {
		if part == nil {
			return
		}
	}
	data := slices.Concat(a.parts[id]...)
	delete(a.parts, id)
	if xxhash.Sum64(data) != id.hash {
		return
	}
	a.newest, a.covers = data, id.covers
	for other := range a.parts {
		if other.covers <= id.covers {
			delete(a.parts, other)
		}
	}
}
