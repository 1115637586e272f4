package wigeoninterference_test

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeoninterference"
)

// scenario is a fleet with known interference.
type scenario struct {
	name string
	// slowdown is that by one run of "mill" of the tasks of "cure", and by one of "dry" of those of "press"; 1 for none. The other
	// six pairs have none.
	slowdown float64
	// noise is the standard deviation of the logarithm of a tail; half of its variance carries over to the next report.
	noise float64
	// badWorkers is the number of workers whose tails are four times as long, from the start or from 30 s on.
	badWorkers int
	// wave makes the tails on all workers up to three times as long, for 15 s of every 40 s.
	wave bool
}

var scenarios = []scenario{
	{name: "none", slowdown: 1, noise: 0.15},
	{name: "noise alone", slowdown: 1, noise: 0.6},
	{name: "bad workers", slowdown: 1, noise: 0.2, badWorkers: 2},
	{name: "load wave", slowdown: 1, noise: 0.2, wave: true},
	{name: "weak", slowdown: 1.4, noise: 0.2},
	{name: "strong", slowdown: 3, noise: 0.2},
	{name: "strong, noise", slowdown: 3, noise: 0.6},
	{name: "strong, bad workers, load wave", slowdown: 3, noise: 0.2, badWorkers: 2, wave: true},
}

var (
	victims    = []wigeonstep.ImageName{"cure", "press"}
	neighbours = []wigeonstep.ImageName{"mill", "dry", "scan", "pack"}
)

const reportInterval = 800 * time.Millisecond

// fleet is a model of workers that all run a task of each victim. Best-effort tasks start and end on them at random, and are
// throttled by the general rule of an owner.
type fleet struct {
	scenario
	*rand.Rand
	model   wigeoninterference.Model
	now     time.Duration
	workers []*fleetWorker
	// begunWrong counts the suspicions of pairs that don't interfere, including those that have ended.
	begunWrong int
}

type fleetWorker struct {
	id wigeonstep.WorkerID
	// speed holds the speed of the run of each neighbour; 0 for none.
	speed    [4]float64
	constant float64
	noise    [2]float64
}

func newFleet(s scenario, seed uint64, workers int) *fleet {
	f := &fleet{scenario: s, Rand: rand.New(rand.NewPCG(seed, 1))}
	for i := range workers {
		// The load of tasks on different workers differs.
		f.workers = append(f.workers, &fleetWorker{id: wigeonstep.WorkerID(fmt.Sprintf("w%02d", i)), constant: 0.2 * f.NormFloat64()})
	}
	return f
}

// play lets all workers report once.
func (f *fleet) play() {
	f.now += reportInterval
	f.model.Decay(f.now)
	for i, w := range f.workers {
		level := w.constant
		if i < f.badWorkers && (i == 0 || f.now > 30*time.Second) {
			level += math.Log(4)
		}
		if f.wave {
			level += math.Log(3) * max(math.Sin(2*math.Pi*f.now.Seconds()/40), 0)
		}
		at := f.now + time.Duration(i)*10*time.Millisecond
		worst := 0.0
		for v := range victims {
			w.noise[v] = math.Sqrt(0.5)*w.noise[v] + math.Sqrt(0.5)*f.noise*f.NormFloat64()
			relative := level + w.noise[v] + math.Log(f.slowdown)*w.speed[v]
			worst = max(worst, math.Exp(relative)/2.5)
			f.model.Observe(wigeoninterference.Observation{
				At: at, Worker: w.id, Victim: victims[v], Tail: time.Duration(math.Exp(relative) * float64(20*time.Millisecond)), Neighbours: w.neighbours(),
			})
		}
		f.change(w, worst)
	}
}

func (w *fleetWorker) neighbours() []wigeoninterference.Neighbour {
	var beside []wigeoninterference.Neighbour
	for n, speed := range w.speed {
		if speed > 0 {
			beside = append(beside, wigeoninterference.Neighbour{Image: neighbours[n], Exposure: speed})
		}
	}
	return beside
}

// change throttles the runs of a worker, and starts and ends some.
func (f *fleet) change(w *fleetWorker, worst float64) {
	for n, speed := range w.speed {
		switch {
		case speed == 0 && f.Float64() < 0.03:
			w.speed[n] = 1
		case speed == 0:
		case f.Float64() < 0.05:
			w.speed[n] = 0
		case worst > 0.75:
			w.speed[n] = max(speed/2, 0.01)
		case worst < 0.5:
			w.speed[n] = min(speed+0.15, 1)
		}
	}
}

// interferes reports whether the pair interferes.
func (f *fleet) interferes(e wigeoninterference.Effect) bool {
	i := slices.Index(victims, e.Victim)
	return f.slowdown > 1 && e.Neighbour == neighbours[i]
}

// found returns the numbers of suspected pairs that interfere, and of those that don't.
func (f *fleet) found() (right, wrong int) {
	for _, change := range f.model.TakeChanges() {
		if change.Suspected && !f.interferes(change.Effect) {
			f.begunWrong++
		}
	}
	_, suspected := f.model.PairCounts()
	for _, victim := range victims {
		for _, e := range f.model.Suspected(victim) {
			if f.interferes(e) {
				right++
			}
		}
	}
	return right, suspected - right
}

// Guards against a model that takes noise, a bad worker or a load wave for interference, or that does not find what interferes. The
// golden table shows precision and recall over time, on a seeded model with known interference.
func TestPrecisionAndRecall(t *testing.T) {
	const seeds, workers = 8, 12
	var out bytes.Buffer
	table := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "scenario\tseconds\tfound\tof\twrong\twrong so far\tprecision\trecall\n")
	for _, s := range scenarios {
		var fleets []*fleet
		for seed := range seeds {
			fleets = append(fleets, newFleet(s, uint64(seed), workers))
		}
		for _, seconds := range []int{5, 10, 20, 40, 80, 160} {
			right, wrong, begunWrong, all := 0, 0, 0, 0
			for _, f := range fleets {
				for f.now < time.Duration(seconds)*time.Second {
					f.play()
				}
				r, w := f.found()
				right, wrong, begunWrong = right+r, wrong+w, begunWrong+f.begunWrong
				if f.slowdown > 1 {
					all += len(victims)
				}
			}
			fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", s.name, seconds, right, all, wrong, begunWrong, share(right, right+wrong), share(right, all))
		}
	}
	table.Flush()
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "precision_and_recall", out.Bytes())
}

func share(part, all int) string {
	if all == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", float64(part)/float64(all))
}
