package wigeonshard

import "github.com/wigeonstep/wigeonstep"

// DropEndedJobs removes ended jobs from the log and from memory. Jobs that this owner still holds are skipped.
func (o *Owner) DropEndedJobs(ended []wigeonstep.JobID) {
	for _, id := range ended {
		if o.jobs[id] == nil {
			delete(o.ended, id)
			o.droppedJobs = append(o.droppedJobs, id)
		}
	}
}

// DropRecords removes records from the log that no decision of the owner depends on.
func (o *Owner) DropRecords(keys []string) {
	o.droppedKeys = append(o.droppedKeys, keys...)
}
