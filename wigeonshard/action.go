package wigeonshard

import (
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// Start is an order to start a run. It may leave only after the append that carried the run was acknowledged.
type Start struct {
	Worker wigeonstep.WorkerRef
	Order  wigeonstep.StartOrder
}

// Stop is an order to stop a run.
type Stop struct {
	Worker wigeonstep.WorkerRef
	Run    wigeonstep.RunID
}

// Hold is an order to extend the lease of a worker and to ask what runs there.
type Hold struct {
	Worker wigeonstep.WorkerRef
	Order  wigeonstep.HoldOrder
}

// Pace is an order to let a run work at a share of its speed.
type Pace struct {
	Worker  wigeonstep.WorkerRef
	Run     wigeonstep.RunID
	Percent int
}

// Question asks the advice service about a step.
type Question struct {
	Job        wigeonstep.JobID
	Occurrence int
	Step       int
	Workers    []wigeonstep.WorkerID
}

// Note is one decision for the log and for explain.
type Note struct {
	Event  string
	Run    wigeonstep.RunID
	Worker wigeonstep.WorkerID
	// Cause says what decided, in a few words.
	Cause string
	// Age is how old the input was that decided; 0 when it does not age.
	Age time.Duration
}

// Actions are what the owner wants done, in any order.
type Actions struct {
	// Append is nil when nothing has to be written. The result goes to Flushed before another one is returned.
	Append    []wigeonstep.KeyedRecord
	Starts    []Start
	Stops     []Stop
	Holds     []Hold
	Paces     []Pace
	Questions []Question
	Notes     []Note
}
