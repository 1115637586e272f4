package wigeonentry

import (
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
)

// requestMetrics holds the request metrics of each team and class. Lookups of existing entries take no lock.
type requestMetrics struct {
	set     *metrics.Set
	mu      sync.Mutex
	byClass atomic.Pointer[map[classKey]*classMetrics]
}

type classKey struct {
	team  wigeonstep.TeamName
	class wigeonstep.ClassName
}

type classMetrics struct {
	latency                         *metrics.Histogram
	done, notRun, unknown, accepted *metrics.Counter
}

// forClass returns the metrics of a class and registers them on first use.
func (m *requestMetrics) forClass(team wigeonstep.TeamName, class wigeonstep.ClassName) *classMetrics {
	key := classKey{team, class}
	if byClass := m.byClass.Load(); byClass != nil {
		if found := (*byClass)[key]; found != nil {
			return found
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	next := map[classKey]*classMetrics{}
	if byClass := m.byClass.Load(); byClass != nil {
		next = maps.Clone(*byClass)
	}
	labels := fmt.Sprintf("team=%q,class=%q", team, class)
	counter := func(outcome wigeonstep.Outcome) *metrics.Counter {
		return m.set.GetOrCreateCounter(fmt.Sprintf("wigeonstep_requests_total{%s,outcome=%q}", labels, outcome))
	}
	next[key] = &classMetrics{
		latency:  m.set.GetOrCreateHistogram("wigeonstep_request_duration_seconds{" + labels + "}"),
		done:     counter(wigeonstep.OutcomeDone),
		notRun:   counter(wigeonstep.OutcomeNotRun),
		unknown:  counter(wigeonstep.OutcomeUnknown),
		accepted: counter(wigeonstep.OutcomeAccepted),
	}
	m.byClass.Store(&next)
	return next[key]
}

// recordOutcome updates metrics and refusal counts and logs the request, at info level if its outcome is unknown and at
// debug level otherwise.
func (p *Process) recordOutcome(route *wigeonstate.Route, request *wigeonstep.Request, response *wigeonstep.Response, took time.Duration) {
	m := p.requestMetrics.forClass(request.Team, route.Class.Name)
	m.latency.Update(took.Seconds())
	level := zap.DebugLevel
	switch response.Outcome {
	case wigeonstep.OutcomeDone:
		m.done.Inc()
	case wigeonstep.OutcomeNotRun:
		m.notRun.Inc()
		if response.Refusal != nil {
			p.refusalCounts.add(route, response.Refusal)
		}
	case wigeonstep.OutcomeAccepted:
		m.accepted.Inc()
	default:
		m.unknown.Inc()
		level = zap.InfoLevel
	}
	entry := p.config.Logger.Check(level, "request answered")
	if entry == nil {
		return
	}
	reason := ""
	if response.Refusal != nil {
		reason = response.Refusal.Error()
	}
	entry.Write(zap.String("request", string(request.ID)), zap.String("team", string(request.Team)), zap.String("class", string(request.Class)),
		zap.String("outcome", string(response.Outcome)), zap.Int("status", response.Status), zap.Duration("took", took), zap.String("reason", reason))
}

func (p *Process) logAttempt(request *wigeonstep.Request, vm wigeonstep.VMID, attempt int, result *wigeonstep.BackendResult) {
	if result.Err == nil {
		return
	}
	if entry := p.config.Logger.Check(zap.DebugLevel, "attempt at backend server failed"); entry != nil {
		entry.Write(zap.String("request", string(request.ID)), zap.String("vm", string(vm)), zap.Int("attempt", attempt), zap.Error(result.Err))
	}
}

func (p *Process) logForwardFailure(request *wigeonstep.Request, session *wigeonstate.Session, err error) {
	p.config.Logger.Debug("forwarding the request to the owner of its key failed", zap.String("request", string(request.ID)),
		zap.Stringer("session", session.ID), zap.String("peer", session.PeerAddress), zap.Error(err))
}

func (p *Process) logLocalOnly(localOnly bool) {
	if localOnly {
		p.config.Logger.Warn("the view or the lease is not confirmed; VMs of other data centres are not used", zap.Duration("limit", p.config.RemoteMaxAge))
		return
	}
	p.config.Logger.Info("the view and the lease are confirmed again; VMs of other data centres are used")
}
