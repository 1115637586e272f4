package wigeonshard

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeoninterference"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

const (
	// tailWindow is the time that a tail in the report of a worker covers.
	tailWindow = 500 * time.Millisecond
	// throttleDelay is the time in which a throttle takes effect on a worker that has received it.
	throttleDelay = 100 * time.Millisecond
	// settleTime is the time after a change of what runs on a worker from which on a tail covers no time before it.
	settleTime = tailWindow + throttleDelay
	// interferenceInterval is the time between two looks at old evidence.
	interferenceInterval = time.Second
	// maxPairLines bounds the log lines about pairs in pairLinesInterval.
	maxPairLines      = 20
	pairLinesInterval = 10 * time.Second
)

// interference is what an owner has learned of best-effort tasks that slow down serving tasks on their worker, by pairs of
// images. A suspicion only changes the order in which workers are chosen and which runs are slowed down first. The zero value has
// learned nothing.
type interference struct {
	wigeoninterference.Model
	// neighbours counts the best-effort runs with an image. Nothing is observed while there are none.
	neighbours int
	lastDecay  time.Duration
	// exposures is reused by exposuresOn.
	exposures []wigeoninterference.Neighbour
	// lines counts the log lines since linesSince.
	lines      int
	linesSince time.Duration
}

// workerNeighbours is what concerns the best-effort runs on a worker.
type workerNeighbours struct {
	// targeted is the state of throttling that concerns the runs of one image.
	targeted targetedThrottle
	// ended is set when a run has ended, until the next answer sets endedAt.
	ended   bool
	endedAt time.Duration
}

// stepInterference is the view of the owner's interference from a step.
type stepInterference struct {
	*interference
	// partners holds the suspected pairs of the image as of partnersVersion.
	partners        []partner
	partnersVersion uint64
}

// interferenceOf returns the view from a step about whose tasks something is learned: best-effort and serving tasks with an image.
// It returns nil for others.
func (o *Owner) interferenceOf(s *wigeonjob.Step) *stepInterference {
	serving := s.LongRunning && s.Target > 0
	if s.Image != "" && (s.BestEffort || serving) {
		return &stepInterference{interference: &o.interference}
	}
	return nil
}

func (i *interference) attached(r *run) {
	if r.task.step.BestEffort && r.task.step.interference != nil {
		i.neighbours++
	}
}

func (i *interference) detached(r *run) {
	if r.task.step.BestEffort && r.task.step.interference != nil {
		i.neighbours--
	}
}

// observeTails learns from the tails of the serving tasks in the answer of a worker. A tail counts only if it covers no change of
// what runs beside the task and no time that an earlier one covered.
func (o *Owner) observeTails(now Timestamp, w *worker) {
	if n := w.neighbours; n != nil && n.ended {
		n.ended, n.endedAt = false, now.Steady
	}
	if o.interference.neighbours == 0 || w.unexpected > 0 {
		return
	}
	// The worker answered at this time or later.
	at := w.seenAt
	var neighbours []wigeoninterference.Neighbour
	known := false
	for _, r := range w.runs {
		if !r.observable(at) {
			continue
		}
		if !known {
			if neighbours, known = o.exposuresOn(w, at); !known {
				return
			}
		}
		r.observedAt = at
		o.interference.Observe(wigeoninterference.Observation{At: at, Worker: w.ID, Victim: r.task.step.Image, Tail: r.tailLatency, Neighbours: neighbours})
	}
	o.recordPairChanges(now)
}

// observable reports whether the tail of a run tells something: that of a serving task with an image which covers only time in
// which the task was ready, and none that an earlier one covered.
func (r *run) observable(at time.Duration) bool {
	s := r.task.step
	return s.interference != nil && !s.BestEffort && r.tailLatency > 0 && r.serving() && at-r.observedAt >= tailWindow && at-r.progressedAt >= tailWindow
}

// exposuresOn returns the images of the best-effort runs on the worker with their exposures. ok is false when these may have
// changed in the time that a tail covers which was reported at the given time, or are not known.
func (o *Owner) exposuresOn(w *worker, at time.Duration) (exposures []wigeoninterference.Neighbour, ok bool) {
	if n := w.neighbours; n != nil && n.endedAt != 0 && at-n.endedAt < settleTime {
		return nil, false
	}
	exposures = o.interference.exposures[:0]
	for _, r := range w.runs {
		if !r.task.step.BestEffort || r.unsent() {
			continue
		}
		if !r.settled(at) {
			return nil, false
		}
		image := r.task.step.Image
		i := slices.IndexFunc(exposures, func(n wigeoninterference.Neighbour) bool { return n.Image == image })
		if i < 0 {
			i, exposures = len(exposures), append(exposures, wigeoninterference.Neighbour{Image: image})
		}
		exposures[i].Exposure += float64(r.speed) / fullSpeed
	}
	o.interference.exposures = exposures
	return exposures, true
}

// settled reports whether a best-effort run with an image has run at its speed for the whole time that a tail covers which was
// reported at the given time.
func (r *run) settled(at time.Duration) bool {
	return r.task.step.Image != "" && r.phase == runAccepted && r.speed == r.sentSpeed && r.speedSince >= 0 &&
		at-max(r.startKnownAt, r.speedSince) >= settleTime
}

// decayInterference lets old evidence lose weight.
func (o *Owner) decayInterference(now Timestamp) {
	i := &o.interference
	if i.Empty() || now.Steady-i.lastDecay < interferenceInterval {
		return
	}
	i.lastDecay = now.Steady
	i.Decay(now.Steady)
	o.recordPairChanges(now)
}

// recordPairChanges records the pairs that are suspected from now on, and those that are no longer.
func (o *Owner) recordPairChanges(now Timestamp) {
	i := &o.interference
	for _, change := range i.TakeChanges() {
		if now.Steady-i.linesSince >= pairLinesInterval {
			i.lines, i.linesSince = 0, now.Steady
		}
		if i.lines++; i.lines > maxPairLines {
			continue
		}
		event := "interference_cleared"
		if change.Suspected {
			event = "interference_suspected"
		}
		o.out.Decisions = append(o.out.Decisions, Decision{Event: event, Cause: describeEffect(change.Effect)})
	}
}

// describeEffect describes a pair in a few words. Clients choose the names of images.
func describeEffect(e wigeoninterference.Effect) string {
	return fmt.Sprintf("best-effort tasks of image %.64q multiply the tails of image %.64q by %.2f (confidence %.3f, evidence from %d workers)",
		e.Neighbour, e.Victim, e.Slowdown, e.Confidence, e.Workers)
}

// InterferencePairs returns the number of pairs of images about which there is evidence, and of those that are suspected.
func (o *Owner) InterferencePairs() (known, suspected int) { return o.interference.PairCounts() }

// partner is an image whose tasks make a suspected pair with those of a step.
type partner struct {
	image wigeonstep.ImageName
	// percent is the slowdown by the pair, in percent.
	percent int
}

// suspectedPartners returns the partners of the step.
func (s *step) suspectedPartners() []partner {
	i := s.interference
	if i == nil {
		return nil
	}
	if version := i.Version(); i.partnersVersion != version {
		i.partnersVersion, i.partners = version, i.partners[:0]
		for _, e := range s.pairs() {
			other := e.Neighbour
			if s.BestEffort {
				other = e.Victim
			}
			i.partners = append(i.partners, partner{image: other, percent: int(math.Round((e.Slowdown - 1) * 100))})
		}
	}
	return i.partners
}

// pairs returns the suspected pairs in which the tasks of the step are the victims or, for best-effort tasks, the neighbours.
func (s *step) pairs() []wigeoninterference.Effect {
	return slices.DeleteFunc(s.interference.Suspected(s.Image), func(e wigeoninterference.Effect) bool {
		return s.BestEffort && e.Neighbour != s.Image || !s.BestEffort && e.Victim != s.Image
	})
}

// slowdownOn returns the sum of the slowdowns, in percent, by the suspected pairs that a task of the step would make on the worker.
func (s *step) slowdownOn(w *worker) int {
	partners := s.suspectedPartners()
	if len(partners) == 0 || !s.BestEffort && w.bestEffort == 0 {
		return 0
	}
	sum := 0
	for _, r := range w.runs {
		other := r.task.step
		if other.interference == nil || other.BestEffort == s.BestEffort || r.stopping {
			continue
		}
		for _, p := range partners {
			if p.image == other.Image {
				sum += p.percent
			}
		}
	}
	return sum
}

// maxNamedJobs bounds the jobs that explain names for one pair.
const maxNamedJobs = 3

// explainPairs says which tasks those of a step are kept apart from, and why.
func (o *Owner) explainPairs(s *step) []string {
	if s.interference == nil || s.closed() {
		return nil
	}
	var parts []string
	for _, e := range s.pairs() {
		other, bestEffort := e.Neighbour, true
		if s.BestEffort {
			other, bestEffort = e.Victim, false
		}
		parts = append(parts, fmt.Sprintf("step %d.%d is kept apart, where there is room, from the tasks of %s, because %s",
			s.occurrence.number, s.number, o.jobsWithImage(other, bestEffort), describeEffect(e)))
	}
	return parts
}

// jobsWithImage names the jobs with open best-effort or serving steps of an image.
func (o *Owner) jobsWithImage(image wigeonstep.ImageName, bestEffort bool) string {
	var named []string
	more := 0
	last := wigeonstep.JobID("")
	for _, list := range []*openSteps{&o.longRunningSteps, &o.finiteSteps} {
		for e := range list.all() {
			if e.interference == nil || e.Image != image || e.BestEffort != bestEffort || e.closed() || e.job.ID == last {
				continue
			}
			last = e.job.ID
			if len(named) < maxNamedJobs {
				named = append(named, string(e.job.ID))
			} else {
				more++
			}
		}
	}
	switch {
	case len(named) == 0:
		return "no present job"
	case more > 0:
		return fmt.Sprintf("the jobs %s and %d more", strings.Join(named, ", "), more)
	}
	return "the jobs " + strings.Join(named, ", ")
}
