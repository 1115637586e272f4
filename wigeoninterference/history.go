package wigeoninterference

import (
	"math"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// halfLife is the time in which evidence loses half of its weight.
const halfLife = 20 * time.Second

// remaining returns the share of its weight that evidence has left after some time.
func remaining(age time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}

// history holds the decayed sums over the reports of a worker about tasks of an image, as of the time at: their weight, and what of
// their deviation the known effects of the neighbours don't explain. It says how the image behaved on the worker before a
// neighbour came there. The zero value is that of a worker without reports.
type history struct {
	worker   wigeonstep.WorkerID
	at       time.Duration
	n, y, yy float64
}

func (h *history) decay(now time.Duration) {
	left := remaining(now - h.at)
	h.at = max(now, h.at)
	h.n, h.y, h.yy = h.n*left, h.y*left, h.yy*left
}

// historyOf returns the history of the image on a worker.
func (v *image) historyOf(worker wigeonstep.WorkerID) history {
	for _, h := range v.histories {
		if h.worker == worker {
			return h
		}
	}
	return history{worker: worker}
}

// addToHistory adds a report of a worker, unless there are maxHistories of other workers.
func (v *image) addToHistory(now time.Duration, worker wigeonstep.WorkerID, unexplained float64) {
	i := slices.IndexFunc(v.histories, func(h history) bool { return h.worker == worker })
	if i < 0 {
		if len(v.histories) == maxHistories {
			return
		}
		i, v.histories = len(v.histories), append(v.histories, history{worker: worker, at: now})
	}
	h := &v.histories[i]
	h.decay(now)
	h.n += observationWeight
	h.y += observationWeight * unexplained
	h.yy += observationWeight * unexplained * unexplained
}
