// Package wigeondocument reads and checks service documents.
package wigeondocument

import (
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// Document states what one service needs. Parse returns only documents that pass every check, with defaults filled in.
type Document struct {
	Service wigeonstep.ServiceName `yaml:"service" check:"required,format=name"`
	Team    wigeonstep.TeamName    `yaml:"team" check:"required,format=name"`
	// Pool is never the spare pool.
	Pool         wigeonstep.PoolName `yaml:"pool" check:"required,format=name"`
	Capacity     Capacity            `yaml:"capacity" check:"required"`
	Availability Availability        `yaml:"availability"`
	Share        Share               `yaml:"share"`
	// Classes has at least one class; names are unique within the team.
	Classes     []Class     `yaml:"classes" check:"required"`
	Maintenance Maintenance `yaml:"maintenance"`
	Objective   Objective   `yaml:"objective"`
}

// Capacity is how many workers of which shape the service needs when nothing fails.
type Capacity struct {
	Workers int `yaml:"workers" check:"required,min=1,max=100000"`
	// Cores, MemoryGB and Accelerators are per worker; zero asks for nothing.
	Cores        int `yaml:"cores" check:"max=4096"`
	MemoryGB     int `yaml:"memory_gb" check:"max=65536"`
	Accelerators int `yaml:"accelerators" check:"max=64"`
}

// Shape returns the smallest shape of a worker that the service accepts.
func (c Capacity) Shape() wigeonstep.Shape {
	return wigeonstep.Shape{Cores: c.Cores, MemoryGB: c.MemoryGB, Accelerators: c.Accelerators}
}

// FailureDomain is a set of VMs that fail together.
type FailureDomain string

const (
	// DomainNone plans for the loss of single VMs only.
	DomainNone FailureDomain = "none"
	// DomainRack plans for the loss of one rack.
	DomainRack FailureDomain = "rack"
	// DomainDataCentre plans for the loss of one data centre.
	DomainDataCentre FailureDomain = "data_centre"
)

// Availability is the disruption budget of the service's pool. Planned and unplanned losses count together.
type Availability struct {
	// MaxUnavailableWorkers is at least 1, default 1.
	MaxUnavailableWorkers int `yaml:"max_unavailable_workers" check:"min=1,max=100000,default=1"`
	// MaxUnavailablePerRack bounds planned losses in one rack; zero means no bound of its own.
	MaxUnavailablePerRack int `yaml:"max_unavailable_per_rack" check:"max=100000"`
	// Survive is the failure domain whose loss the pool's headroom covers, default none.
	Survive FailureDomain `yaml:"survive" check:"oneof=none|rack|data_centre,default=none"`
}

// Share is the service's part of the slots of its pool.
type Share struct {
	// Weight is the weight in the max-min split, from 1 to 1000, default 1.
	Weight int `yaml:"weight" check:"min=1,max=1000,default=1"`
	// GuaranteedSlots is a minimum while the service has work; the sum over a pool is at most the pool's slots.
	GuaranteedSlots int `yaml:"guaranteed_slots" check:"max=1000000"`
	// MaxSlots bounds the slots held at once; zero means no bound.
	MaxSlots int `yaml:"max_slots" check:"max=1000000"`
}

// ClassKind tells requests that a caller waits for from durable jobs.
type ClassKind string

const (
	// KindShort is a request whose caller waits for the answer.
	KindShort ClassKind = "short"
	// KindLong is a durable job whose caller gets a job id.
	KindLong ClassKind = "long"
)

// RetryPolicy says whether a request may be sent again.
type RetryPolicy string

const (
	// RetryNever sends each request once.
	RetryNever RetryPolicy = "never"
	// RetrySafe sends a request again when it certainly did not run or the class is idempotent.
	RetrySafe RetryPolicy = "safe"
)

// Class is one kind of request of the service.
type Class struct {
	Name wigeonstep.ClassName `yaml:"name" check:"required,format=name"`
	// Kind defaults to short.
	Kind       ClassKind `yaml:"kind" check:"oneof=short|long,default=short"`
	Idempotent bool      `yaml:"idempotent"`
	// DeadlineMS is the time that a request may take in all when its caller sets no deadline, default 10000.
	DeadlineMS int `yaml:"deadline_ms" check:"min=1,max=86400000,default=10000"`
	// MaxQueueMS is the longest wait for a slot, default 4700 for short classes; ignored for long ones.
	MaxQueueMS int `yaml:"max_queue_ms" check:"min=1,max=4700,default=4700"`
	// ExpectedRunMS is the first guess of the run time, default 100.
	ExpectedRunMS int `yaml:"expected_run_ms" check:"min=1,max=604800000,default=100"`
	// Retry defaults to safe.
	Retry RetryPolicy `yaml:"retry" check:"oneof=never|safe,default=safe"`
}

// Deadline returns DeadlineMS as a duration.
func (c Class) Deadline() time.Duration { return time.Duration(c.DeadlineMS) * time.Millisecond }

// MaxQueue returns MaxQueueMS as a duration.
func (c Class) MaxQueue() time.Duration { return time.Duration(c.MaxQueueMS) * time.Millisecond }

// ExpectedRun returns ExpectedRunMS as a duration.
func (c Class) ExpectedRun() time.Duration { return time.Duration(c.ExpectedRunMS) * time.Millisecond }

// Maintenance says how the service's VMs drain.
type Maintenance struct {
	// MaxDrainS is how long a drain waits for work to end, in seconds, default 300.
	MaxDrainS int `yaml:"max_drain_s" check:"min=1,max=604800,default=300"`
	// Checkpoint allows long work to be checkpointed and stopped when MaxDrainS has passed.
	Checkpoint bool `yaml:"checkpoint"`
}

// MaxDrain returns MaxDrainS as a duration.
func (m Maintenance) MaxDrain() time.Duration { return time.Duration(m.MaxDrainS) * time.Second }

// Objective weighs spare capacity against moves. Both weights are from 1 to 100, default 1.
type Objective struct {
	BufferWeight int `yaml:"buffer_weight" check:"min=1,max=100,default=1"`
	MovesWeight  int `yaml:"moves_weight" check:"min=1,max=100,default=1"`
}
