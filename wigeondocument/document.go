// Package wigeondocument parses and checks service documents. A service document states the capacity, availability and request
// classes of one service.
package wigeondocument

import (
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// Document is the service document of one service. Parse returns only documents that pass all checks, with defaults filled in.
type Document struct {
	Service wigeonstep.ServiceName `yaml:"service" check:"required,format=name"`
	Team    wigeonstep.TeamName    `yaml:"team" check:"required,format=name"`
	// Pool is never the spare pool.
	Pool         wigeonstep.PoolName `yaml:"pool" check:"required,format=name"`
	Capacity     Capacity            `yaml:"capacity" check:"required"`
	Availability Availability        `yaml:"availability"`
	Share        Share               `yaml:"share"`
	// Classes holds at least one class. Class names are unique within the team.
	Classes     []Class     `yaml:"classes" check:"required"`
	Maintenance Maintenance `yaml:"maintenance"`
	Objective   Objective   `yaml:"objective"`
}

// Capacity is the number of workers that the service needs when nothing fails, and their minimum shape.
type Capacity struct {
	Workers int `yaml:"workers" check:"required,min=1,max=100000"`
	// Cores, MemoryGB and Accelerators are minimums per worker; zero means no requirement.
	Cores        int `yaml:"cores" check:"max=4096"`
	MemoryGB     int `yaml:"memory_gb" check:"max=65536"`
	Accelerators int `yaml:"accelerators" check:"max=64"`
}

// Shape returns the minimum shape of a worker of the service.
func (c Capacity) Shape() wigeonstep.Shape {
	return wigeonstep.Shape{Cores: c.Cores, MemoryGB: c.MemoryGB, Accelerators: c.Accelerators}
}

// FailureDomain is a set of VMs that fail together.
type FailureDomain string

const (
	// DomainNone reserves no headroom beyond the failure of single VMs.
	DomainNone FailureDomain = "none"
	// DomainRack reserves headroom for the failure of one rack.
	DomainRack FailureDomain = "rack"
	// DomainDataCentre reserves headroom for the failure of one data centre.
	DomainDataCentre FailureDomain = "data_centre"
)

// Availability is the disruption budget of the service's pool. Workers that are unavailable because of failures and those
// that are unavailable because of planned drains count together. A drain that would exceed the budget is refused.
type Availability struct {
	// MaxUnavailableWorkers is the number of workers of the pool that may be unavailable at a time, default 1. The smallest
	// value of the documents of the pool applies.
	MaxUnavailableWorkers int `yaml:"max_unavailable_workers" check:"min=1,max=100000,default=1"`
	// MaxUnavailablePerRack is the number of workers of the pool in one rack that may be unavailable at a time; zero means no
	// limit per rack.
	MaxUnavailablePerRack int `yaml:"max_unavailable_per_rack" check:"max=100000"`
	// Survive is the kind of failure domain that the pool has headroom for the failure of, default none. The largest kind in
	// the documents of the pool applies.
	Survive FailureDomain `yaml:"survive" check:"oneof=none|rack|data_centre,default=none"`
}

// Share is the service's share of the slots of its pool.
type Share struct {
	// Weight is the weight of the service in weighted max-min fair sharing, default 1.
	Weight int `yaml:"weight" check:"min=1,max=1000,default=1"`
	// GuaranteedSlots is the minimum number of slots that the service gets while it has enough work to use them. A document is
	// refused if the documents of its pool would together guarantee more slots than the pool has (Conflicts).
	GuaranteedSlots int `yaml:"guaranteed_slots" check:"max=1000000"`
	// MaxSlots is the maximum number of slots in use at a time; zero means no limit.
	MaxSlots int `yaml:"max_slots" check:"max=1000000"`
}

// ClassKind distinguishes synchronous requests from durable jobs.
type ClassKind string

const (
	// KindShort is a synchronous request: the caller waits for the answer.
	KindShort ClassKind = "short"
	// KindLong is a durable job: the caller gets a job id and can query the job.
	KindLong ClassKind = "long"
)

// RetryPolicy determines whether a failed request is sent again.
type RetryPolicy string

const (
	// RetryNever sends each request once.
	RetryNever RetryPolicy = "never"
	// RetrySafe sends a request again if it is certain that it did not run, or if the class is idempotent.
	RetrySafe RetryPolicy = "safe"
)

// Class describes the requests of one class of the service.
type Class struct {
	Name wigeonstep.ClassName `yaml:"name" check:"required,format=name"`
	// Kind defaults to short.
	Kind       ClassKind `yaml:"kind" check:"oneof=short|long,default=short"`
	Idempotent bool      `yaml:"idempotent"`
	// DeadlineMS is the total time allowed for a request whose caller sets no deadline, in milliseconds, default 10000.
	DeadlineMS int `yaml:"deadline_ms" check:"min=1,max=86400000,default=10000"`
	// MaxQueueMS is the longest time that a request waits for a slot, in milliseconds, default 4700. It is ignored for long
	// classes.
	MaxQueueMS int `yaml:"max_queue_ms" check:"min=1,max=4700,default=4700"`
	// ExpectedRunMS is the initial estimate of the run time, in milliseconds, default 100.
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

// Maintenance controls the drains of the VMs of the service's pool.
type Maintenance struct {
	// MaxDrainS bounds the time for which a drain waits for running work, in seconds, default 300. The greatest value of the
	// documents of the pool applies. After it, long work is checkpointed if Checkpoint allows that; if work is still in flight
	// then, the VM returns to service and drains again later.
	MaxDrainS int `yaml:"max_drain_s" check:"min=1,max=604800,default=300"`
	// Checkpoint allows the VM to be told to checkpoint and stop long work after MaxDrainS. It applies only if all documents
	// of the pool set it.
	Checkpoint bool `yaml:"checkpoint"`
}

// MaxDrain returns MaxDrainS as a duration.
func (m Maintenance) MaxDrain() time.Duration { return time.Duration(m.MaxDrainS) * time.Second }

// Objective weighs the capacity of the pool (BufferWeight) against moves of VMs between pools (MovesWeight). A shortage of VMs
// has to last for 60 s x the sum of the MovesWeights / the sum of the BufferWeights of the pool's documents, and at least 15 s,
// before a VM moves to the pool. A surplus has to last for ten times as long before a VM moves to the spare pool.
type Objective struct {
	// BufferWeight is the weight of the pool's capacity, default 1. A greater one makes VMs move sooner.
	BufferWeight int `yaml:"buffer_weight" check:"min=1,max=100,default=1"`
	// MovesWeight is the weight of a move, default 1. A greater one makes VMs move later.
	MovesWeight int `yaml:"moves_weight" check:"min=1,max=100,default=1"`
}
