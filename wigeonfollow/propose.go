package wigeonfollow

import (
	"context"
	"fmt"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// maxQueued bounds the proposals held in memory during an outage.
	maxQueued = 4096
	// maxBatchEntries and maxBatchBytes bound one append.
	maxBatchEntries = 512
	maxBatchBytes   = 512 << 10
)

// proposal is an entry that is queued or in flight, and the channel for its verdict.
type proposal struct {
	entry *wigeonwire.Entry
	// size is the encoded size of the entry in bytes.
	size int
	// subject identifies proposals that replace each other while queued; empty when a later one does not replace this one.
	subject string
	sent    bool
	// abandoned is set when the proposer has stopped waiting; such an entry is not queued again.
	abandoned bool
	done      chan outcome
}

// outcome is the verdict on a proposal.
type outcome struct {
	offset wigeonstep.Offset
	err    error
}

// finish delivers the verdict. Calls after the first one have no effect.
func (p *proposal) finish(offset wigeonstep.Offset, err error) {
	select {
	case p.done <- outcome{offset, err}:
	default:
	}
}

func rejected(reason string) error {
	return fmt.Errorf("%w: %s", wigeonstep.ErrRejected, reason)
}

// queue holds the proposals that are not in a batch yet, oldest first.
type queue struct {
	waiting []*proposal
	// subjects indexes the waiting proposals that have a subject.
	subjects map[string]*proposal
	// urgent counts the waiting proposals that do not wait for the batch interval.
	urgent int
}

// add appends a proposal. It replaces a waiting one with the same subject, which fails, and returns an error when the
// queue is full.
func (q *queue) add(p *proposal) error {
	if older := q.subjects[p.subject]; p.subject != "" && older != nil {
		q.remove(older)
		older.finish(0, fmt.Errorf("%w: a newer proposal replaced this one", wigeonstep.ErrUnavailable))
	}
	if len(q.waiting) >= maxQueued {
		return fmt.Errorf("%w: %d proposals wait for the log", wigeonstep.ErrUnavailable, len(q.waiting))
	}
	q.waiting = append(q.waiting, p)
	q.track(p, 1)
	return nil
}

// track updates the index and the count of urgent proposals for a proposal that is added (n is 1) or removed (n is -1).
func (q *queue) track(p *proposal, n int) {
	if !paced(p.entry) {
		q.urgent += n
	}
	if p.subject == "" {
		return
	}
	if q.subjects == nil {
		q.subjects = make(map[string]*proposal)
	}
	if n > 0 {
		q.subjects[p.subject] = p
	} else if q.subjects[p.subject] == p {
		delete(q.subjects, p.subject)
	}
}

// remove removes a proposal and reports whether it was waiting.
func (q *queue) remove(p *proposal) bool {
	for i, other := range q.waiting {
		if other == p {
			q.waiting = append(q.waiting[:i:i], q.waiting[i+1:]...)
			q.track(p, -1)
			return true
		}
	}
	return false
}

// popBatch removes and returns the oldest proposals that fit into one batch, at least one if any is waiting.
func (q *queue) popBatch() []*proposal {
	size, n := 0, 0
	for n < len(q.waiting) && n < maxBatchEntries && (n == 0 || size+q.waiting[n].size <= maxBatchBytes) {
		size += q.waiting[n].size
		n++
	}
	taken := q.waiting[:n:n]
	q.waiting = q.waiting[n:]
	for _, p := range taken {
		q.track(p, -1)
		p.sent = true
	}
	return taken
}

// requeue puts proposals that were not appended back to the front of the queue, except those that were abandoned. Those
// that a newer proposal has replaced fail.
func (q *queue) requeue(proposals []*proposal) {
	requeued := make([]*proposal, 0, len(proposals)+len(q.waiting))
	for _, p := range proposals {
		p.sent = false
		switch {
		case p.abandoned:
		case p.subject != "" && q.subjects[p.subject] != nil:
			p.finish(0, fmt.Errorf("%w: a newer proposal replaced this one", wigeonstep.ErrUnavailable))
		default:
			q.track(p, 1)
			requeued = append(requeued, p)
		}
	}
	q.waiting = append(requeued, q.waiting...)
}

// Propose implements wigeonstep.Proposer.
func (f *Follower) Propose(ctx context.Context, entry *wigeonwire.Entry) (wigeonstep.Offset, error) {
	p, err := f.enqueue(entry)
	if err != nil {
		return 0, fmt.Errorf("propose: %w", err)
	}
	select {
	case result := <-p.done:
		return result.offset, result.err
	case <-ctx.Done():
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case result := <-p.done:
		return result.offset, result.err
	default:
	}
	if f.queue.remove(p) {
		return 0, fmt.Errorf("propose: %w: %w", wigeonstep.ErrUnavailable, ctx.Err())
	}
	p.abandoned = true
	return 0, fmt.Errorf("propose: %w: %w", wigeonstep.ErrAnswerLost, ctx.Err())
}

// enqueue adds an entry to the queue and wakes appendBatches.
func (f *Follower) enqueue(entry *wigeonwire.Entry) (*proposal, error) {
	p := &proposal{entry: entry, size: sizeOf(entry), subject: subjectOf(entry), done: make(chan outcome, 1)}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.own.stopped && entry.GetSessionClose() == nil {
		return nil, fmt.Errorf("%w: the session is closed", wigeonstep.ErrUnavailable)
	}
	if err := f.queue.add(p); err != nil {
		return nil, err
	}
	f.signal()
	return p, nil
}

// failAllLocked ends every proposal: the queued ones with err, and those in flight with wigeonstep.ErrAnswerLost.
func (f *Follower) failAllLocked(err error) {
	for _, p := range f.queue.waiting {
		p.finish(0, err)
	}
	f.queue = queue{}
	for _, batch := range f.own.inflight {
		batch.fail(fmt.Errorf("%w: the follower stopped", wigeonstep.ErrAnswerLost))
	}
	f.own.inflight = nil
}

// paced reports whether the entry waits for the batch interval, which keeps the appends of many entry processes within
// the rate of the log.
func paced(entry *wigeonwire.Entry) bool {
	switch entry.GetBody().(type) {
	case *wigeonwire.Entry_Intent, *wigeonwire.Entry_KeyOutcome, *wigeonwire.Entry_JobAccept,
		*wigeonwire.Entry_JobStart, *wigeonwire.Entry_JobEnd, *wigeonwire.Entry_Decision:
		return true
	default:
		return false
	}
}

// subjectOf returns the subject of an entry if only its newest proposal matters, otherwise an empty string.
func subjectOf(entry *wigeonwire.Entry) string {
	switch body := entry.GetBody().(type) {
	case *wigeonwire.Entry_VmObserve:
		return "vm_observe/" + body.VmObserve.GetVm()
	case *wigeonwire.Entry_VmTransition:
		return "vm_transition/" + body.VmTransition.GetVm()
	case *wigeonwire.Entry_PoolObserve:
		return "pool_observe"
	case *wigeonwire.Entry_SessionExpire:
		return "session_expire/" + wigeonstep.SessionID(body.SessionExpire.GetSession()).String()
	case *wigeonwire.Entry_Decision:
		return "decision/" + body.Decision.GetSubjectKind() + "/" + body.Decision.GetSubject() + "/" + body.Decision.GetAction()
	default:
		return ""
	}
}
