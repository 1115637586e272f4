package wigeondaemon

import (
	"context"
	"fmt"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

const (
	// sharedTimeout bounds one append of records that clients wait for. A slow store takes a second when many wait.
	sharedTimeout = 2 * time.Second
	// maxShared bounds the records of one append.
	maxShared = 128
)

// sharedAppends writes the records of clients that come at the same time with one append for each partition. A
// partition takes its appends one at a time, so single ones would queue up whenever the store is slow. The fields belong
// to the goroutine of Run.
type sharedAppends struct {
	waiting map[wigeonstep.Partition][]sharedRecord
	busy    map[wigeonstep.Partition]bool
}

type sharedRecord struct {
	record wigeonstep.KeyedRecord
	result chan error
}

// appendShared writes a record together with those of others.
func (d *Daemon) appendShared(ctx context.Context, part wigeonstep.Partition, record wigeonstep.KeyedRecord) error {
	s := sharedRecord{record: record, result: make(chan error, 1)}
	shared := func() bool {
		d.share(part, s)
		return true
	}
	if _, ok := ask(ctx, d, shared); !ok {
		return fmt.Errorf("append: %w: %w", wigeonstep.ErrAnswerLost, ctx.Err())
	}
	select {
	case err := <-s.result:
		return err
	case <-ctx.Done():
		return fmt.Errorf("append: %w: %w", wigeonstep.ErrAnswerLost, ctx.Err())
	}
}

// share adds a record to those that wait for the partition, and starts an append unless one is on its way.
func (d *Daemon) share(part wigeonstep.Partition, s sharedRecord) {
	a := &d.shared
	if a.waiting == nil {
		a.waiting, a.busy = map[wigeonstep.Partition][]sharedRecord{}, map[wigeonstep.Partition]bool{}
	}
	a.waiting[part] = append(a.waiting[part], s)
	if !a.busy[part] {
		d.appendNext(part)
	}
}

// appendNext writes the records that wait for the partition.
func (d *Daemon) appendNext(part wigeonstep.Partition) {
	a := &d.shared
	batch := a.waiting[part]
	a.busy[part] = len(batch) > 0
	if len(batch) == 0 {
		return
	}
	rest := batch[min(len(batch), maxShared):]
	batch = batch[:len(batch)-len(rest)]
	a.waiting[part] = append([]sharedRecord(nil), rest...)
	records := make([]wigeonstep.KeyedRecord, len(batch))
	for i, s := range batch {
		records[i] = s.record
	}
	go func() {
		ctx, cancel := context.WithTimeout(d.ctx, sharedTimeout)
		_, err := d.config.Jobs.Append(ctx, part, records, nil)
		cancel()
		for _, s := range batch {
			s.result <- err
		}
		d.post(func() { d.appendNext(part) })
	}()
}
