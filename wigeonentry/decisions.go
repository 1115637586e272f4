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
	quarantineInterval = time.Second
	// refusalInterval is the time over which the refusals of a class become one decision, so that a burst does not flood the log.
	refusalInterval = 10 * time.Second
)

// refusals counts the refused requests of each class since the last decision.
type refusals struct {
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

func (r *refusals) add(route *wigeonstate.Route, refusal *wigeonstep.Refusal) {
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

func (r *refusals) take() map[refusalKey]*refusalCount {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := r.counts
	r.counts = nil
	return counts
}

// decide keeps the decisions of this process for explain, until ctx ends.
func (p *Process) decide(ctx context.Context) {
	quarantine := time.NewTicker(quarantineInterval)
	defer quarantine.Stop()
	refused := time.NewTicker(refusalInterval)
	defer refused.Stop()
	known := map[wigeonstep.VMID]wigeonrouting.Quarantine{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-quarantine.C:
			known = p.explainQuarantine(known)
		case <-refused.C:
			p.explainRefusals()
		}
	}
}

func (p *Process) explainQuarantine(known map[wigeonstep.VMID]wigeonrouting.Quarantine) map[wigeonstep.VMID]wigeonrouting.Quarantine {
	current := map[wigeonstep.VMID]wigeonrouting.Quarantine{}
	for _, pl := range *p.pools.Load() {
		pl.mu.Lock()
		quarantined := slices.Clone(pl.picker.Quarantined())
		pl.mu.Unlock()
		for _, q := range quarantined {
			current[q.VM] = q
			if _, old := known[q.VM]; !old {
				p.config.Logger.Warn("backend server quarantined", zap.String("vm", string(q.VM)), zap.String("pool", string(pl.name)), zap.String("cause", q.Cause))
				p.explain("vm", string(q.VM), "quarantine", q.Cause, "failure rate above 50% over at least 5 results", "next probe "+q.NextProbe.UTC().Format(time.RFC3339Nano))
			}
		}
	}
	for vm := range known {
		if _, still := current[vm]; !still {
			p.config.Logger.Info("backend server left quarantine", zap.String("vm", string(vm)))
			p.explain("vm", string(vm), "end quarantine", "a probe was answered, or the VM has a new epoch", "probe", "")
		}
	}
	return current
}

func (p *Process) explainRefusals() {
	for key, c := range p.refusals.take() {
		p.explain("service", string(key.service), "refuse "+string(key.class), c.last.Reason, c.last.Step,
			fmt.Sprintf("%d requests in %s at this process", c.requests, refusalInterval))
	}
}

// explain puts a decision on the log. While the log is down the follower keeps the newest one for each subject and action.
func (p *Process) explain(kind, subject, action, cause, rule, figures string) {
	entry := &wigeonwire.Entry{Body: &wigeonwire.Entry_Decision{Decision: &wigeonwire.Decision{
		SubjectKind: kind, Subject: subject, Action: action, Cause: cause, Rule: rule, Figures: figures,
	}}}
	p.background.Go(func() {
		if _, err := p.config.Follower.Propose(p.lifetime, entry); err != nil {
			p.config.Logger.Debug("a decision was not recorded", zap.String("subject", subject), zap.String("action", action), zap.Error(err))
		}
	})
}
