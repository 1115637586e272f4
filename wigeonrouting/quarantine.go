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
	// failThreshold and failMinResults are the failure rate and the number of results that put a server into quarantine.
	failThreshold  = 0.5
	failMinResults = 5
	// failDecay is the weight of the newest result.
	failDecay = 0.2
	// slowThreshold is how much slower than the pool a server must be, and speedMinResults how often seen. With exponential run
	// times the decayed mean of the logarithm has a deviation of 0.3, so four times is more than four deviations.
	slowThreshold   = 4.0
	speedMinResults = 10
	speedDecay      = 0.1
	poolSpeedDecay  = 0.01
	// firstProbe and longestProbe bound the delay before a quarantined server is tried, which doubles with each failed probe.
	firstProbe   = time.Second
	longestProbe = 60 * time.Second
	// noProbeGrace is how long a due probe waits for a request that may run twice.
	noProbeGrace = 10 * time.Second
	// probesPerPick bounds the due probes that one request looks at.
	probesPerPick = 4
	// severityGap is how much worse a server must be to take the place of another in a full quarantine.
	severityGap = 0.1
)

// Quarantine is the state of one quarantined server.
type Quarantine struct {
	VM wigeonstep.VMID
	// Cause is one sentence with the figures behind the quarantine.
	Cause string
	Since time.Time
	// NextProbe is when one request may try the server again.
	NextProbe time.Time
}

// quarantineState is the part of a server's state that belongs to its quarantine.
type quarantineState struct {
	active  bool
	probing bool
	cause   string
	since   time.Time
	// released is when the last quarantine ended well; a server that fails again soon waits longer.
	released  time.Time
	nextProbe time.Time
	delay     time.Duration
	severity  float64
	// index is the place in the heap, -1 when not quarantined.
	index int
}

// observe counts a result, 1 for a failure and 0 for a success.
func (s *server) observe(failure float64) {
	s.failRate += (failure - s.failRate) * failDecay
	s.results = min(s.results+1, failMinResults)
}

// observeSpeed compares the latency with what the class takes on the whole pool. The logarithm keeps one long run from deciding.
func (p *Picker) observeSpeed(s *server, latency, expected time.Duration) {
	x := math.Log(latency.Seconds() / expected.Seconds())
	s.slowness += (x - s.slowness) * max(speedDecay, 1/float64(s.speeds+1))
	s.speeds++
	p.slowness += (x - p.slowness) * poolSpeedDecay
}

// slow reports whether the server is much slower than the pool.
func (s *server) slow(poolSlowness float64) bool {
	return s.speeds >= speedMinResults && s.slowness-poolSlowness > math.Log(slowThreshold)
}

// judge quarantines the server if its results ask for it.
func (p *Picker) judge(now time.Time, s *server) {
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

// quota returns how many servers may be in quarantine at once.
func (p *Picker) quota() int {
	quota := p.inService / 4
	if p.budget > 0 {
		quota = min(quota, p.budget)
	}
	return quota
}

// enterQuarantine takes the server out of selection. When the quarantine is full, the server takes the place of a clearly better
// one; otherwise it stays in use, since the fault is then more likely that of the pool.
func (p *Picker) enterQuarantine(now time.Time, s *server, severity float64, rule, cause string) {
	if quota := p.quota(); len(p.quarantined) >= quota {
		if quota == 0 || p.quarantined[0].quarantine.severity+severityGap >= severity {
			return
		}
		mildest := p.quarantined[0]
		p.endQuarantine(mildest)
		p.decide(now, mildest, "release", "a worse server takes its place in the quarantine of "+fmt.Sprint(quota), "worst_first", "")
	}
	q := &s.quarantine
	if !q.released.IsZero() && now.Sub(q.released) < longestProbe {
		q.delay = min(2*q.delay, longestProbe)
	} else {
		q.delay = firstProbe
	}
	q.active, q.probing, q.severity, q.cause, q.since = true, false, severity, cause, now
	heap.Push(&p.quarantined, s)
	p.scheduleProbe(now, s)
	p.update(s)
	p.decide(now, s, "quarantine", cause, rule, fmt.Sprintf("quarantined=%d in_service=%d", len(p.quarantined), p.inService))
}

func (p *Picker) scheduleProbe(now time.Time, s *server) {
	s.quarantine.nextProbe = now.Add(p.jitter(s.quarantine.delay))
	p.after(s, s.quarantine.nextProbe, timerProbe)
}

// takeProbe returns a quarantined server that the request may probe.
func (p *Picker) takeProbe(now time.Time, want Want) *server {
	for range min(len(p.probes), probesPerPick) {
		s := p.probes[0]
		p.probes = p.probes[1:]
		if !s.quarantine.active || s.quarantine.probing || s.quarantine.nextProbe.After(now) {
			// The quarantine has ended since the probe fell due.
			continue
		}
		if s.listed && s.InService && !s.leaving && !slices.Contains(want.Exclude, s.VM) &&
			(!want.LocalOnly || s.DataCentre == p.config.DataCentre) &&
			(!want.NoProbe || now.Sub(s.quarantine.nextProbe) >= noProbeGrace) {
			s.quarantine.probing = true
			return s
		}
		p.probes = append(p.probes, s)
	}
	return nil
}

// probed ends a probe.
func (p *Picker) probed(now time.Time, s *server, good bool) {
	q := &s.quarantine
	if good {
		p.endQuarantine(s)
		q.released = now
		s.failRate, s.results, s.slowness, s.speeds = 0, 0, 0, 0
		s.limit = 1
		p.decide(now, s, "release", "a probe succeeded", "probe", "")
		return
	}
	q.probing = false
	q.delay = min(2*q.delay, longestProbe)
	p.scheduleProbe(now, s)
}

// endQuarantine puts the server back into selection.
func (p *Picker) endQuarantine(s *server) {
	if !s.quarantine.active {
		return
	}
	heap.Remove(&p.quarantined, s.quarantine.index)
	s.quarantine.active, s.quarantine.probing = false, false
	p.update(s)
}

// trimQuarantine releases the mildest servers when the pool or its budget has become smaller, and those that left the service.
func (p *Picker) trimQuarantine(now time.Time) {
	for _, s := range p.listed {
		if !s.InService {
			p.endQuarantine(s)
		}
	}
	for quota := p.quota(); len(p.quarantined) > quota; {
		s := p.quarantined[0]
		p.endQuarantine(s)
		p.decide(now, s, "release", "the quarantine may hold fewer servers", "quota", fmt.Sprintf("quota=%d", quota))
	}
}

// Quarantined returns the quarantined servers, in the order of their ids.
func (p *Picker) Quarantined() []Quarantine {
	list := make([]Quarantine, 0, len(p.quarantined))
	for _, s := range p.quarantined {
		list = append(list, Quarantine{VM: s.VM, Cause: s.quarantine.cause, Since: s.quarantine.since, NextProbe: s.quarantine.nextProbe})
	}
	slices.SortFunc(list, func(a, b Quarantine) int { return cmp.Compare(a.VM, b.VM) })
	return list
}

// Decision is one decision about a server, for explain.
type Decision struct {
	At time.Time
	VM wigeonstep.VMID
	// Action is quarantine, release or leave.
	Action  string
	Cause   string
	Rule    string
	Figures string
}

// maxDecisions bounds the decisions that wait for Decisions.
const maxDecisions = 50

func (p *Picker) decide(now time.Time, s *server, action, cause, rule, figures string) {
	if len(p.decisions) == maxDecisions {
		p.decisions = slices.Delete(p.decisions, 0, 1)
	}
	p.decisions = append(p.decisions, Decision{At: now, VM: s.VM, Action: action, Cause: cause, Rule: rule, Figures: figures})
}

// Decisions returns the decisions since the last call, at most the newest fifty.
func (p *Picker) Decisions() []Decision {
	decisions := p.decisions
	p.decisions = nil
	return decisions
}

// quarantineHeap has the mildest quarantined server first.
type quarantineHeap []*server

func (h quarantineHeap) Len() int { return len(h) }

func (h quarantineHeap) Less(i, j int) bool {
	return h[i].quarantine.severity < h[j].quarantine.severity
}

func (h quarantineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].quarantine.index, h[j].quarantine.index = i, j
}

// Push implements heap.Interface.
func (h *quarantineHeap) Push(x any) {
	s := x.(*server)
	s.quarantine.index = len(*h)
	*h = append(*h, s)
}

// Pop implements heap.Interface.
func (h *quarantineHeap) Pop() any {
	last := len(*h) - 1
	s := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	s.quarantine.index = -1
	return s
}
