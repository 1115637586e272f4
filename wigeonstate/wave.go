package wigeonstate

import (
	"fmt"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

func (s *State) startWave(start *wigeonwire.WaveStart, r recordContext) string {
	reason := s.tryStartWave(start, r)
	s.appendDecision(r, &wigeonwire.Decision{SubjectKind: "wave", Subject: start.GetWave(), Action: "start", Cause: "pool " + start.GetPool()}, reason)
	return reason
}

func (s *State) tryStartWave(start *wigeonwire.WaveStart, r recordContext) string {
	// An operator may start a wave before it is due. Its drains are subject to the disruption budgets like all others.
	if r.session.view.Role != wigeonwire.Role_ROLE_OPERATOR {
		if reason := r.session.requireControl(); reason != "" {
			return reason
		}
	}
	id, pool := wigeonstep.WaveID(start.GetWave()), wigeonstep.PoolName(start.GetPool())
	if id == "" || s.waves[id] != nil {
		return "the wave has no id or is known"
	}
	total := len(s.poolMembers[pool])
	if total == 0 {
		return fmt.Sprintf("pool %q has no VM", pool)
	}
	if other := s.runningWave(pool); other != "" {
		return fmt.Sprintf("wave %s of the pool has not ended", other)
	}
	s.waves[id] = &wigeonwire.Wave{
		Wave:          string(id),
		Pool:          string(pool),
		StartedUnixMs: s.foldTimeMS,
		Total:         uint32(total),
	}
	s.stale.waves = true
	return ""
}

// runningWave returns the wave of the pool that has not ended, or "". A pool has at most one at a time.
func (s *State) runningWave(pool wigeonstep.PoolName) wigeonstep.WaveID {
	for id, wave := range s.waves {
		if !wave.GetEnded() && wave.GetPool() == string(pool) {
			return id
		}
	}
	return ""
}

func (s *State) endWave(end *wigeonwire.WaveEnd, r recordContext) string {
	reason := s.tryEndWave(end, r)
	s.appendDecision(r, &wigeonwire.Decision{SubjectKind: "wave", Subject: end.GetWave(), Action: "end", Cause: end.GetReason()}, reason)
	return reason
}

func (s *State) tryEndWave(end *wigeonwire.WaveEnd, r recordContext) string {
	if reason := r.session.requireControl(); reason != "" {
		return reason
	}
	wave := s.waves[wigeonstep.WaveID(end.GetWave())]
	if wave == nil || wave.GetEnded() {
		return "the wave is not running"
	}
	wave.Ended, wave.Reason, wave.EndedUnixMs = true, end.GetReason(), s.foldTimeMS
	s.stale.waves = true
	return ""
}

// checkWaveDrain returns the reason why the VM cannot drain for the wave, or "". A drain without a wave is always permitted.
func (s *State) checkWaveDrain(vm *VM, id wigeonstep.WaveID) string {
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

// updateWaveProgress assigns a VM to its wave when it starts to drain and releases it when it returns to service. The VM is
// done in the wave only if it returns from verifying, that is after a restart. A VM that fails while it drains, or after it
// has drained, is released too.
func (s *State) updateWaveProgress(before, after *VM, change *wigeonwire.VMTransition) {
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
