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

// Follower is the part of wigeonfollow.Follower that this package uses.
type Follower interface {
	wigeonstep.Proposer[*wigeonwire.Entry]
	View() *wigeonstate.View
	Read(fn func(state *wigeonstate.State))
}

// Change is a proposed new content of a service document.
type Change struct {
	// ID identifies the change. Another Apply with the same ID returns the same verdict while the fold retains it.
	ID wigeonstep.ChangeID
	// File is the file name in messages about faults of the document.
	File     string
	Content  []byte
	Operator string
	// Base is the version that the change was made from. With nil, it is the version in force in the view.
	Base *wigeonstep.DocumentVersion
}

// Verdict is the decision of the fold about a change.
type Verdict struct {
	Service  wigeonstep.ServiceName
	Accepted bool
	// Version is the version in force after the verdict.
	Version wigeonstep.DocumentVersion
	// Reason is the reason of a refusal.
	Reason string
	// Offset is the offset of the record with the change, and At the fold time at that record.
	Offset wigeonstep.Offset
	At     time.Time
}

// Apply proposes the change and returns the verdict of the fold, which may be a refusal. The error is a
// wigeonyaml.Faults when the document is not valid. It wraps wigeonstep.ErrAnswerLost when the change may still be
// accepted: another Apply with the same change ID then returns the verdict.
func Apply(ctx context.Context, follower Follower, change Change) (Verdict, error) {
	document, faults := wigeondocument.Parse(change.File, change.Content)
	if err := faults.Err(); err != nil {
		return Verdict{}, err
	}
	base := versionInForce(follower.View(), document.Service)
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
		return Verdict{}, fmt.Errorf("apply %s: no verdict on change %s among the applied records: %w", change.File, change.ID, errors.Join(err, wigeonstep.ErrAnswerLost))
	}
	return verdict, nil
}

// versionInForce returns the version in force of a service, or 0 when it has none.
func versionInForce(view *wigeonstate.View, service wigeonstep.ServiceName) wigeonstep.DocumentVersion {
	if current := view.Services[service]; current != nil {
		return current.Version
	}
	return 0
}

// readVerdict returns the verdict on a change, or false when the state holds none.
func readVerdict(follower Follower, id wigeonstep.ChangeID) (Verdict, bool) {
	var verdict Verdict
	found := false
	follower.Read(func(state *wigeonstate.State) {
		record, ok := state.ChangeVerdict(id)
		if !ok {
			return
		}
		found = true
		verdict = Verdict{
			Service:  wigeonstep.ServiceName(record.Service),
			Accepted: record.Accepted,
			Version:  wigeonstep.DocumentVersion(record.Version),
			Reason:   record.Reason,
			Offset:   wigeonstep.Offset(record.Offset),
			At:       time.UnixMilli(record.AtUnixMs).UTC(),
		}
	})
	return verdict, found
}
