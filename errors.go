package wigeonstep

import (
	"errors"
	"fmt"
)

var (
	// ErrUnavailable means that a peer could not be reached and that the call had no effect.
	ErrUnavailable = errors.New("peer is not available")
	// ErrAnswerLost means that a call may have taken effect although its answer did not arrive.
	ErrAnswerLost = errors.New("the answer was lost; the call may have taken effect")
	// ErrCompacted means that the log no longer holds the offset.
	ErrCompacted = errors.New("the log no longer holds the offset")
	// ErrRejected means that a peer refused the call and that the call had no effect.
	ErrRejected = errors.New("peer rejected the call")
	// ErrFenced means that the peer has seen a higher fencing token and that the call had no effect.
	ErrFenced = errors.New("a higher fencing token was seen")
	// ErrWorkerGone means that another life of the worker answered and that the call had no effect.
	ErrWorkerGone = errors.New("the worker has been replaced")
	// ErrBusy means that the VM is not up and that the call had no effect.
	ErrBusy = errors.New("the VM is not up")
)

// StepError is an error of one step towards one peer.
type StepError struct {
	// Step names what was attempted, for example "log append".
	Step string
	// Peer is the address or name of the peer.
	Peer string
	Err  error
}

// Error implements error.
func (e *StepError) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *StepError) Unwrap() error {
	return e.Err
}
