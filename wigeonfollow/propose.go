package wigeonfollow

import (
	"context"
	"fmt"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// maxQueued bounds the proposals that wait in memory through an outage.
	maxQueued = 4096
	// maxBatchEntries and maxBatchBytes bound one append.
	maxBatchEntries = 512
	maxBatchBytes   = 512 << 10
)

// proposal is one entry on its way into the log.
type proposal struct {
	entry *wigeonwire.Entry
	size  int
	// subject is empty when a later proposal does not replace this one.
	subject string
	sent    bool
	// abandoned is set when nobody waits any more; such an entry is not sent again.
	abandoned bool
	done      chan outcome
}

// outcome is the verdict on a proposal.
type outcome struct {
	offset wigeonstep.Offset
	err    error
}

// finish delivers the verdict; the first one counts.
func (p *proposal) finish(offset wigeonstep.Offset, err error) {
	select {
	case p.done <- outcome{offset, err}:
	default:
	}
}

func rejected(reason string) error {
	return fmt.Errorf("%w: %s", wigeonstep.ErrRejected, reason)
}

// queue holds the proposals that are in no batch yet, oldest first.
type queue struct {
	waiting  []*proposal
	subjects map[string]*proposal
	// urgent counts those that do not wait for the batch interval.
	urgent int
}

// add appends a proposal. An older one about the same subject fails, because the newer one replaces it.
func (q *queue) add(p *proposal) error {
	if older := q.subjects[p.subject]; p.subject != "" && older != nil {
		q.remove(older)
		older.finish(0, fmt.Errorf("%w: a newer proposal replaced this one", wigeonstep.ErrUnavailable))
	}
	if len(q.waiting) >= maxQueued {
		return fmt.Errorf("%w: %d proposals wait for the log", wigeonstep.ErrUnavailable, len(q.waiting))
	}
	q.waiting = append(q.waiting, p)
	q.count(p, 1)
	return nil
}

func (q *queue) count(p *proposal, n int) {
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

// remove takes a proposal out and reports whether it was waiting.
func (q *queue) remove(p *proposal) bool {
	for i, other := range q.waiting {
		if other == p {
			q.waiting = append(q.waiting[:i:i], q.waiting[i+1:]...)
			q.count(p, -1)
			return true
		}
	}
	return false
}

// take returns the oldest proposals that fit into one batch.
func (q *queue) take() []*proposal {
	size, n := 0, 0
	for n < len(q.waiting) && n < maxBatchEntries && (n == 0 || size+q.waiting[n].size <= maxBatchBytes) {
		size += q.waiting[n].size
		n++
	}
	taken := q.waiting[:n:n]
	q.waiting = q.waiting[n:]
	for _, p := range taken {
		q.count(p, -1)
		p.sent = true
	}
	return taken
}

// putBack returns proposals that were certainly not appended to the front, except those replaced or abandoned meanwhile.
func (q *queue) putBack(proposals []*proposal) {
	kept := make([]*proposal, 0, len(proposals)+len(q.waiting))
	for _, p := range proposals {
		p.sent = false
		switch {
		case p.abandoned:
		case p.subject != "" && q.subjects[p.subject] != nil:
			p.finish(0, fmt.Errorf("%w: a newer proposal replaced this one", wigeonstep.ErrUnavailable))
		default:
			q.count(p, 1)
			kept = append(kept, p)
		}
	}
	q.waiting = append(kept, q.waiting...)
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

// enqueue puts an entry into the queue and wakes the appender.
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

// failAllLocked ends every proposal: those that wait with the error, those that were sent as unknown.
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

// paced reports whether the entry waits for the batch interval, which keeps the appends of many entry processes within the log's rate.
func paced(entry *wigeonwire.Entry) bool {
	switch entry.GetBody().(type) {
	case *wigeonwire.Entry_Intent, *wigeonwire.Entry_KeyOutcome, *wigeonwire.Entry_JobAccept,
		*wigeonwire.Entry_JobStart, *wigeonwire.Entry_JobEnd, *wigeonwire.Entry_Decision:
		return true
	default:
		return false
	}
}

// subjectOf names what an entry is about when only the newest proposal about it matters.
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
