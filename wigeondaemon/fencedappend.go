package wigeondaemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
)

// appendAnswer is the answer to a fenced append.
type appendAnswer struct {
	// end is the end of the partition after the records.
	end wigeonstep.Offset
	// sentAt is the time at which the attempt that was answered was sent.
	sentAt time.Duration
}

// appendFenced appends records with the fencing token of the ownership and calls onWritten on the event loop when they are
// written. It retries until then, until the log refuses the records, which drops the shard, or until the ownership ends.
func (d *Daemon) appendFenced(sh *shard, records []wigeonstep.KeyedRecord, onWritten func(appendAnswer)) {
	a := d.newFencedAppender(sh)
	go func() {
		answer, err := a.append(records)
		a.finish(sh, err, func() { onWritten(answer) })
	}()
}

// fencedAppender makes the appends of one ownership. Its sequence numbers are handed back by finish, so that no other append is
// made meanwhile.
type fencedAppender struct {
	*Daemon
	// ctx ends with the ownership.
	ctx  context.Context
	part wigeonstep.Partition
	// fence has the sequence number of the next append.
	fence wigeonstep.AppendFence
}

func (d *Daemon) newFencedAppender(sh *shard) *fencedAppender {
	return &fencedAppender{Daemon: d, ctx: sh.ctx, part: sh.part, fence: wigeonstep.AppendFence{Epoch: sh.fence, Sequence: sh.sequence + 1}}
}

// append appends the records. It retries until they are written, until the log refuses them, or until the ownership ends. The
// error then wraps ErrFenced or ErrRejected, or is that of the context.
func (a *fencedAppender) append(records []wigeonstep.KeyedRecord) (appendAnswer, error) {
	delay := minAppendDelay
	for a.ctx.Err() == nil {
		sentAt := a.config.Now().Steady
		end, err := a.config.Jobs.Append(a.ctx, a.part, records, &a.fence)
		switch {
		case err == nil:
			a.fence.Sequence++
			return appendAnswer{end: end, sentAt: sentAt}, nil
		case errors.Is(err, wigeonstep.ErrFenced), errors.Is(err, wigeonstep.ErrRejected):
			return appendAnswer{}, err
		}
		a.config.Metrics.appendRetries.Inc()
		sleep(a.ctx, delay/2+rand.N(delay))
		delay = min(2*delay, maxAppendDelay)
	}
	return appendAnswer{}, a.ctx.Err()
}

// finish calls onWritten on the event loop if err is nil, and otherwise drops the shard, unless the ownership has ended.
func (a *fencedAppender) finish(sh *shard, err error, onWritten func()) {
	a.post(func() {
		if a.ctx.Err() != nil {
			return
		}
		sh.sequence = a.fence.Sequence - 1
		if err == nil {
			onWritten()
			return
		}
		a.config.Logger.Warn("append_refused", zap.Int("partition", int(sh.part)), zap.Uint64("epoch", uint64(a.fence.Epoch)), zap.Error(err))
		a.dropShard(sh, "the log refused an append")
		sh.retryClaimAt = a.config.Now().Steady + claimRetryDelay
	})
}
