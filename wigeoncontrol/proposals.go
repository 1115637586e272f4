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
	// change identifies the proposed change of the subject. The retry delay applies to the change, so that a refused
	// change does not delay another change of the same subject.
	change string
	entry  *wigeonwire.Entry
	err    error
}

// startProposal proposes an entry unless a proposal for the same subject is pending, the same change waits for its
// retry delay, or too many proposals are pending.
func (d *daemon) startProposal(ctx context.Context, entry *wigeonwire.Entry, now time.Time) {
	subject, change := subjectAndChange(entry)
	if d.pendingProposals[subject] || len(d.pendingProposals) >= maxPendingProposals || !d.proposalRetries.allowed(change, now) {
		return
	}
	d.pendingProposals[subject] = true
	d.goroutines.Go(func() {
		call, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		_, err := d.config.Follower.Propose(call, entry)
		select {
		case d.proposalResults <- proposalResult{subject: subject, change: change, entry: entry, err: err}:
		case <-ctx.Done():
		}
	})
}

func (d *daemon) handleProposalResult(r proposalResult) {
	delete(d.pendingProposals, r.subject)
	switch {
	case r.err == nil:
		d.proposalRetries.recordSuccess(r.change)
		d.metrics.accepted.Inc()
		d.logTransition(r.entry)
	case errors.Is(r.err, wigeonstep.ErrRejected):
		d.metrics.refused.Inc()
		wait := d.proposalRetries.recordFailure(r.change, time.Now())
		d.config.Logger.Debug("proposal rejected", zap.String("subject", r.subject), zap.String("change", r.change), zap.Error(r.err), zap.Duration("retry_in", wait))
	default:
		// The entry may still be accepted, but proposing it again is safe: a transition names its epoch, and only one of
		// two transitions from the same epoch can be accepted.
		d.metrics.noVerdict.Inc()
		wait := d.proposalRetries.recordFailure(r.change, time.Now())
		d.config.Logger.Warn("no verdict on proposal; it may still be accepted", zap.String("subject", r.subject), zap.String("change", r.change), zap.Error(r.err), zap.Duration("retry_in", wait))
	}
}

// logTransition logs an accepted phase change of a VM, as a warning if the VM is lost.
func (d *daemon) logTransition(entry *wigeonwire.Entry) {
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
		d.config.Logger.Info("VM phase changed", fields...)
	}
}

// subjectAndChange returns keys for the subject of an entry and for the change that the entry makes to it.
func subjectAndChange(entry *wigeonwire.Entry) (subject, change string) {
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
