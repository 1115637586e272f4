package wigeonstate

import (
	"fmt"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

func (s *State) startWave(start *wigeonwire.WaveStart, r record) string {
	reason := s.tryStartWave(start, r)
	s.explain(r, &wigeonwire.Decision{SubjectKind: "wave", Subject: start.GetWave(), Action: "start", Cause: "pool " + start.GetPool()}, reason)
	return reason
}

func (s *State) tryStartWave(start *wigeonwire.WaveStart, r record) string {
	// An operator may ask for a wave before it is due; the budgets hold for its drains all the same.
	if r.session.view.Role != wigeonwire.Role_ROLE_OPERATOR {
		if reason := r.session.requireControl(); reason != "" {
			return reason
		}
	}
	id, pool := wigeonstep.WaveID(start.GetWave()), wigeonstep.PoolName(start.GetPool())
	if id == "" || s.waves[id] != nil {
		return "the wave has no id or is known"
	}
	total := len(s.members[pool])
	if total == 0 {
		return fmt.Sprintf("pool %q has no VM", pool)
	}
	if other := s.runningWave(pool); other != "" {
		return fmt.Sprintf("wave %s of the pool has not ended", other)
	}
	s.waves[id] = &wigeonwire.Wave{
		Wave:          string(id),
		Pool:          string(pool),
		StartedUnixMs: s.timeMS,
		Total:         uint32(total),
	}
	s.stale.waves = true
	return ""
}

// runningWave returns the wave of the pool that has not ended; the fold accepts one at a time.
func (s *State) runningWave(pool wigeonstep.PoolName) wigeonstep.WaveID {
	for id, wave := range s.waves {
		if !wave.GetEnded() && wave.GetPool() == string(pool) {
			return id
		}
	}
	return ""
}

func (s *State) endWave(end *wigeonwire.WaveEnd, r record) string {
	reason := s.tryEndWave(end, r)
	s.explain(r, &wigeonwire.Decision{SubjectKind: "wave", Subject: end.GetWave(), Action: "end", Cause: end.GetReason()}, reason)
	return reason
}

func (s *State) tryEndWave(end *wigeonwire.WaveEnd, r record) string {
	if reason := r.session.requireControl(); reason != "" {
		return reason
	}
	wave := s.waves[wigeonstep.WaveID(end.GetWave())]
	if wave == nil || wave.GetEnded() {
		return "the wave is not running"
	}
	wave.Ended, wave.Reason, wave.EndedUnixMs = true, end.GetReason(), s.timeMS
	s.stale.waves = true
	return ""
}

// checkWave returns why the VM cannot drain for the wave; no wave is always allowed.
func (s *State) checkWave(vm *VM, id wigeonstep.WaveID) string {
	if id == "" {
		return ""
	}
	wave := s.waves[id]
	switch {
	case wave == nil || wave.GetEnded():
		return fmt.Sprintf("wave %s is not running", id)
	case wave.GetPool() != string(vm.Pool):
		return fmt.Sprintf("wave %s is of pool %q and the VM in pool %q", id, wave.GetPool(), vm.Pool)
	case vm.LastWave == id:
		return fmt.Sprintf("the VM is done in wave %s", id)
	}
	return ""
}

// trackWave keeps the wave of a VM through its reboot. The VM is done when it returns to service from verifying;
// a VM that returns without a reboot is not.
func (s *State) trackWave(before, after *VM, change *wigeonwire.VMTransition) {
	switch change.GetTo() {
	case phaseDraining:
		after.Wave = wigeonstep.WaveID(change.GetWave())
	case phaseInService:
		after.Wave = ""
		if before.Phase != phaseVerifying {
			return
		}
		after.LastMaintained = s.now()
		if wave := s.waves[before.Wave]; wave != nil {
			after.LastWave = before.Wave
			wave.Done++
			s.stale.waves = true
		}
	case phaseFailed:
		if before.Phase == phaseDraining || before.Phase == phaseDrained {
			after.Wave = ""
		}
	}
}
