package wigeonstate

import (
	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// State is the folded state. One goroutine applies records; the zero value is the state before the first record.
type State struct{}

// Verdict is how the fold judged one entry of a batch.
type Verdict struct {
	Session  wigeonstep.SessionID
	Sequence uint64
	// Index is the position of the entry in its batch.
	Index    int
	Entry    *wigeonwire.Entry
	Accepted bool
	// Reason is empty for an accepted entry.
	Reason string
}

// Apply folds the record at the offset and returns a verdict for each entry; a duplicate batch and an unreadable record have none.
func (s *State) Apply(offset wigeonstep.Offset, payload []byte) []Verdict { return nil }

// View returns the immutable picture of the state. Parts that did not change are shared with earlier views.
func (s *State) View() *View { return &View{} }

// Key returns what the fold knows of an idempotency key.
func (s *State) Key(key wigeonstep.Key) (*wigeonwire.Key, bool) { return nil, false }

// Job returns what the fold knows of a job.
func (s *State) Job(job wigeonstep.JobID) (*wigeonwire.Job, bool) { return nil, false }

// PendingJobs returns the jobs that are not ended and whose home is the session, in the order of their acceptance.
func (s *State) PendingJobs(home wigeonstep.SessionID) []*wigeonwire.Job { return nil }

// Change returns the verdict on a document change.
func (s *State) Change(change wigeonstep.ChangeID) (*wigeonwire.ChangeVerdict, bool) {
	return nil, false
}

// Explain returns the decisions kept for a subject, oldest first. kind is vm, pool, service, job, request or wave.
func (s *State) Explain(kind, subject string) []*wigeonwire.Explained { return nil }

// Encode returns the deterministic encoding of the state for a snapshot.
func (s *State) Encode() ([]byte, error) { return nil, nil }

// Decode restores a state from its encoding.
func Decode(data []byte) (*State, error) { return &State{}, nil }
