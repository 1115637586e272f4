package wigeondaemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// recordTries is how many certain refusals end the attempt to write a record.
	recordTries = 4
	// recordDelay is the pause before the next try.
	recordDelay = 20 * time.Millisecond
	// recordTimeout bounds one try when there are others to try. A slow store takes about a second.
	recordTimeout = 1400 * time.Millisecond
	// unknownMargin is the time that is left for the answer when no try was answered.
	unknownMargin = 300 * time.Millisecond
)

// writer is one way to write a record to the job log.
type writer struct {
	peer  string
	write func(ctx context.Context) error
}

// record writes a record that any process may write, and answers what became of it. While the log does not answer here,
// other processes are asked to write the record: it is the same record however often it is written.
func (d *Daemon) record(ctx context.Context, part wigeonstep.Partition, record wigeonstep.KeyedRecord) wigeonstep.Response {
	deadline, _ := ctx.Deadline()
	writers := d.writers(ctx, part, record)
	if len(writers) == 0 {
		return refusedByLog("the log does not answer here, and no other process that reaches it is known", "job log")
	}
	maybe := false
	for try := 1; ; try++ {
		w := writers[(try-1)%len(writers)]
		err := d.writeOnce(ctx, w, deadline)
		if err == nil {
			d.wakeOwner(part)
			return done
		}
		certain := errors.Is(err, wigeonstep.ErrUnavailable) || errors.Is(err, wigeonstep.ErrRejected)
		maybe = maybe || !certain
		switch {
		case !maybe && (try >= recordTries && try >= len(writers) || try >= len(writers) && d.logLost() || errors.Is(err, wigeonstep.ErrRejected)):
			return refusedByLog(err.Error(), w.peer)
		case time.Until(deadline) < unknownMargin+recordDelay && !maybe:
			return refusedByLog(err.Error(), w.peer)
		case time.Until(deadline) < unknownMargin+recordDelay:
			return wigeonstep.Unknown(true, err.Error(), "record", w.peer)
		}
		pause(ctx, recordDelay/2+rand.N(recordDelay))
	}
}

// refusedByLog is the answer to a client whose record was certainly not written. The times to return are spread, so that
// the end of an outage is not met by all clients at once.
func refusedByLog(reason, peer string) wigeonstep.Response {
	return wigeonstep.NotRun(http.StatusServiceUnavailable, reason, "record", peer, refusalRetry+rand.N(refusalRetry))
}

// writeOnce tries one way, and leaves time for an answer to the client.
func (d *Daemon) writeOnce(ctx context.Context, w writer, deadline time.Time) error {
	left := time.Until(deadline)
	ctx, cancel := context.WithTimeout(ctx, min(recordTimeout, max(left-unknownMargin, left/2)))
	defer cancel()
	return w.write(ctx)
}

// writers returns the ways to write a record, the best first.
func (d *Daemon) writers(ctx context.Context, part wigeonstep.Partition, record wigeonstep.KeyedRecord) []writer {
	if d.logLost() {
		// A try here, or through a peer that may be cut off too, would most likely end without an answer, and then nobody
		// could say that the job never runs.
		return d.throughPeers(d.peersWithLog(ctx), part, record)
	}
	own := writer{peer: "job log", write: func(ctx context.Context) error {
		return d.appendShared(ctx, part, record)
	}}
	peers, _ := ask(ctx, d, d.ownerAddresses)
	return append([]writer{own}, d.throughPeers(peers, part, record)...)
}

// throughPeers returns the ways to write a record through each of the peers, in random order.
func (d *Daemon) throughPeers(addresses []string, part wigeonstep.Partition, record wigeonstep.KeyedRecord) []writer {
	var writers []writer
	for _, address := range addresses {
		writers = append(writers, writer{peer: address, write: func(ctx context.Context) error {
			return d.appendThrough(ctx, address, part, record)
		}})
	}
	rand.Shuffle(len(writers), func(i, j int) { writers[i], writers[j] = writers[j], writers[i] })
	return writers
}

// appendThrough asks another process to write a record.
func (d *Daemon) appendThrough(ctx context.Context, address string, part wigeonstep.Partition, record wigeonstep.KeyedRecord) error {
	request := &wigeonwire.PeerRequest{Body: &wigeonwire.PeerRequest_Append{Append: &wigeonwire.AppendRequest{
		Partition: uint32(part), Key: record.Key, Value: record.Value,
	}}}
	answer, err := d.config.Peers.Call(ctx, address, request)
	if err != nil {
		d.config.Metrics.peerFailures.Inc()
		return err
	}
	switch result := answer.GetAppend(); {
	case result.GetDone():
		return nil
	case result.GetMaybe():
		return fmt.Errorf("append through %s: %w", address, wigeonstep.ErrAnswerLost)
	}
	return fmt.Errorf("append through %s: %w", address, wigeonstep.ErrUnavailable)
}

// appendFor writes a record for another process.
func (d *Daemon) appendFor(ctx context.Context, a *wigeonwire.AppendRequest) *wigeonwire.AppendResult {
	kind, _, _ := wigeonjob.SplitKey(a.GetKey())
	if d.logLost() || kind != wigeonjob.KindJob && kind != wigeonjob.KindCancel {
		return &wigeonwire.AppendResult{}
	}
	part := wigeonstep.Partition(a.GetPartition())
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err := d.appendShared(ctx, part, wigeonstep.KeyedRecord{Key: a.GetKey(), Value: a.GetValue()})
	if err == nil {
		d.wakeOwner(part)
		return &wigeonwire.AppendResult{Done: true}
	}
	certain := errors.Is(err, wigeonstep.ErrUnavailable) || errors.Is(err, wigeonstep.ErrRejected)
	return &wigeonwire.AppendResult{Maybe: !certain}
}

// wakeOwner lets the shard be read at once when this process owns it.
func (d *Daemon) wakeOwner(part wigeonstep.Partition) {
	d.post(func() {
		if sh := d.shards[part]; sh != nil && sh.owned {
			sh.wake()
		}
	})
}
