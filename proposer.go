package wigeonstep

import "context"

// Proposer appends entries to the fleet stream and reports how the fold judged them. E is the type of an entry on the wire.
type Proposer[E any] interface {
	// Propose returns once the fold of this process has judged the entry, or when ctx ends.
	// The error wraps ErrUnavailable when the entry was certainly not appended and never will be,
	// ErrAnswerLost when it may yet be judged, and ErrRejected when the fold refused it.
	Propose(ctx context.Context, entry E) (Offset, error)
}
