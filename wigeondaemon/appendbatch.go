package wigeondaemon

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

const (
	// batchAppendTimeout bounds the append of a batch. A slow store takes a second under load.
	batchAppendTimeout = 2 * time.Second
	// maxBatchRecords bounds the records of one append.
	maxBatchRecords = 128
	// defaultRecordBytes and defaultAppendBytes are the defaults of Config.MaxRecordBytes and Config.MaxAppendBytes.
	defaultRecordBytes = 256 << 10
	defaultAppendBytes = 2 << 20
	// recordOverhead bounds what the encoding of a record adds to its key and value.
	recordOverhead = 8
)

// appendBatcher batches the records of concurrent requests into one append for each partition. A partition processes
// its appends one at a time, so appends of single records would queue up whenever the store is slow. The fields belong
// to the event loop.
type appendBatcher struct {
	queued   map[wigeonstep.Partition][]queuedRecord
	inFlight map[wigeonstep.Partition]bool
}

type queuedRecord struct {
	record wigeonstep.KeyedRecord
	// until is the time from which on the record must not be written any more; the zero time sets none.
	until  time.Time
	result chan error
}

// expired reports whether the record must not be written any more.
func (q *queuedRecord) expired(now time.Time) bool { return !q.until.IsZero() && !now.Before(q.until) }

// errExpired is the result of a record that has waited for the appends before it for too long.
var errExpired = fmt.Errorf("the record has waited for earlier appends until its deadline: %w", wigeonstep.ErrUnavailable)

// recordSize returns an upper bound of the size of the encoded record.
func recordSize(record wigeonstep.KeyedRecord) int {
	return len(record.Key) + len(record.Value) + recordOverhead
}

// checkRecordSize returns an error that wraps ErrRejected if the log does not accept the record because of its size.
func (d *Daemon) checkRecordSize(record wigeonstep.KeyedRecord) error {
	if size := recordSize(record); size > d.config.MaxRecordBytes {
		return fmt.Errorf("the record of the job has %d bytes; the limit is %d: %w", size, d.config.MaxRecordBytes, wigeonstep.ErrRejected)
	}
	return nil
}

// appendBatched writes a record in a batch with the records of concurrent requests and waits for the result. A record that is too
// large is rejected at once, since the log would reject the whole batch. No append of the record begins after the time until, unless
// that is zero; one may begin after the end of ctx.
func (d *Daemon) appendBatched(ctx context.Context, part wigeonstep.Partition, record wigeonstep.KeyedRecord, until time.Time) error {
	if err := d.checkRecordSize(record); err != nil {
		return err
	}
	queued := queuedRecord{record: record, until: until, result: make(chan error, 1)}
	enqueue := func() bool {
		d.enqueueAppend(part, queued)
		return true
	}
	if _, ok := queryLoop(ctx, d, enqueue); !ok {
		return fmt.Errorf("append: %w: %w", wigeonstep.ErrAnswerLost, ctx.Err())
	}
	select {
	case err := <-queued.result:
		return err
	case <-ctx.Done():
		return fmt.Errorf("append: %w: %w", wigeonstep.ErrAnswerLost, ctx.Err())
	}
}

// enqueueAppend queues a record for the partition and starts an append unless one is in flight.
func (d *Daemon) enqueueAppend(part wigeonstep.Partition, queued queuedRecord) {
	a := &d.appends
	if a.queued == nil {
		a.queued, a.inFlight = map[wigeonstep.Partition][]queuedRecord{}, map[wigeonstep.Partition]bool{}
	}
	a.queued[part] = append(a.queued[part], queued)
	if !a.inFlight[part] {
		d.appendNextBatch(part)
	}
}

// batchLength returns the number of the queued records that fit into one append, at least one.
func batchLength(queued []queuedRecord, maxBytes int) int {
	size := 0
	for i, q := range queued {
		size += recordSize(q.record)
		if i > 0 && (size > maxBytes || i == maxBatchRecords) {
			return i
		}
	}
	return len(queued)
}

// withoutExpired returns the records that may still be written, and answers for the others. After a pause of the process none that has a
// time limit may be: the clock may not show how long it was.
func (d *Daemon) withoutExpired(queued []queuedRecord) []queuedRecord {
	now, stale := time.Now(), d.pauses.stale(d.config.Now().Steady)
	return slices.DeleteFunc(queued, func(q queuedRecord) bool {
		late := q.expired(now) || stale && !q.until.IsZero()
		if late {
			q.result <- errExpired
		}
		return late
	})
}

// appendNextBatch appends the queued records of the partition that fit into one append, and the next ones after that append has
// ended.
func (d *Daemon) appendNextBatch(part wigeonstep.Partition) {
	a := &d.appends
	batch := d.withoutExpired(a.queued[part])
	a.inFlight[part] = len(batch) > 0
	if len(batch) == 0 {
		delete(a.queued, part)
		return
	}
	rest := batch[batchLength(batch, d.config.MaxAppendBytes):]
	batch = batch[:len(batch)-len(rest)]
	a.queued[part] = append([]queuedRecord(nil), rest...)
	records := make([]wigeonstep.KeyedRecord, len(batch))
	for i, s := range batch {
		records[i] = s.record
	}
	go func() {
		ctx, cancel := context.WithTimeout(d.ctx, batchAppendTimeout)
		_, err := d.config.Jobs.Append(ctx, part, records, nil)
		cancel()
		for _, s := range batch {
			s.result <- err
		}
		d.post(func() { d.appendNextBatch(part) })
	}()
}
