// Package wigeoninterference estimates by pairs of images how much best-effort tasks slow down the serving tasks beside them on
// a worker. The effects of load, of bad workers and of time are told apart from that of a neighbour by comparing tasks of one
// image on several workers at about the same time.
//
// It is deterministic: it reads no clock or random source, and does not depend on the iteration order of a map.
package wigeoninterference

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

const (
	// maxImages and maxPairs bound the state of a model. A further image replaces one without a suspected pair; further pairs are
	// left out until others are forgotten.
	maxImages = 64
	maxPairs  = 1024
	// maxRecent is the number of workers whose newest reports of an image are kept for comparison.
	maxRecent = 16
	// matchWindow is the age up to which a report of another worker is compared with a new one. A worker reports about every
	// 0.8 s.
	matchWindow = time.Second
	// maxHistories is the number of workers whose reports of an image are summed up, whatever runs beside it.
	maxHistories = 64
	// minMatched is the number of other workers with a report in matchWindow below which a report is no evidence.
	minMatched = 2
	// maxDeviation bounds the logarithm of a tail relative to those of other workers, a factor of 4.5, so that single outliers
	// count no more.
	maxDeviation = 1.5
	// maxNameBytes is the length up to which the names of images are kept. Clients choose the names.
	maxNameBytes = 256
	// imageRetention is the time after its last observation at which an image without pairs is forgotten.
	imageRetention = time.Minute
)

// Observation is the tail of one serving task, with what ran beside it for the whole time that the tail covers.
type Observation struct {
	At     time.Duration
	Worker wigeonstep.WorkerID
	Victim wigeonstep.ImageName
	// Tail is the tail latency of the task.
	Tail time.Duration
	// Neighbours holds the images of the best-effort runs on the worker, each once.
	Neighbours []Neighbour
}

// Neighbour is what a worker runs of one image.
type Neighbour struct {
	Image wigeonstep.ImageName
	// Exposure is the sum of the speeds of the runs, 1 for one run at full speed.
	Exposure float64
}

// Model learns the effects from observations. The zero value has observed nothing. It is not safe for concurrent use.
type Model struct {
	// images holds the images in the order of their first observation, as victims or neighbours.
	images []*image
	byName map[wigeonstep.ImageName]*image
	// pairCount and suspectedCount count the pairs of all images.
	pairCount, suspectedCount int
	version                   uint64
	changes                   []Change
}

// image is what the model knows of one image.
type image struct {
	name wigeonstep.ImageName
	// seenAt is the time of the newest observation with the image.
	seenAt time.Duration
	// recent holds the newest report of each worker about a task of the image, oldest first.
	recent []report
	// histories holds what the workers reported of the image so far.
	histories []history
	// pairs holds the pairs with the image as the victim.
	pairs []*pair
}

// report is what a worker reported of a task last.
type report struct {
	worker wigeonstep.WorkerID
	at     time.Duration
	// tail is the logarithm of the tail, level the same less the estimated effects of the neighbours.
	tail, level float64
	neighbours  []Neighbour
}

// Change says that a pair is suspected from now on, or no longer.
type Change struct {
	Effect
	Suspected bool
}

// Effect is the estimated effect of a neighbour on a victim.
type Effect struct {
	Victim, Neighbour wigeonstep.ImageName
	// Slowdown is the factor by which one run of the neighbour at full speed raises the tail of the victim.
	Slowdown float64
	// Confidence that the neighbour slows the victim down is between 0, for no evidence, and 1.
	Confidence float64
	// Workers is the number of workers from which there is evidence.
	Workers int
}

// Observe learns from a report. The tails that the caller passes for one task cover disjoint times.
func (m *Model) Observe(ob Observation) {
	if ob.Tail <= 0 || ob.Victim == "" {
		return
	}
	v := m.ensureImage(ob.At, ob.Victim)
	if v == nil {
		return
	}
	tail := math.Log(ob.Tail.Seconds())
	if middle, matched := v.middleReports(ob.At, ob.Worker); matched {
		m.compare(v, ob, tail, middle)
	}
	v.remember(report{worker: ob.Worker, at: ob.At, tail: tail, level: tail - v.knownEffect(ob.Neighbours)}, ob.Neighbours)
}

// compare counts the difference to the reports of other workers as evidence for each pair of the victim. The part that the other
// neighbours explain is left out. The effect of the pair itself is not: a wrong one would confirm itself.
func (m *Model) compare(v *image, ob Observation, tail float64, middle [2]*report) {
	for _, n := range ob.Neighbours {
		if n.Exposure > 0 {
			m.ensurePair(ob.At, v, n.Image)
		}
	}
	before := v.historyOf(ob.Worker)
	before.decay(ob.At)
	deviation := min(max(tail-(middle[0].tail+middle[1].tail)/2, -maxDeviation), maxDeviation)
	known := v.knownEffect(ob.Neighbours) - (v.knownEffect(middle[0].neighbours)+v.knownEffect(middle[1].neighbours))/2
	for _, p := range v.pairs {
		exposure := relativeExposure(ob.Neighbours, middle, p.neighbour)
		own := p.knownEffect() * exposure
		p.observe(ob.At, ob.Worker, exposure, deviation-(known-own), before)
		m.judge(p)
	}
	v.addToHistory(ob.At, ob.Worker, deviation-known)
}

// relativeExposure returns the exposure to an image relative to the reports in the middle.
func relativeExposure(neighbours []Neighbour, middle [2]*report, image wigeonstep.ImageName) float64 {
	return exposureTo(neighbours, image) - (exposureTo(middle[0].neighbours, image)+exposureTo(middle[1].neighbours, image))/2
}

func exposureTo(neighbours []Neighbour, image wigeonstep.ImageName) float64 {
	for _, n := range neighbours {
		if n.Image == image {
			return min(n.Exposure, maxExposure)
		}
	}
	return 0
}

// middleReports returns the two reports of other workers now whose levels are in the middle, which are the same for an odd
// number. matched is false when fewer than minMatched have reported.
func (v *image) middleReports(now time.Duration, worker wigeonstep.WorkerID) (middle [2]*report, matched bool) {
	var few [maxRecent]*report
	others := few[:0]
	for i := range v.recent {
		if r := &v.recent[i]; r.worker != worker && (now-r.at).Abs() <= matchWindow {
			others = append(others, r)
		}
	}
	n := len(others)
	if n < minMatched {
		return middle, false
	}
	slices.SortStableFunc(others, func(a, b *report) int { return cmp.Compare(a.level, b.level) })
	return [2]*report{others[(n-1)/2], others[n/2]}, true
}

// knownEffect returns the estimated effect of all neighbours together, as a logarithm.
func (v *image) knownEffect(neighbours []Neighbour) float64 {
	sum := 0.0
	for _, p := range v.pairs {
		sum += p.knownEffect() * exposureTo(neighbours, p.neighbour)
	}
	return sum
}

// remember keeps the newest report of a worker, in place of its last one or of the oldest.
func (v *image) remember(r report, neighbours []Neighbour) {
	old := slices.IndexFunc(v.recent, func(other report) bool { return other.worker == r.worker })
	if old < 0 && len(v.recent) == maxRecent {
		old = 0
	}
	if old >= 0 {
		r.neighbours = v.recent[old].neighbours[:0]
		v.recent = slices.Delete(v.recent, old, old+1)
	}
	r.neighbours = append(r.neighbours, neighbours...)
	v.recent = append(v.recent, r)
}

// ensureImage returns the image, and adds it when it is not known; nil when its name is too long or there are maxImages others of which
// none can be replaced.
func (m *Model) ensureImage(now time.Duration, name wigeonstep.ImageName) *image {
	i := m.byName[name]
	if i == nil {
		if len(name) > maxNameBytes || len(m.images) == maxImages && !m.forgetOldest(now) {
			return nil
		}
		if m.byName == nil {
			m.byName = map[wigeonstep.ImageName]*image{}
		}
		i = &image{name: name}
		m.byName[name] = i
		m.images = append(m.images, i)
	}
	i.seenAt = now
	return i
}

// forgetOldest forgets the image without a suspected pair that was seen longest ago, with its pairs, and reports whether there was one
// from before now. Clients choose the names: without this, one with maxImages invented names would keep all others out for
// imageRetention.
func (m *Model) forgetOldest(now time.Duration) bool {
	suspected := map[wigeonstep.ImageName]bool{}
	for _, v := range m.images {
		for _, p := range v.pairs {
			if p.suspected {
				suspected[p.victim], suspected[p.neighbour] = true, true
			}
		}
	}
	var oldest *image
	for _, i := range m.images {
		if i.seenAt < now && !suspected[i.name] && (oldest == nil || i.seenAt < oldest.seenAt) {
			oldest = i
		}
	}
	if oldest == nil {
		return false
	}
	m.pairCount -= len(oldest.pairs)
	m.images = slices.DeleteFunc(m.images, func(i *image) bool { return i == oldest })
	delete(m.byName, oldest.name)
	for _, v := range m.images {
		before := len(v.pairs)
		v.pairs = slices.DeleteFunc(v.pairs, func(p *pair) bool { return p.neighbour == oldest.name })
		m.pairCount -= before - len(v.pairs)
	}
	return true
}

// ensurePair adds the pair unless it is known or there are maxPairs others.
func (m *Model) ensurePair(now time.Duration, v *image, neighbour wigeonstep.ImageName) {
	if m.ensureImage(now, neighbour) == nil || v.findPair(neighbour) != nil || m.pairCount == maxPairs {
		return
	}
	v.pairs = append(v.pairs, &pair{victim: v.name, neighbour: neighbour, at: now})
	m.pairCount++
}

func (v *image) findPair(neighbour wigeonstep.ImageName) *pair {
	for _, p := range v.pairs {
		if p.neighbour == neighbour {
			return p
		}
	}
	return nil
}

// judge updates whether the pair is suspected.
func (m *Model) judge(p *pair) {
	suspected := p.confidence >= suspectConfidence || p.suspected && p.confidence >= clearConfidence
	if suspected == p.suspected {
		return
	}
	p.suspected = suspected
	if suspected {
		m.suspectedCount++
	} else {
		m.suspectedCount--
	}
	m.version++
	m.changes = append(m.changes, Change{Effect: p.effectOf(), Suspected: suspected})
}

// Decay lets evidence lose weight with its age, and forgets what has none left. The caller calls it every second or so.
func (m *Model) Decay(now time.Duration) {
	for _, v := range m.images {
		v.recent = slices.DeleteFunc(v.recent, func(r report) bool { return now-r.at > matchWindow })
		v.histories = slices.DeleteFunc(v.histories, func(h history) bool {
			h.decay(now)
			return h.n < minWeight
		})
		v.pairs = slices.DeleteFunc(v.pairs, func(p *pair) bool {
			p.decay(now)
			p.fit()
			m.judge(p)
			if len(p.evidence) == 0 {
				m.pairCount--
				return true
			}
			m.keepImage(p.neighbour, v, now)
			return false
		})
	}
	m.images = slices.DeleteFunc(m.images, func(i *image) bool {
		forgotten := now-i.seenAt > imageRetention && len(i.pairs) == 0
		if forgotten {
			delete(m.byName, i.name)
		}
		return forgotten
	})
	if m.suspectedCount > 0 {
		m.version++
	}
}

// keepImage prevents that the neighbour of a known pair is forgotten before the pair.
func (m *Model) keepImage(neighbour wigeonstep.ImageName, victim *image, now time.Duration) {
	if i := m.byName[neighbour]; i != nil && i != victim {
		i.seenAt = now
	}
}

// Empty reports whether the model holds nothing.
func (m *Model) Empty() bool { return len(m.images) == 0 }

// Effect returns the estimated slowdown of a victim by one run of the neighbour at full speed, and the confidence in it; 1 and 0
// when nothing is known.
func (m *Model) Effect(victim, neighbour wigeonstep.ImageName) (slowdown, confidence float64) {
	if v := m.byName[victim]; v != nil {
		if p := v.findPair(neighbour); p != nil {
			e := p.effectOf()
			return e.Slowdown, e.Confidence
		}
	}
	return 1, 0
}

// Suspected returns the suspected pairs with the image as victim or neighbour, strongest first.
func (m *Model) Suspected(name wigeonstep.ImageName) []Effect {
	if m.suspectedCount == 0 {
		return nil
	}
	var found []Effect
	for _, v := range m.images {
		for _, p := range v.pairs {
			if p.suspected && (p.victim == name || p.neighbour == name) {
				found = append(found, p.effectOf())
			}
		}
	}
	slices.SortStableFunc(found, func(a, b Effect) int {
		return cmp.Or(-cmp.Compare(a.Slowdown, b.Slowdown), cmp.Compare(a.Victim, b.Victim), cmp.Compare(a.Neighbour, b.Neighbour))
	})
	return found
}

// PairCounts returns the number of pairs about which there is evidence, and of those that are suspected.
func (m *Model) PairCounts() (known, suspected int) { return m.pairCount, m.suspectedCount }

// Version changes when a pair is suspected from then on or no longer, and with each Decay while one is. The slowdowns of suspected
// pairs also change with each Observe; the version leaves these out until the next Decay, so that a caller may keep the results of
// Suspected for that long.
func (m *Model) Version() uint64 { return m.version }

// TakeChanges returns the changes since the last call.
func (m *Model) TakeChanges() []Change {
	changes := m.changes
	m.changes = nil
	return changes
}
