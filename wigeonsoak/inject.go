package wigeonsoak

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
)

// injectFaults injects the faults of the plan at their times and returns when all have ended. It then undoes what
// overlapping faults may have left behind: paused processes, faulty links and an unavailable store.
func (s *system) injectFaults(plan []Fault) {
	startTime := time.Now()
	var active sync.WaitGroup
	for _, f := range plan {
		time.Sleep(time.Until(startTime.Add(f.Offset)))
		active.Go(func() {
			s.history.logEvent("fault: %s", f)
			faultStart := time.Now()
			s.injectFault(f)
			if !f.Kind.planned() {
				s.history.recordDisruption(faultStart, time.Now())
			}
		})
	}
	active.Wait()
	for _, p := range s.processes {
		p.signal(syscall.SIGCONT)
	}
	for _, link := range append(s.storeLinks, s.workerLinks...) {
		link.SetFault(LinkFault{})
	}
	s.store.Unavailable.Store(false)
}

// injectFault injects one fault and waits until it has ended.
func (s *system) injectFault(f Fault) {
	// For the kinds that concern a worker, Target may exceed the processes, and p is not used.
	p := s.processes[f.Target%len(s.processes)]
	switch f.Kind {
	case KindKill:
		p.signal(syscall.SIGKILL)
	case KindTerm:
		p.signal(syscall.SIGTERM)
	case KindPause:
		p.signal(syscall.SIGSTOP)
		time.Sleep(f.ActiveFor)
		p.signal(syscall.SIGCONT)
	case KindReload:
		p.signal(syscall.SIGHUP)
	case KindPowerLoss:
		for _, each := range s.processes {
			each.signal(syscall.SIGKILL)
		}
	case KindStoreLink:
		s.disruptLink(s.storeLinks[f.Target], f)
	case KindStoreReset:
		s.storeLinks[f.Target].Reset()
	case KindWorkerLink:
		s.disruptLink(s.workerLink(f.Target), f)
	case KindWorkerReset:
		s.workerLink(f.Target).Reset()
	case KindStoreDown:
		s.store.Unavailable.Store(true)
		time.Sleep(f.ActiveFor)
		s.store.Unavailable.Store(false)
	case KindAppendAnswersLost:
		s.store.DropResponses.Add(3)
	case KindLogCompacted:
		s.store.Compact()
	case KindWorkerCrash:
		s.crashWorker(f.Target)
	case KindWorkerRestart:
		s.restartWorker(f.Target, f.ActiveFor, false)
	case KindWorkerMove:
		s.restartWorker(f.Target, f.ActiveFor, true)
	case KindWorkerRecut:
		s.recutWorker(f)
	case KindWorkerResize:
		s.resizeWorker(f.Target, f.Percent, f.ActiveFor)
	case KindConfigure:
		s.mu.Lock()
		defer s.mu.Unlock()
		if err := s.storeConfiguration(); err != nil {
			s.history.recordViolation("soak: store configuration: %v", err)
		}
	}
}

// disruptLink applies the link fault of f to the proxy for the duration of f.
func (s *system) disruptLink(p *Proxy, f Fault) {
	p.SetFault(f.LinkFault)
	time.Sleep(f.ActiveFor)
	p.SetFault(LinkFault{})
	if f.LinkFault.DropRequests || f.LinkFault.DropAnswers {
		// Bytes are missing from the streams of connections that were open, so these cannot be used any further.
		p.Reset()
	}
}

func (s *system) workerLink(i int) *Proxy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workerLinks[i]
}

// crashWorker crashes worker i and starts another one in its place.
func (s *system) crashWorker(i int) {
	s.mu.Lock()
	w, restarting := s.workers[i], s.restarting[i]
	s.mu.Unlock()
	if restarting {
		return
	}
	w.Crash()
	if err := s.startWorker(i); err != nil {
		s.history.recordViolation("soak: start worker: %v", err)
	}
}

// replacementDelay is the time after which another worker takes the place of one that a task has crashed.
const replacementDelay = time.Second

// replaceWorker starts another worker in the place of worker i, which a task has crashed. The machine is down until then.
func (s *system) replaceWorker(i int) {
	machine := fmt.Sprintf("m-%d", i)
	s.machines.SetWorker(machine, "")
	time.Sleep(replacementDelay)
	s.mu.Lock()
	link := s.workerLinks[i]
	s.mu.Unlock()
	id := s.newWorkerID(i)
	w, err := s.startWorkerProcess(i, id, link, restarted{})
	if err != nil {
		s.history.recordViolation("soak: replace worker: %v", err)
		return
	}
	s.machines.SetWorker(machine, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers[i] = w
}

// resizeWorker changes the capacity of worker i for a time.
func (s *system) resizeWorker(i, percent int, duration time.Duration) {
	s.mu.Lock()
	w := s.workers[i]
	s.mu.Unlock()
	w.Resize(percent)
	time.Sleep(duration)
	w.Resize(100)
}

// restartWorker crashes worker i and restarts it under its ID after the downtime. If it moves, it restarts behind a new proxy,
// and a worker with a new ID takes over its former address at once. It does nothing while worker i already restarts.
func (s *system) restartWorker(i int, downtime time.Duration, moves bool) {
	old, link, ok := s.beginRestart(i)
	if !ok {
		return
	}
	old.Crash()
	next, err := link, error(nil)
	if moves {
		if _, err = s.startWorkerProcess(i, s.newWorkerID(i), link, restarted{}); err == nil {
			next, err = NewProxy(s.ctx, loopbackIP(s.settings.Seed, i), "")
		}
		if err == nil {
			next.AwaitTarget(s.settings.Lives || s.settings.Recuts)
		}
	}
	time.Sleep(min(downtime, entryTTL))
	if downtime > entryTTL {
		old.Expire()
		time.Sleep(downtime - entryTTL)
	}
	var w *wigeonstandin.Worker
	if err == nil {
		w, err = s.startWorkerProcess(i, old.ID, next, restarted{former: old})
	}
	if err != nil {
		s.history.recordViolation("soak: restart worker: %v", err)
		return
	}
	s.endRestart(i, w, next)
}

// beginRestart returns worker i and its proxy, and marks it as restarting. It reports false while worker i already restarts.
func (s *system) beginRestart(i int) (*wigeonstandin.Worker, *Proxy, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := !s.restarting[i]
	s.restarting[i] = true
	return s.workers[i], s.workerLinks[i], ok
}

func (s *system) endRestart(i int, w *wigeonstandin.Worker, link *Proxy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers[i], s.workerLinks[i], s.restarting[i] = w, link, false
}
