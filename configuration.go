package wigeonstep

import "time"

// ConfigVersion is the version of a configuration. It increases with each change, not always by one.
type ConfigVersion uint64

// AdvicePolicy holds the configured times of the advice service for a queue: DecideTime is decide_ms, PerWorkerTime is
// each_ms and TicketTTL is valid_ms. They are recorded with each job; the scheduler checks only whether a queue has an
// AdvicePolicy.
type AdvicePolicy struct {
	DecideTime    time.Duration
	PerWorkerTime time.Duration
	TicketTTL     time.Duration
}

// QueuePolicy holds the rules by which the jobs of a queue are scheduled.
type QueuePolicy struct {
	// MaxAttempts is the number of failures of one task after which its job fails; at least 1.
	MaxAttempts int
	// Priority orders queues; 0 is the highest priority.
	Priority int
	// ObjectiveFactor and ObjectiveBase give the time objective of a job: ObjectiveFactor times the estimated duration of
	// its longest chain of steps, plus ObjectiveBase.
	ObjectiveFactor float64
	ObjectiveBase   time.Duration
	// Advice is nil if every worker of the service may run the steps. Otherwise a step starts only on workers for which
	// the advice service issued a ticket.
	Advice *AdvicePolicy
}

// Queue is a queue of jobs and the address at which clients submit them.
type Queue struct {
	Name QueueName
	// Host and PathPrefix select the queue of a request; the longest matching prefix wins.
	Host       string
	PathPrefix string
	// Service is the service whose workers run the tasks.
	Service ServiceName
	// Timeout bounds the handling of a client's request.
	Timeout time.Duration
	// Public is set if calls on the queue need no credential. Its jobs belong to no team.
	Public bool
	Policy QueuePolicy
}

// PoolService is a service in the configuration: a pool of VMs.
type PoolService struct {
	Name ServiceName
	// AdmissionCheck is set when the workers reject runs that exceed their free capacity.
	AdmissionCheck bool
	// Spare is set for a pool of VMs that are off.
	Spare bool
}

// Configuration is the complete desired configuration set by the operator.
type Configuration struct {
	Version  ConfigVersion
	Queues   []Queue
	Services []PoolService
	// Teams holds the teams in the order of the operator's record; empty if the deployment has none.
	Teams        []Team
	ClientLimits ClientLimits
}

// Wave is the operator's request for the maintenance of a list of VMs.
type Wave struct {
	Number int
	VMs    []VMID
	// Period is the time within which the maintenance of all VMs should be done.
	Period time.Duration
	// MaxDown bounds the number of VMs that are down for the wave at once.
	MaxDown int
}

// OperatorRecord is one record written by the operator. One of its fields is set.
type OperatorRecord struct {
	Configuration *Configuration
	Wave          *Wave
}

// Decoder decodes the records that the operator and the workers write.
type Decoder interface {
	DecodeOperator(record KeyedRecord) (OperatorRecord, error)
	// DecodeConfiguration decodes the value of a record in which DecodeOperator finds a configuration.
	DecodeConfiguration(value []byte) (*Configuration, error)
	// DecodeWorker returns the worker in a record. An error means that the record describes no worker that can be used.
	DecodeWorker(record KeyedRecord) (ListedWorker, error)
}
