package wigeonshard

import (
	"errors"
	"math"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

const (
	// slowDownShare and speedUpShare are shares of the target response time: best-effort runs are slowed down while the
	// tail of a serving task on their worker is above the first, and sped up while all tails are below the second.
	slowDownShare = 0.75
	speedUpShare  = 0.5
	// slowDownPause and speedUpPause are the minimum times since the last change. The tails that a worker reports cover half
	// a second, so an earlier change would act on figures from before the last one.
	slowDownPause = 500 * time.Millisecond
	speedUpPause  = 900 * time.Millisecond
	// speedStep is the increase of the speed in one adjustment, in percent of the full speed.
	speedStep = 15
	fullSpeed = 100
)

// adjustThrottle slows down the best-effort runs on a worker while the tail latency of a serving task there is above
// slowDownShare of its target, and raises their speed by speedStep while that of every serving task is below speedUpShare.
func (o *Owner) adjustThrottle(now Timestamp, w *worker) {
	if w.bestEffort == 0 {
		return
	}
	worst, slowest := w.worstTail()
	if worst <= slowDownShare && w.neighbours.targeted.image != "" && now.Steady-w.speedChangedAt >= slowDownPause {
		o.speedUpOthers(now, w)
	}
	switch {
	case worst > slowDownShare && now.Steady-w.speedChangedAt >= slowDownPause:
		o.slowDown(now, w, worst, slowest)
	case worst < speedUpShare && now.Steady-w.speedChangedAt >= speedUpPause:
		o.setSpeed(now, w, func(r *run) int { return min(r.speed+speedStep, fullSpeed) })
	}
}

// worstTail returns the highest tail latency of a serving task on the worker, as a share of its target, and the run with it; nil
// when there is none.
func (w *worker) worstTail() (worst float64, slowest *run) {
	for _, r := range w.runs {
		if share := r.tailShare(); share > worst {
			worst, slowest = share, r
		}
	}
	return worst, slowest
}

// tailShare returns the tail latency of a run as a share of its target; 0 if it is not serving.
func (r *run) tailShare() float64 {
	s := r.task.step
	if s.Target <= 0 || s.BestEffort || !r.serving() {
		return 0
	}
	return float64(r.tailLatency) / float64(s.Target)
}

// targetedPause is the minimum time between two adjustments on a worker that are targeted at one image. A serving task is harmed by
// 4.5 s over its target without a break, so a wrong suspicion delays at most one adjustment of that time.
const targetedPause = 5 * time.Second

// targetedThrottle is the state of a worker on which the runs of one image are slowed down more than the others.
type targetedThrottle struct {
	// image is that of the runs at which the last adjustment was targeted, until the tails are low and the other runs have their
	// speed back; empty otherwise.
	image wigeonstep.ImageName
	// halved is set if that adjustment halved the speed of the other runs.
	halved bool
	// nextAt is the earliest time of the next such adjustment.
	nextAt time.Duration
}

// slowDown slows down the best-effort runs on a worker whose slowest serving run has the tail worst, as a share of its target. If
// the image that disturbs that run most is known and the estimate says that slowing it down suffices, only its runs are slowed
// down. While the tail is above the target the speed of the others is halved all the same, and raised again when the tail is low.
// Without such an image all speeds are halved. From the second adjustment in a row on no speed is above that of halving all each
// time.
func (o *Owner) slowDown(now Timestamp, w *worker, worst float64, slowest *run) {
	t := &w.neighbours.targeted
	if failed, halved := t.image, t.halved; failed != "" {
		t.image = ""
		o.setSpeed(now, w, func(r *run) int {
			if halved || r.task.step.Image == failed {
				return r.speed / 2
			}
			return r.speed / 4
		})
		return
	}
	image, share, found := wigeonstep.ImageName(""), 0.0, false
	if now.Steady >= t.nextAt {
		image, share, found = o.findDisturber(w, worst, slowest)
	}
	if !found {
		o.setSpeed(now, w, func(r *run) int { return r.speed / 2 })
		return
	}
	*t = targetedThrottle{image: image, halved: worst > 1, nextAt: now.Steady + targetedPause}
	o.setSpeed(now, w, func(r *run) int {
		switch {
		case r.task.step.Image == image:
			return int(float64(r.speed) * share)
		case t.halved:
			return r.speed / 2
		}
		return r.speed
	})
}

// speedUpOthers raises the speed of the runs that a targeted adjustment halved besides, now that all tails are low, and ends the
// adjustment when none is left.
func (o *Owner) speedUpOthers(now Timestamp, w *worker) {
	t := &w.neighbours.targeted
	slowed := func(r *run) bool {
		return r.task.step.BestEffort && r.task.step.Image != t.image && r.speed < fullSpeed
	}
	if !t.halved || !slices.ContainsFunc(w.runs, slowed) {
		t.image = ""
		return
	}
	o.setSpeed(now, w, func(r *run) int {
		if slowed(r) {
			return min(r.speed+speedStep, fullSpeed)
		}
		return r.speed
	})
}

// sufficientShare is the share of its target to which the tail of the slowest run is to fall when one image is slowed down alone.
const sufficientShare = (slowDownShare + speedUpShare) / 2

// findDisturber returns the image whose runs on the worker slow the slowest run down most, and the share of their speed, at most
// one half, with which its tail is expected to be at sufficientShare of its target. ok is false when no such image is suspected,
// when the tail would be higher, or when a task of another image is slow as well.
func (o *Owner) findDisturber(w *worker, worst float64, slowest *run) (image wigeonstep.ImageName, share float64, ok bool) {
	victim := slowest.task.step.Image
	most := 0.0
	for _, e := range o.interference.Suspected(victim) {
		if effect := math.Log(e.Slowdown) * w.exposureTo(e.Neighbour); e.Victim == victim && effect > most {
			image, most = e.Neighbour, effect
		}
	}
	excess := math.Log(worst / sufficientShare)
	if excess > most {
		return "", 0, false
	}
	for _, r := range w.runs {
		if r.task.step.Image != victim && r.tailShare() > slowDownShare {
			return "", 0, false
		}
	}
	return image, min(1-excess/most, 0.5), true
}

// exposureTo returns the sum of the speeds of the best-effort runs of an image on the worker, 1 for one run at full speed.
func (w *worker) exposureTo(image wigeonstep.ImageName) float64 {
	sum := 0
	for _, r := range w.runs {
		if r.task.step.BestEffort && r.task.step.Image == image && !r.unsent() {
			sum += r.speed
		}
	}
	return float64(sum) / fullSpeed
}

// setSpeed sets the speed of each best-effort run on the worker.
func (o *Owner) setSpeed(now Timestamp, w *worker, speed func(*run) int) {
	w.speedChangedAt = now.Steady
	for _, r := range w.runs {
		if r.task.step.BestEffort {
			r.speed = speed(r)
		}
	}
}

// ThrottleAnswered applies the answer to a throttle; one that failed is sent again after throttleRetryDelay.
func (o *Owner) ThrottleAnswered(now Timestamp, sent Throttle, err error) {
	w := o.workers[sent.Worker.ID]
	if w == nil {
		return
	}
	w.ordersInFlight--
	w.settled = false
	if errors.Is(err, wigeonstep.ErrFenced) && o.fencedByNewerOwner(sent.Worker.ID, sent.Fence) {
		o.deposed = true
		return
	}
	r := w.findRun(sent.Run)
	switch {
	case r == nil:
	case err != nil:
		r.sentSpeed = -1
		r.throttleRetryAt = now.Steady + throttleRetryDelay
	case r.sentSpeed == sent.Percent:
		r.speedSince = now.Steady
	}
}
