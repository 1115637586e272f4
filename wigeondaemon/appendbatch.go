package wigeondaemon

import (
	"context"
	"fmt"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

const (
	// batchAppendTimeout bounds the append of a batch. A slow store takes a second under load.
	batchAppendTimeout = 2 * time.Second
	// maxBatchRecords bounds the records of one append.
	maxBatchRecords = 128
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
	result chan error
}

// appendBatched writes a record in a batch with the records of concurrent requests and waits for the result.
func (d *Daemon) appendBatched(ctx context.Context, part wigeonstep.Partition, record wigeonstep.KeyedRecord) error {
	queued := queuedRecord{record: record, result: make(chan error, 1)}
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

// appendNextBatch appends up to maxBatchRecords of the queued records of the partition, and the next ones after that append
// has ended.
func (d *Daemon) appendNextBatch(part wigeonstep.Partition) {
	a := &d.appends
	batch := a.queued[part]
	a.inFlight[part] = len(batch) > 0
	if len(batch) == 0 {
		return
	}
	rest := batch[min(len(batch), maxBatchRecords):]
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
