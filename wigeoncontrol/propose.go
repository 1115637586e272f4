package wigeoncontrol

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

type proposalResult struct {
	subject string
	// change names the proposed change, so that another change of the subject is not delayed by this one's refusal.
	change string
	entry  *wigeonwire.Entry
	err    error
}

// propose appends an entry unless one for the same subject is outstanding or the same change was refused lately.
func (d *daemon) propose(ctx context.Context, entry *wigeonwire.Entry, now time.Time) {
	subject, change := subjectOf(entry)
	if d.proposing[subject] || len(d.proposing) >= maxProposals || !d.proposals.due(change, now) {
		return
	}
	d.proposing[subject] = true
	d.tasks.Go(func() {
		call, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		_, err := d.config.Follower.Propose(call, entry)
		select {
		case d.proposed <- proposalResult{subject: subject, change: change, entry: entry, err: err}:
		case <-ctx.Done():
		}
	})
}

func (d *daemon) onProposed(r proposalResult) {
	delete(d.proposing, r.subject)
	switch {
	case r.err == nil:
		d.proposals.succeed(r.change)
		d.metrics.accepted.Inc()
		d.report(r.entry)
	case errors.Is(r.err, wigeonstep.ErrRejected):
		d.metrics.refused.Inc()
		wait := d.proposals.fail(r.change, time.Now())
		d.config.Logger.Debug("the fold refused a proposal", zap.String("subject", r.subject), zap.String("change", r.change), zap.Error(r.err), zap.Duration("retry_in", wait))
	default:
		// An entry that may yet be judged is safe to repeat: it names the epoch, and only one of the two can be accepted.
		d.metrics.lost.Inc()
		wait := d.proposals.fail(r.change, time.Now())
		d.config.Logger.Warn("a proposal has no verdict", zap.String("subject", r.subject), zap.String("change", r.change), zap.Error(r.err), zap.Duration("retry_in", wait))
	}
}

// report logs accepted changes of VMs; a lost VM is a warning.
func (d *daemon) report(entry *wigeonwire.Entry) {
	t := entry.GetVmTransition()
	if t == nil {
		return
	}
	fields := []zap.Field{
		zap.String("vm", t.GetVm()), zap.String("phase", t.GetTo().String()), zap.String("pool", t.GetPool()), zap.String("wave", t.GetWave()),
		zap.String("cause", t.GetCause()), zap.String("rule", t.GetRule()), zap.String("figures", t.GetFigures()),
	}
	switch t.GetTo() {
	case wigeonwire.Phase_PHASE_FAILED, wigeonwire.Phase_PHASE_GONE:
		d.metrics.vmsLost.Inc()
		d.config.Logger.Warn("VM lost", fields...)
	default:
		d.config.Logger.Info("VM changed its phase", fields...)
	}
}

// subjectOf returns what an entry is about and which change it asks for.
func subjectOf(entry *wigeonwire.Entry) (subject, change string) {
	switch body := entry.GetBody().(type) {
	case *wigeonwire.Entry_VmTransition:
		t := body.VmTransition
		subject = "vm/" + t.GetVm()
		return subject, fmt.Sprintf("%s@%d>%d", subject, t.GetEpoch(), t.GetTo())
	case *wigeonwire.Entry_VmObserve:
		subject = "observe/" + body.VmObserve.GetVm()
	case *wigeonwire.Entry_WaveStart:
		subject = "wave/" + body.WaveStart.GetPool()
		return subject, subject + "+" + body.WaveStart.GetWave()
	case *wigeonwire.Entry_WaveEnd:
		subject = "wave/" + body.WaveEnd.GetWave()
	case *wigeonwire.Entry_PoolObserve:
		subject = "pools"
	case *wigeonwire.Entry_Decision:
		subject = "decision/" + body.Decision.GetSubjectKind() + "/" + body.Decision.GetSubject()
	}
	return subject, subject
}
