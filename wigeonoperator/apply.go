package wigeonoperator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// Follower is what Apply uses of wigeonfollow.Follower.
type Follower interface {
	wigeonstep.Proposer[*wigeonwire.Entry]
	View() *wigeonstate.View
	Read(fn func(state *wigeonstate.State))
}

// Change is one change of a document.
type Change struct {
	ID wigeonstep.ChangeID
	// File is the name that faults show.
	File     string
	Content  []byte
	Operator string
	// Base is the version that the change was made from; nil takes the version in force.
	Base *wigeonstep.Version
}

// Verdict is how the fold judged a change.
type Verdict struct {
	Service  wigeonstep.ServiceName
	Accepted bool
	// Version is the version in force after the verdict.
	Version wigeonstep.Version
	Reason  string
	Offset  wigeonstep.Offset
	At      time.Time
}

// Apply proposes the change and returns the verdict of the fold. The error is a wigeonyaml.Faults when the document is
// not valid, and wraps wigeonstep.ErrAnswerLost when the change may yet be judged: the same change id then tells its verdict.
func Apply(ctx context.Context, follower Follower, change Change) (Verdict, error) {
	document, faults := wigeondocument.Parse(change.File, change.Content)
	if err := faults.Err(); err != nil {
		return Verdict{}, err
	}
	base := inForce(follower.View(), document.Service)
	if change.Base != nil {
		base = *change.Base
	}
	entry := &wigeonwire.Entry{Body: &wigeonwire.Entry_DocumentChange{DocumentChange: &wigeonwire.DocumentChange{
		ChangeId:    string(change.ID),
		Service:     string(document.Service),
		BaseVersion: uint64(base),
		Content:     change.Content,
		Operator:    change.Operator,
	}}}
	_, err := follower.Propose(ctx, entry)
	if err != nil && !errors.Is(err, wigeonstep.ErrRejected) {
		return Verdict{}, fmt.Errorf("apply %s: %w", change.File, err)
	}
	verdict, ok := readVerdict(follower, change.ID)
	if !ok {
		return Verdict{}, fmt.Errorf("apply %s: the fold holds no verdict on change %s: %w", change.File, change.ID, errors.Join(err, wigeonstep.ErrAnswerLost))
	}
	return verdict, nil
}

func inForce(view *wigeonstate.View, service wigeonstep.ServiceName) wigeonstep.Version {
	if current := view.Services[service]; current != nil {
		return current.Version
	}
	return 0
}

func readVerdict(follower Follower, id wigeonstep.ChangeID) (Verdict, bool) {
	var verdict Verdict
	found := false
	follower.Read(func(state *wigeonstate.State) {
		judged, ok := state.Change(id)
		if !ok {
			return
		}
		found = true
		verdict = Verdict{
			Service:  wigeonstep.ServiceName(judged.Service),
			Accepted: judged.Accepted,
			Version:  wigeonstep.Version(judged.Version),
			Reason:   judged.Reason,
			Offset:   wigeonstep.Offset(judged.Offset),
			At:       time.UnixMilli(judged.AtUnixMs).UTC(),
		}
	})
	return verdict, found
}
