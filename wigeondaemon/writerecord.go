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
	// recordAttempts is the number of attempts, of which none may have written the record, after which a client is
	// refused. Each recordWriter is tried at least once, and while the log is unreachable once is enough. A rejected
	// record or the deadline ends the attempts earlier.
	recordAttempts = 4
	// recordRetryDelay is the mean pause between attempts.
	recordRetryDelay = 20 * time.Millisecond
	// recordAttemptTimeout bounds one attempt. A slow store takes about a second.
	recordAttemptTimeout = 1400 * time.Millisecond
	// responseMargin is the time that is reserved before the client's deadline for the response.
	responseMargin = 300 * time.Millisecond
)

// recordWriter writes a record to the job log, either directly or through a peer.
type recordWriter struct {
	// peer is the name of the log or the address of the peer, for refusals.
	peer  string
	write func(ctx context.Context) error
}

// writeRecord writes a record that any process may write and returns the response for the client. While the log is
// unreachable from this process, peers are asked to write the record. Repeated writes are harmless, because they have
// the same key and value. ctx must have a deadline, after which no attempt begins anywhere.
func (d *Daemon) writeRecord(ctx context.Context, part wigeonstep.Partition, record wigeonstep.KeyedRecord) wigeonstep.Response {
	deadline, _ := ctx.Deadline()
	began := d.config.Now().Steady
	writers := d.recordWriters(ctx, part, record)
	if len(writers) == 0 {
		return refusedByLog("the log does not answer here, and no other process that reaches it is known", "job log")
	}
	mayBeWritten := false
	for attempt := 1; ; attempt++ {
		w := writers[(attempt-1)%len(writers)]
		if now := d.config.Now().Steady; now-began > maxSubmissionTime || d.pauses.stale(now) {
			return lateRecord(mayBeWritten)
		}
		err := d.attemptWrite(ctx, w, deadline)
		if err == nil {
			d.wakeOwnedShard(part)
			return responseDone
		}
		notWritten := errors.Is(err, wigeonstep.ErrUnavailable) || errors.Is(err, wigeonstep.ErrRejected)
		mayBeWritten = mayBeWritten || !notWritten
		switch {
		case !mayBeWritten && (attempt >= recordAttempts && attempt >= len(writers) || attempt >= len(writers) && d.logUnreachable() || errors.Is(err, wigeonstep.ErrRejected)):
			return refusedByLog(err.Error(), w.peer)
		case time.Until(deadline) < responseMargin+recordRetryDelay && !mayBeWritten:
			return refusedByLog(err.Error(), w.peer)
		case time.Until(deadline) < responseMargin+recordRetryDelay:
			return wigeonstep.UnknownResponse(true, err.Error(), "record", w.peer)
		}
		sleep(ctx, recordRetryDelay/2+rand.N(recordRetryDelay))
	}
}

// lateRecord returns the response for a record that is written no more, because the process was paused meanwhile.
func lateRecord(mayBeWritten bool) wigeonstep.Response {
	if mayBeWritten {
		return wigeonstep.UnknownResponse(true, "the process was paused", "record", "process")
	}
	return responseStale
}

// refusedByLog returns the response for a record that was certainly not written. Its retry delay is randomised, so that
// clients do not all retry at the same time after an outage.
func refusedByLog(reason, peer string) wigeonstep.Response {
	return wigeonstep.NotRunResponse(http.StatusServiceUnavailable, reason, "record", peer, refusalRetryAfter+rand.N(refusalRetryAfter))
}

// attemptWrite makes one attempt with w and leaves time for a response before the deadline.
func (d *Daemon) attemptWrite(ctx context.Context, w recordWriter, deadline time.Time) error {
	remaining := time.Until(deadline)
	ctx, cancel := context.WithTimeout(ctx, min(recordAttemptTimeout, max(remaining-responseMargin, remaining/2)))
	defer cancel()
	return w.write(ctx)
}

// recordWriters returns the writers for a record in the order of preference. There may be none.
func (d *Daemon) recordWriters(ctx context.Context, part wigeonstep.Partition, record wigeonstep.KeyedRecord) []recordWriter {
	if d.logUnreachable() {
		// A direct attempt, or one through a peer that may be cut off as well, would most likely time out. The outcome
		// would then be unknown, and the client could not be told that the job never runs.
		return d.relayWriters(d.relayAddresses(ctx), part, record)
	}
	until, _ := ctx.Deadline()
	own := recordWriter{peer: "job log", write: func(ctx context.Context) error {
		return d.appendBatched(ctx, part, record, until)
	}}
	peers, _ := queryLoop(ctx, d, d.ownerAddresses)
	return append([]recordWriter{own}, d.relayWriters(peers, part, record)...)
}

// relayWriters returns a writer for each of the peers, in random order.
func (d *Daemon) relayWriters(addresses []string, part wigeonstep.Partition, record wigeonstep.KeyedRecord) []recordWriter {
	var writers []recordWriter
	for _, address := range addresses {
		writers = append(writers, recordWriter{peer: address, write: func(ctx context.Context) error {
			return d.appendViaPeer(ctx, address, part, record)
		}})
	}
	rand.Shuffle(len(writers), func(i, j int) { writers[i], writers[j] = writers[j], writers[i] })
	return writers
}

// appendViaPeer asks a peer to write a record.
func (d *Daemon) appendViaPeer(ctx context.Context, address string, part wigeonstep.Partition, record wigeonstep.KeyedRecord) error {
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

// appendForPeer writes the record of a client's request on behalf of a peer, unless the log is unreachable from here too or the request
// may be old.
func (d *Daemon) appendForPeer(ctx context.Context, a *wigeonwire.AppendRequest) *wigeonwire.AppendResult {
	kind, _, _ := wigeonjob.SplitKey(a.GetKey())
	forClients := kind == wigeonjob.KindJob || kind == wigeonjob.KindCancel || kind == wigeonjob.KindWithdrawal
	if d.logUnreachable() || !forClients || d.pauses.stale(d.config.Now().Steady) || d.heldUp(a) {
		return &wigeonwire.AppendResult{}
	}
	part := wigeonstep.Partition(a.GetPartition())
	ctx, cancel := context.WithTimeout(ctx, recordAttemptTimeout)
	defer cancel()
	err := d.appendBatched(ctx, part, wigeonstep.KeyedRecord{Key: a.GetKey(), Value: a.GetValue()}, time.Now().Add(maxPeerWriteTime))
	if err == nil {
		d.wakeOwnedShard(part)
		return &wigeonwire.AppendResult{Done: true}
	}
	notWritten := errors.Is(err, wigeonstep.ErrUnavailable) || errors.Is(err, wigeonstep.ErrRejected)
	return &wigeonwire.AppendResult{Maybe: !notWritten}
}

// heldUp reports whether the record is that of a submission which was under way for too long before it arrived here, as over a connection
// that was cut for a while.
func (d *Daemon) heldUp(a *wigeonwire.AppendRequest) bool {
	kind, id, _ := wigeonjob.SplitKey(a.GetKey())
	if kind != wigeonjob.KindJob {
		return false
	}
	job, err := wigeonjob.DecodeJob(wigeonstep.JobID(id), a.GetValue())
	if err != nil {
		return true
	}
	age := time.Duration(d.config.Now().Wall-job.Accepted) * time.Millisecond
	return age > maxSubmissionTime+maxClockDifference
}

// wakeOwnedShard makes the tail of the shard read at once if this process owns it.
func (d *Daemon) wakeOwnedShard(part wigeonstep.Partition) {
	d.post(func() {
		if sh := d.shards[part]; sh != nil && sh.owned {
			sh.wake()
		}
	})
}
