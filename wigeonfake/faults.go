package wigeonfake

import (
	"time"
)

// Faults configures the faults of a Platform. The zero value injects none.
type Faults struct {
	// LogUnavailable makes every call to the log fail with ErrUnavailable; default false.
	LogUnavailable bool
	// LogDelay delays every call to the log. An append is delayed by one half before and one half after it takes effect, a
	// read as a whole before it; default 0.
	LogDelay time.Duration
	// LogDelayJitter is the upper bound of a random time that is added to LogDelay; default 0.
	LogDelayJitter time.Duration
	// AppendsPerSecond is the rate above which appends are rejected; default 500, negative for no limit.
	AppendsPerSecond int
	// LoseAppendAnswerProbability is the probability that the answer to an append is lost after it took effect; default 0.
	LoseAppendAnswerProbability float64
	// LoseNextAppendAnswers is the number of next appends whose answers are lost, regardless of
	// LoseAppendAnswerProbability; default 0.
	LoseNextAppendAnswers int
	// RetainRecords is the number of records that a stream retains; default 0, which retains all.
	RetainRecords int
	// RetainAge is the time for which a stream retains a record; default 0, which sets no limit.
	RetainAge time.Duration
	// VMServiceUnavailable makes every call about VMs fail with ErrUnavailable; default false.
	VMServiceUnavailable bool
	// VMListLag is the time after which the VM list contains a change of a VM; default 0.
	VMListLag time.Duration
	// VMListFrozen freezes the VM list, so that its reported age grows; default false.
	VMListFrozen bool
	// VMListEmpty makes the platform return a VM list without VMs and pools; default false.
	VMListEmpty bool
	// RebootTime is the duration of a reboot; default 50 ms.
	RebootTime time.Duration
	// RebootLossProbability is the probability that a VM does not come up after a reboot; default 0.
	RebootLossProbability float64
}

const (
	defaultAppendsPerSecond = 500
	defaultRebootTime       = 50 * time.Millisecond
)

func (f Faults) appendsPerSecond() int {
	if f.AppendsPerSecond == 0 {
		return defaultAppendsPerSecond
	}
	return f.AppendsPerSecond
}

func (f Faults) rebootTime() time.Duration {
	if f.RebootTime <= 0 {
		return defaultRebootTime
	}
	return f.RebootTime
}
