package wigeonfake

import (
	"time"
)

// Faults are the faults that a Platform shows. The zero value is a platform that works.
type Faults struct {
	// LogDown makes every call to the log fail with ErrUnavailable; default false.
	LogDown bool
	// LogDelay is added to every call to the log, half of it before the call takes effect; default 0.
	LogDelay time.Duration
	// LogDelayJitter is the bound of a random time added to LogDelay; default 0.
	LogDelayJitter time.Duration
	// AppendsPerSecond is the rate above which appends are rejected; default 500, negative for no bound.
	AppendsPerSecond int
	// LoseAppendAnswers is the probability that the answer to an append is lost after it took effect; default 0.
	LoseAppendAnswers float64
	// LoseNextAppendAnswers is how many of the next appends lose their answer for certain; default 0.
	LoseNextAppendAnswers int
	// RetainRecords is how many records a stream keeps; default 0, which means all.
	RetainRecords int
	// RetainAge is how long a stream keeps a record; default 0, which means for ever.
	RetainAge time.Duration
	// VMsDown makes every call about VMs fail with ErrUnavailable; default false.
	VMsDown bool
	// ListLag is how far the VM list is behind; default 0.
	ListLag time.Duration
	// ListStale freezes the VM list, so that its age grows; default false.
	ListStale bool
	// ListEmpty makes the VM list empty; default false.
	ListEmpty bool
	// RebootTime is how long a reboot takes; default 50 ms.
	RebootTime time.Duration
	// NeverBack is the probability that a VM does not come back from a reboot; default 0.
	NeverBack float64
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
