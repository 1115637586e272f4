package wigeondaemon

import (
	"context"
	"sync"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeontail"
)

// maxLogEndReads bounds the reads with which a partition is read to its end for look-ups.
const maxLogEndReads = 8

// logEndReads lets all look-ups that wait for the end of a partition share one read at a time. With a read for each, the look-ups of a
// process that is far behind, as after a cut, would take all connections to the store, and its tails none. The zero value is ready
// to use.
type logEndReads struct {
	mu sync.Mutex
	// next holds the read of each partition that begins when the one in progress has ended.
	next map[wigeonstep.Partition]*logEndRead
	// reading holds the partitions of which a read is in progress.
	reading map[wigeonstep.Partition]bool
}

// logEndRead is a read of a partition to its end. The other fields are set when done is closed.
type logEndRead struct {
	done chan struct{}
	// end is the end of the partition if it was reached.
	end     wigeonstep.Offset
	reached bool
}

// readToLogEnd waits for a read of the partition to its end that begins after the call, and has the records applied. reached is false
// if that fails or ctx ends first.
func (d *Daemon) readToLogEnd(ctx context.Context, part wigeonstep.Partition) (end wigeonstep.Offset, reached bool) {
	read := d.joinNextRead(part)
	select {
	case <-read.done:
		return read.end, read.reached
	case <-ctx.Done():
		return 0, false
	}
}

// joinNextRead returns the next read of the partition, and starts it if none is in progress.
func (d *Daemon) joinNextRead(part wigeonstep.Partition) *logEndRead {
	r := &d.logEndReads
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next, r.reading = map[wigeonstep.Partition]*logEndRead{}, map[wigeonstep.Partition]bool{}
	}
	if r.next[part] == nil {
		r.next[part] = &logEndRead{done: make(chan struct{})}
	}
	if !r.reading[part] {
		r.reading[part] = true
		go d.serveLogEndReads(part)
	}
	return r.next[part]
}

// serveLogEndReads makes reads of the partition until none is waited for.
func (d *Daemon) serveLogEndReads(part wigeonstep.Partition) {
	r := &d.logEndReads
	for {
		r.mu.Lock()
		read := r.next[part]
		delete(r.next, part)
		r.reading[part] = read != nil
		r.mu.Unlock()
		if read == nil {
			return
		}
		read.end, read.reached = d.readLogEnd(part)
		close(read.done)
	}
}

// readLogEnd reads the partition from the end of its replica, and has the records applied.
func (d *Daemon) readLogEnd(part wigeonstep.Partition) (end wigeonstep.Offset, reached bool) {
	for range maxLogEndReads {
		v, ok := d.lookUpLocal(d.ctx, part, "")
		if !ok || !v.loaded {
			return 0, false
		}
		read, err := d.config.Jobs.ReadKeyed(d.ctx, part, v.nextOffset, 0)
		if err != nil {
			return 0, false
		}
		batch := wigeontail.Batch{Records: read.Records, From: v.nextOffset, Next: read.Next, Complete: read.Next >= read.End}
		d.post(func() { d.applyShardBatch(d.shards[part], batch) })
		if batch.Complete {
			return batch.Next, true
		}
	}
	return 0, false
}
