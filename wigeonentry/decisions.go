package wigeonentry

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonrouting"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// quarantineInterval is the polling interval for changes of the quarantine.
	quarantineInterval = time.Second
	// refusalInterval is the period whose refusals of a class are aggregated into one decision, so that a burst does not
	// flood the log.
	refusalInterval = 10 * time.Second
)

// refusalCounts counts the refused requests of each class since the last recorded decision.
type refusalCounts struct {
	mu     sync.Mutex
	counts map[refusalKey]*refusalCount
}

type refusalKey struct {
	service wigeonstep.ServiceName
	class   wigeonstep.ClassName
}

type refusalCount struct {
	requests int
	// last is the newest refusal.
	last wigeonstep.Refusal
}

func (r *refusalCounts) add(route *wigeonstate.Route, refusal *wigeonstep.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := refusalKey{route.Service.Document.Service, route.Class.Name}
	if r.counts == nil {
		r.counts = map[refusalKey]*refusalCount{}
	}
	c := r.counts[key]
	if c == nil {
		c = &refusalCount{}
		r.counts[key] = c
	}
	c.requests++
	c.last = *refusal
}

// takeCounts returns the counts since the previous call and resets them.
func (r *refusalCounts) takeCounts() map[refusalKey]*refusalCount {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := r.counts
	r.counts = nil
	return counts
}

// recordDecisions records quarantine and refusal decisions of this process on the log until ctx ends, so that operators can
// query them with the explain command.
func (p *Process) recordDecisions(ctx context.Context) {
	quarantineTicker := time.NewTicker(quarantineInterval)
	defer quarantineTicker.Stop()
	refusalTicker := time.NewTicker(refusalInterval)
	defer refusalTicker.Stop()
	previous := map[wigeonstep.VMID]wigeonrouting.Quarantine{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-quarantineTicker.C:
			previous = p.recordQuarantineChanges(previous)
		case <-refusalTicker.C:
			p.recordRefusals()
		}
	}
}

// recordQuarantineChanges records the VMs that entered or left the quarantine since before. It returns the current
// quarantine.
func (p *Process) recordQuarantineChanges(before map[wigeonstep.VMID]wigeonrouting.Quarantine) map[wigeonstep.VMID]wigeonrouting.Quarantine {
	current := map[wigeonstep.VMID]wigeonrouting.Quarantine{}
	for _, pl := range *p.pools.Load() {
		pl.mu.Lock()
		quarantined := slices.Clone(pl.picker.Quarantined())
		pl.mu.Unlock()
		for _, q := range quarantined {
			current[q.VM] = q
			if _, old := before[q.VM]; !old {
				p.config.Logger.Warn("backend server quarantined", zap.String("vm", string(q.VM)), zap.String("pool", string(pl.name)), zap.String("cause", q.Cause))
				p.recordDecision("vm", string(q.VM), "quarantine", q.Cause, "failure rate above 50% over at least 5 results", "next probe "+q.NextProbe.UTC().Format(time.RFC3339Nano))
			}
		}
	}
	for vm := range before {
		if _, still := current[vm]; !still {
			p.config.Logger.Info("backend server left quarantine", zap.String("vm", string(vm)))
			p.recordDecision("vm", string(vm), "end quarantine", "a probe was answered, or the VM has a new epoch", "probe", "")
		}
	}
	return current
}

func (p *Process) recordRefusals() {
	for key, c := range p.refusalCounts.takeCounts() {
		p.recordDecision("service", string(key.service), "refuse "+string(key.class), c.last.Reason, c.last.Step,
			fmt.Sprintf("%d requests in %s at this process", c.requests, refusalInterval))
	}
}

// recordDecision appends a decision to the log in the background. While the log is down, the follower retains the newest
// decision for each subject and action.
func (p *Process) recordDecision(kind, subject, action, cause, rule, figures string) {
	entry := &wigeonwire.Entry{Body: &wigeonwire.Entry_Decision{Decision: &wigeonwire.Decision{
		SubjectKind: kind, Subject: subject, Action: action, Cause: cause, Rule: rule, Figures: figures,
	}}}
	p.background.Go(func() {
		if _, err := p.config.Follower.Propose(p.lifetime, entry); err != nil {
			p.config.Logger.Debug("recording a decision on the log failed", zap.String("subject", subject), zap.String("action", action), zap.Error(err))
		}
	})
}
