package wigeonshard

import (
	"fmt"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// This file keeps a job that was submitted twice, to queues of different services, from running twice. The log orders the records
// of one partition only, so before the first start of a job its owner registers the job. The registry assigns each id to one
// partition; owners of other partitions mark the job as moved and pass its cancellation on.

// register asks for the registration of a job, unless a run of it has begun: an earlier owner has registered it then.
func (o *Owner) register(j *job) {
	if !o.settings.RegisterJobs || j.state != wigeonjob.StatePending {
		j.registered = true
		return
	}
	o.out.Registrations = append(o.out.Registrations, j.ID)
}

// JobRegistered records that the job is assigned to this shard, so that its runs may start.
func (o *Owner) JobRegistered(now Timestamp, id wigeonstep.JobID) {
	j := o.jobs[id]
	if j == nil || j.registered {
		return
	}
	j.registered = true
	o.stages[StageRegistered].add(now.Steady - j.readAt)
	if j.cancelled && !j.state.Terminal() {
		o.setFinalState(j, wigeonjob.StateCancelled)
	}
}

// JobMoved records that the job is assigned to another partition, so that it never starts here.
func (o *Owner) JobMoved(now Timestamp, id wigeonstep.JobID, holder wigeonstep.Partition) {
	j := o.jobs[id]
	if j == nil || j.registered || j.state.Terminal() {
		return
	}
	o.recordJobDecision("job_moved", j, fmt.Sprintf("partition %d holds it, which has another service", holder), now.Steady-j.acceptedAt)
	j.holder = holder
	o.stopJob(now, j)
	o.setFinalState(j, wigeonjob.StateMoved)
	if j.cancelled {
		o.forwardCancel(id, holder)
	}
}

// JobHolder returns the partition that holds a job in StateMoved, and 0 for other jobs.
func (o *Owner) JobHolder(id wigeonstep.JobID) wigeonstep.Partition {
	if j := o.jobs[id]; j != nil {
		return j.holder
	}
	return o.ended[id].holder
}

// forwardCancel passes the cancellation of a job on to the partition that holds it. holder is 0 if that is this one.
func (o *Owner) forwardCancel(id wigeonstep.JobID, holder wigeonstep.Partition) {
	if holder != 0 {
		o.out.ForwardedCancels = append(o.out.ForwardedCancels, ForwardedCancel{Job: id, Holder: holder})
	}
}
