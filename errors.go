package wigeonstep

import (
	"errors"
	"fmt"
)

var (
	// ErrUnavailable means that the peer did not process the call, for example because it could not be reached. The call
	// had no effect.
	ErrUnavailable = errors.New("peer is not available")
	// ErrAnswerLost means that the answer to a call did not arrive. The call may have taken effect.
	ErrAnswerLost = errors.New("the answer was lost; the call may have taken effect")
	// ErrConnectionClosed means that the peer closed or refused the connection of a call. It comes together with ErrUnavailable
	// or ErrAnswerLost, which say whether the call may have taken effect.
	ErrConnectionClosed = errors.New("the peer closed the connection")
	// ErrCompacted means that the log no longer holds the records at the requested offset.
	ErrCompacted = errors.New("the log no longer holds the offset")
	// ErrRejected means that the peer rejected the call. The call had no effect.
	ErrRejected = errors.New("peer rejected the call")
	// ErrFenced means that the peer rejected the call because it has seen a higher fencing token. The call had no effect.
	ErrFenced = errors.New("a higher fencing token was seen")
	// ErrWorkerReplaced means that a worker with another id answered at the worker's address. The call had no effect.
	ErrWorkerReplaced = errors.New("the worker has been replaced")
	// ErrVMNotUp means that the VM can't be maintained or moved because it is not up. The call had no effect.
	ErrVMNotUp = errors.New("the VM is not up")
)

// StepError adds the failed operation and the peer to an error.
type StepError struct {
	// Step is the name of the operation, for example "log append".
	Step string
	// Peer is the address or name of the peer on which the operation was attempted.
	Peer string
	Err  error
}

// Error implements error.
func (e *StepError) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns Err.
func (e *StepError) Unwrap() error {
	return e.Err
}
