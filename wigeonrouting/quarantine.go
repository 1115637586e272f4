package wigeonrouting

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

const (
	// failThreshold is the failure rate above which a server is quarantined, if it has at least failMinResults results.
	failThreshold  = 0.5
	failMinResults = 5
	// failDecay is the weight of the newest result in the failure rate.
	failDecay = 0.2
	// slowThreshold is the ratio of a server's latency to that of the pool above which the server is quarantined, if it has at
	// least speedMinResults results. With exponential run times, the decayed mean of the logarithm has a standard deviation of
	// 0.3, so the threshold is more than four standard deviations.
	slowThreshold   = 4.0
	speedMinResults = 10
	// speedDecay and poolSpeedDecay are the weights of the newest latency in the slowness of a server and of the pool.
	speedDecay     = 0.1
	poolSpeedDecay = 0.01
	// minProbeDelay and maxProbeDelay bound the delay before a probe of a quarantined server, which doubles with each failed
	// probe.
	minProbeDelay = time.Second
	maxProbeDelay = 60 * time.Second
	// noProbeGrace is the time by which a probe must be overdue before a request with NoProbe is used for it.
	noProbeGrace = 10 * time.Second
	// probesPerPick bounds the number of due probes that one Pick examines.
	probesPerPick = 4
	// severityGap is the difference in severity above which a server replaces the one with the lowest severity in a full
	// quarantine.
	severityGap = 0.1
)

// Quarantine is the state of one quarantined server.
type Quarantine struct {
	VM wigeonstep.VMID
	// Cause is the reason for the quarantine, with its figures, in one sentence.
	Cause string
	Since time.Time
	// NextProbe is the time from which one request may probe the server.
	NextProbe time.Time
}

// quarantineState is the quarantine-related state of a server.
type quarantineState struct {
	active bool
	// probing is set while a probe is in flight.
	probing bool
	cause   string
	since   time.Time
	// releasedAt is the time at which a successful probe ended the last quarantine. If the server is quarantined again within
	// maxProbeDelay of it, its probe delay doubles instead of starting at minProbeDelay.
	releasedAt time.Time
	nextProbe  time.Time
	// delay is the current probe delay, before jitter.
	delay time.Duration
	// severity ranks the quarantined servers: above 1 for failures, below 1 for slowness.
	severity float64
	// index is the position in Picker.quarantined, or -1 if the server is not quarantined.
	index int
}

// observeResult adds a result to the failure rate. failure is 1 for a failure and 0 for a success.
func (s *server) observeResult(failure float64) {
	s.failRate += (failure - s.failRate) * failDecay
	s.results = min(s.results+1, failMinResults)
}

// observeSpeed adds the logarithm of latency divided by expected to the slowness of the server and of the pool. The logarithm
// limits the influence of a single long run.
func (p *Picker) observeSpeed(s *server, latency, expected time.Duration) {
	x := math.Log(latency.Seconds() / expected.Seconds())
	s.slowness += (x - s.slowness) * max(speedDecay, 1/float64(s.speedResults+1))
	s.speedResults++
	p.slowness += (x - p.slowness) * poolSpeedDecay
}

// slow reports whether the server is slower than the pool by more than slowThreshold.
func (s *server) slow(poolSlowness float64) bool {
	return s.speedResults >= speedMinResults && s.slowness-poolSlowness > math.Log(slowThreshold)
}

// quarantineIfUnhealthy quarantines the server if its failure rate or its latency exceeds the threshold.
func (p *Picker) quarantineIfUnhealthy(now time.Time, s *server) {
	if s.quarantine.active || !s.listed || !s.InService {
		return
	}
	switch {
	case s.results >= failMinResults && s.failRate > failThreshold:
		p.enterQuarantine(now, s, 1+s.failRate, "failure_rate",
			fmt.Sprintf("failure rate %.2f is above %.2f over at least %d results", s.failRate, failThreshold, failMinResults))
	case s.slow(p.slowness):
		p.enterQuarantine(now, s, min((s.slowness-p.slowness)/10, 0.99), "latency",
			fmt.Sprintf("latency is %.1f times that of the pool, above %.1f", math.Exp(s.slowness-p.slowness), slowThreshold))
	}
}

// quota returns the maximum number of quarantined servers: a quarter of the servers in service, or the budget if it is set and
// lower.
func (p *Picker) quota() int {
	quota := p.inService / 4
	if p.budget > 0 {
		quota = min(quota, p.budget)
	}
	return quota
}

// enterQuarantine excludes the server from selection. If the quarantine is full, the server replaces the one with the lowest
// severity if its own severity is higher by more than severityGap. Otherwise it stays in use, since with that many unhealthy
// servers the fault is more likely that of the whole pool.
func (p *Picker) enterQuarantine(now time.Time, s *server, severity float64, rule, cause string) {
	if quota := p.quota(); len(p.quarantined) >= quota {
		if quota == 0 || p.quarantined[0].quarantine.severity+severityGap >= severity {
			return
		}
		mildest := p.quarantined[0]
		p.endQuarantine(mildest)
		p.recordDecision(now, mildest, "release", "a worse server takes its place in the quarantine of "+fmt.Sprint(quota), "worst_first", "")
	}
	q := &s.quarantine
	if !q.releasedAt.IsZero() && now.Sub(q.releasedAt) < maxProbeDelay {
		q.delay = min(2*q.delay, maxProbeDelay)
	} else {
		q.delay = minProbeDelay
	}
	q.active, q.probing, q.severity, q.cause, q.since = true, false, severity, cause, now
	heap.Push(&p.quarantined, s)
	p.scheduleProbe(now, s)
	p.updateSets(s)
	p.recordDecision(now, s, "quarantine", cause, rule, fmt.Sprintf("quarantined=%d in_service=%d", len(p.quarantined), p.inService))
}

// scheduleProbe starts the timer for the next probe of the server, after its jittered delay.
func (p *Picker) scheduleProbe(now time.Time, s *server) {
	s.quarantine.nextProbe = now.Add(p.jitter(s.quarantine.delay))
	p.startTimer(s, s.quarantine.nextProbe, timerProbe)
}

// takeProbe returns a quarantined server whose probe is due and for which the request may be used, or nil.
func (p *Picker) takeProbe(now time.Time, options PickOptions) *server {
	for range min(len(p.probes), probesPerPick) {
		s := p.probes[0]
		p.probes = p.probes[1:]
		if !s.quarantine.active || s.quarantine.probing || s.quarantine.nextProbe.After(now) {
			// The entry is outdated: since the probe became due, the quarantine has ended or another probe was sent or scheduled.
			continue
		}
		if s.listed && s.InService && !s.leaving && !slices.Contains(options.Exclude, s.VM) &&
			(!options.LocalOnly || s.DataCentre == p.config.DataCentre) &&
			(!options.NoProbe || now.Sub(s.quarantine.nextProbe) >= noProbeGrace) {
			s.quarantine.probing = true
			return s
		}
		p.probes = append(p.probes, s)
	}
	return nil
}

// endProbe records the result of a probe. A good one ends the quarantine and resets the statistics of the server, whose limit
// starts at 1; a bad one doubles the delay before the next probe.
func (p *Picker) endProbe(now time.Time, s *server, good bool) {
	q := &s.quarantine
	if good {
		p.endQuarantine(s)
		q.releasedAt = now
		s.failRate, s.results, s.slowness, s.speedResults = 0, 0, 0, 0
		s.limit = 1
		p.recordDecision(now, s, "release", "a probe succeeded", "probe", "")
		return
	}
	q.probing = false
	q.delay = min(2*q.delay, maxProbeDelay)
	p.scheduleProbe(now, s)
}

// endQuarantine makes the server selectable again. It does nothing if the server is not quarantined.
func (p *Picker) endQuarantine(s *server) {
	if !s.quarantine.active {
		return
	}
	heap.Remove(&p.quarantined, s.quarantine.index)
	s.quarantine.active, s.quarantine.probing = false, false
	p.updateSets(s)
}

// trimQuarantine ends the quarantine of servers that are not in service, and then of those with the lowest severity until the
// quota is met.
func (p *Picker) trimQuarantine(now time.Time) {
	for _, s := range p.listed {
		if !s.InService {
			p.endQuarantine(s)
		}
	}
	for quota := p.quota(); len(p.quarantined) > quota; {
		s := p.quarantined[0]
		p.endQuarantine(s)
		p.recordDecision(now, s, "release", "the quarantine may hold fewer servers", "quota", fmt.Sprintf("quota=%d", quota))
	}
}

// Quarantined returns the quarantined servers, sorted by VM id.
func (p *Picker) Quarantined() []Quarantine {
	list := make([]Quarantine, 0, len(p.quarantined))
	for _, s := range p.quarantined {
		list = append(list, Quarantine{VM: s.VM, Cause: s.quarantine.cause, Since: s.quarantine.since, NextProbe: s.quarantine.nextProbe})
	}
	slices.SortFunc(list, func(a, b Quarantine) int { return cmp.Compare(a.VM, b.VM) })
	return list
}

// Decision is one decision about a server, as reported by explain.
type Decision struct {
	At time.Time
	VM wigeonstep.VMID
	// Action is "quarantine", "release" or "leave".
	Action  string
	Cause   string
	Rule    string
	Figures string
}

// maxDecisions bounds the number of decisions kept for the next call of Decisions. The oldest ones are dropped.
const maxDecisions = 50

func (p *Picker) recordDecision(now time.Time, s *server, action, cause, rule, figures string) {
	if len(p.decisions) == maxDecisions {
		p.decisions = slices.Delete(p.decisions, 0, 1)
	}
	p.decisions = append(p.decisions, Decision{At: now, VM: s.VM, Action: action, Cause: cause, Rule: rule, Figures: figures})
}

// Decisions returns the decisions since the last call, at most the newest maxDecisions.
func (p *Picker) Decisions() []Decision {
	decisions := p.decisions
	p.decisions = nil
	return decisions
}

// quarantineHeap is a min-heap of quarantined servers by severity.
type quarantineHeap []*server

func (h quarantineHeap) Len() int { return len(h) }

func (h quarantineHeap) Less(i, j int) bool {
	return h[i].quarantine.severity < h[j].quarantine.severity
}

func (h quarantineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].quarantine.index, h[j].quarantine.index = i, j
}

// Push appends a server and records its heap position.
func (h *quarantineHeap) Push(x any) {
	s := x.(*server)
	s.quarantine.index = len(*h)
	*h = append(*h, s)
}

// Pop removes and returns the last server.
func (h *quarantineHeap) Pop() any {
	last := len(*h) - 1
	s := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	s.quarantine.index = -1
	return s
}
