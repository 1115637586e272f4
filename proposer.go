package wigeonstep

import "context"

// Proposer appends entries to the fleet stream and reports whether the fold accepted them. E is the wire type of an entry.
type Proposer[E any] interface {
	// Propose returns once the fold of this process has accepted or rejected the entry, or when ctx ends. The error wraps
	// ErrUnavailable if the entry was not appended and never will be, ErrAnswerLost if the fold may still accept it, and
	// ErrRejected if the fold rejected it.
	Propose(ctx context.Context, entry E) (Offset, error)
}
