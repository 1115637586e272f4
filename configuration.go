package wigeonstep

import "time"

// ConfigVersion is the version of a configuration. It rises with each change, in uneven steps.
type ConfigVersion uint64

// AdvicePolicy says how long the advice service takes for a queue.
type AdvicePolicy struct {
	Decide time.Duration
	Each   time.Duration
	Valid  time.Duration
}

// QueuePolicy is how a queue treats its jobs.
type QueuePolicy struct {
	// Attempts bounds the failures of one task; at least 1.
	Attempts int
	// Priority orders queues; 0 comes first.
	Priority int
	// Stretch times the longest chain of a job, plus Target, is the time in which it should be done.
	Stretch float64
	Target  time.Duration
	// Advice is nil when every worker of the service may run the steps.
	Advice *AdvicePolicy
}

// Queue is a queue of jobs and the address at which clients hand them in.
type Queue struct {
	Name QueueName
	// Host and PathPrefix select the queue; the longest prefix wins.
	Host       string
	PathPrefix string
	// Service names the workers that run the tasks.
	Service ServiceName
	// Timeout bounds a request of a client.
	Timeout time.Duration
	Policy  QueuePolicy
}

// PoolService is a service in the configuration: a pool of VMs.
type PoolService struct {
	Name ServiceName
	// Guarded is set when the workers refuse what does not fit.
	Guarded bool
	// Spare is set when the VMs of the pool are off.
	Spare bool
}

// Configuration is what the operator wants, in full.
type Configuration struct {
	Version  ConfigVersion
	Queues   []Queue
	Services []PoolService
}

// Wave is the operator's request that VMs have their upkeep.
type Wave struct {
	Number int
	VMs    []VMID
	// Period is the time in which all VMs should have had it.
	Period time.Duration
	// MaxCount bounds the VMs that may be down for the wave at once.
	MaxCount int
}

// OperatorRecord is one record of the operator: one of its fields is set.
type OperatorRecord struct {
	Configuration *Configuration
	Wave          *Wave
}

// Decoder reads the records that the operator and the workers write.
type Decoder interface {
	DecodeOperator(record KeyedRecord) (OperatorRecord, error)
	// DecodeWorker returns the worker of an entry; an error means that the entry names no worker to use.
	DecodeWorker(record KeyedRecord) (ListedWorker, error)
}
