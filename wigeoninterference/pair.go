package wigeoninterference

import (
	"math"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

const (
	// maxWorkersPerPair bounds the workers whose evidence is kept for a pair.
	maxWorkersPerPair = 12
	// minWeight is the weight of the evidence of a worker below which it is forgotten.
	minWeight = 0.025
	// maxExposure bounds the exposure that is counted, so that a crowd of runs on one worker does not outweigh all others.
	maxExposure = 4
	// observationWeight is the weight of one report. The reports of a task that follow each other are not independent.
	observationWeight = 0.35
	// minReports is the number of reports with exposure from which on a worker counts. A change of load that comes with a neighbour
	// shows in the reports of some workers one round before those of others.
	minReports = 3
	// suspectConfidence and clearConfidence are the confidences from which on a pair is suspected, and below which it is cleared.
	suspectConfidence = 0.998
	clearConfidence   = 0.8
)

// The following are standard deviations of logarithms of tails.
const (
	// priorEffect is that of the effects of all pairs, around none.
	priorEffect = 0.5
	// workerSpread is that of the constant differences between workers, and between tasks with more and less load.
	workerSpread = 0.5
	// effectSpread is that of the effects of one pair on different workers. It also covers what happens to a worker at the time at
	// which a neighbour starts or ends, without any connection between them.
	effectSpread = 0.2
	// priorNoise is that of the reports of one task, until there are residuals; it has the weight priorNoiseWeight.
	priorNoise       = 0.3
	priorNoiseWeight = 2.0
)

// minEffect is the logarithm of the slowdown that is of interest, 10%.
const minEffect = 0.0953

// pair is what is known of the effect of a neighbour on a victim.
type pair struct {
	victim, neighbour wigeonstep.ImageName
	// evidence holds that of each worker on which the exposure differed from that of others, as of the time at.
	evidence []evidence
	at       time.Duration
	// noise is the variance of the residuals; 0 before the first fit.
	noise float64
	// effect is the expected effect of one run at full speed, as a logarithm.
	effect float64
	// confidence is the probability that the effect is above minEffect, scaled so that even odds and less are 0.
	confidence float64
	suspected  bool
}

// evidence holds the decayed sums over the reports of one worker: their weight, and those of the exposure x and the tail y, both
// relative to the workers in the middle.
type evidence struct {
	worker              wigeonstep.WorkerID
	n, x, xx, y, xy, yy float64
	// reports is the number of reports with exposure.
	reports int
}

// observe adds a report of a worker, with the exposure and the tail relative to other workers. Workers whose exposure has not
// differed so far are left out; when that of one does, its reports before count as well.
func (p *pair) observe(now time.Duration, worker wigeonstep.WorkerID, exposure, deviation float64, before history) {
	if exposure == 0 && p.evidenceOf(worker) == nil {
		return
	}
	p.decay(now)
	e := p.evidenceOf(worker)
	if e == nil && len(p.evidence) < maxWorkersPerPair {
		p.evidence = append(p.evidence, evidence{worker: worker, n: before.n, y: before.y, yy: before.yy})
		e = &p.evidence[len(p.evidence)-1]
	}
	if e == nil {
		return
	}
	if exposure != 0 {
		e.reports++
	}
	x, w := exposure, observationWeight
	e.n += w
	e.x += w * x
	e.xx += w * x * x
	e.y += w * deviation
	e.xy += w * x * deviation
	e.yy += w * deviation * deviation
	p.fit()
}

// evidenceOf returns the evidence of the worker; nil if there is none.
func (p *pair) evidenceOf(worker wigeonstep.WorkerID) *evidence {
	for i := range p.evidence {
		if p.evidence[i].worker == worker {
			return &p.evidence[i]
		}
	}
	return nil
}

// decay lets the evidence lose weight up to the given time, and forgets that of workers with too little.
func (p *pair) decay(now time.Duration) {
	if now <= p.at {
		return
	}
	left := remaining(now - p.at)
	p.at = now
	forget := false
	for i := range p.evidence {
		e := &p.evidence[i]
		e.n, e.x, e.xx, e.y, e.xy, e.yy = e.n*left, e.x*left, e.xx*left, e.y*left, e.xy*left, e.yy*left
		// Without exposure in memory there is nothing to compare the reports with.
		forget = forget || e.xx < minWeight
	}
	if forget {
		p.evidence = slices.DeleteFunc(p.evidence, func(e evidence) bool { return e.xx < minWeight })
	}
}

// knownEffect returns the part of the effect that is taken out of the comparisons of other pairs. A neighbour that seems to speed
// the victim up is not believed.
func (p *pair) knownEffect() float64 { return max(p.effect, 0) }

// fit computes the effect, the confidence and the noise from the evidence.
func (p *pair) fit() {
	if p.noise == 0 {
		p.noise = priorNoise * priorNoise
	}
	const prior = 1 / (priorEffect * priorEffect)
	var few [maxWorkersPerPair]contribution
	each, total := few[:0], contribution{information: prior}
	for i := range p.evidence {
		c := p.evidence[i].contribution(p.noise)
		each, total = append(each, c), total.add(c)
	}
	p.effect = total.effect()
	lowest := math.Inf(1)
	for _, c := range each {
		// The confidence must not rest on one worker, which may have become slow at that time for another reason.
		lowest = min(lowest, total.sub(c).standardised())
	}
	p.confidence = 0
	if len(each) > 0 {
		p.confidence = max(math.Erf(lowest/math.Sqrt2), 0)
	}
	p.noise = p.residualVariance()
}

// contribution is the weight of an estimate, which is the inverse of its variance, and the estimate multiplied by it.
type contribution struct{ information, weighted float64 }

func (c contribution) add(other contribution) contribution {
	return contribution{c.information + other.information, c.weighted + other.weighted}
}

func (c contribution) sub(other contribution) contribution {
	return contribution{c.information - other.information, c.weighted - other.weighted}
}

func (c contribution) effect() float64 { return c.weighted / c.information }

// standardised returns the distance of the effect from minEffect in standard deviations.
func (c contribution) standardised() float64 {
	return (c.effect() - minEffect) * math.Sqrt(c.information)
}

// contribution estimates the effect from one worker by generalised least squares: y is an unknown constant of the worker with the
// deviation workerSpread, plus the effect times x, plus noise.
func (e *evidence) contribution(noise float64) contribution {
	const spread = workerSpread * workerSpread
	shrink := spread / (noise + spread*e.n)
	information := (e.xx - shrink*e.x*e.x) / noise
	if e.reports < minReports || information <= 0 {
		return contribution{}
	}
	estimate := (e.xy - shrink*e.x*e.y) / noise / information
	weight := 1 / (1/information + effectSpread*effectSpread)
	return contribution{weight, weight * estimate}
}

// residualVariance returns the variance of the reports of a worker around what the effect explains.
func (p *pair) residualVariance() float64 {
	sum, weight := priorNoiseWeight*priorNoise*priorNoise, priorNoiseWeight
	for _, e := range p.evidence {
		if e.n < 2*observationWeight {
			continue
		}
		yy, xy, xx := e.yy-e.y*e.y/e.n, e.xy-e.x*e.y/e.n, e.xx-e.x*e.x/e.n
		sum += max(yy-2*p.effect*xy+p.effect*p.effect*xx, 0)
		weight += e.n
	}
	return sum / weight
}

func (p *pair) effectOf() Effect {
	return Effect{Victim: p.victim, Neighbour: p.neighbour, Slowdown: math.Exp(p.effect), Confidence: p.confidence, Workers: len(p.evidence)}
}
