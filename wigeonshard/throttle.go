package wigeonshard

import (
	"errors"
	"math"
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
	if worst <= slowDownShare {
		w.targeted.image = ""
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

// targetedPause is the minimum time between two adjustments on a worker that slow down the runs of one image alone. A serving
// task is harmed by 4.5 s over its target without a break, so at most one adjustment of that time is lost to a wrong suspicion.
const targetedPause = 5 * time.Second

// targetedThrottle is the state of a worker on which the runs of one image are slowed down alone.
type targetedThrottle struct {
	// image is that of the runs that the last adjustment slowed down alone, as long as no tail has been low again; empty
	// otherwise.
	image wigeonstep.ImageName
	// nextAt is the earliest time of the next such adjustment.
	nextAt time.Duration
}

// slowDown slows down the runs of the image that disturbs the slowest run most, if it is known and the estimate says that this
// suffices, and halves the speed of all best-effort runs otherwise. If slowing down one image did not suffice, the others are put
// where halving twice would have put them.
func (o *Owner) slowDown(now Timestamp, w *worker, worst float64, slowest *run) {
	if failed := w.targeted.image; failed != "" {
		w.targeted.image = ""
		o.setSpeed(now, w, func(r *run) int {
			if r.task.step.Image == failed {
				return r.speed / 2
			}
			return r.speed / 4
		})
		return
	}
	if now.Steady >= w.targeted.nextAt {
		if image, share, ok := o.findDisturber(w, worst, slowest); ok {
			w.targeted = targetedThrottle{image: image, nextAt: now.Steady + targetedPause}
			o.setSpeed(now, w, func(r *run) int {
				if r.task.step.Image == image {
					return int(float64(r.speed) * share)
				}
				return r.speed
			})
			return
		}
	}
	o.setSpeed(now, w, func(r *run) int { return r.speed / 2 })
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
	if errors.Is(err, wigeonstep.ErrFenced) {
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
