package wigeonoperator

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// StatusView is the view of a status query; any other view is a kind and a subject, such as "vm/a1".
const StatusView = "status"

// StateReader gives access to the folded state of a process.
type StateReader interface {
	// Read calls fn while no record is applied. fn must not call the reader.
	Read(fn func(state *wigeonstate.State))
	// ConfirmedAge returns the time since the state was known to be at the end of the log.
	ConfirmedAge() time.Duration
}

// Answer answers a status query of a peer from the state of this process.
func Answer(query *wigeonwire.StatusQuery, reader StateReader) (*wigeonwire.StatusData, error) {
	var answer any
	if query.GetView() == StatusView {
		// The age is read first, because Read excludes the other methods of a follower.
		age := reader.ConfirmedAge()
		reader.Read(func(state *wigeonstate.State) {
			status := NewStatus(state.View(), age)
			status.UnreadableRecords, status.DuplicateBatches = state.Counters()
			answer = status
		})
	} else {
		kind, subject, err := ParseSubject(query.GetView())
		if err != nil {
			return nil, err
		}
		reader.Read(func(state *wigeonstate.State) { answer = Explain(state, kind, subject) })
	}
	data, err := json.Marshal(answer)
	if err != nil {
		return nil, fmt.Errorf("encode answer to %q: %w", query.GetView(), err)
	}
	return &wigeonwire.StatusData{Json: data}, nil
}

// ParseSubject splits a view such as "vm/a1" into its kind and subject.
func ParseSubject(view string) (kind, subject string, err error) {
	kind, subject, found := strings.Cut(view, "/")
	if !found || subject == "" || !slices.Contains(Kinds, kind) {
		return "", "", fmt.Errorf("%q is not one of %s followed by / and an id", view, strings.Join(Kinds, ", "))
	}
	return kind, subject, nil
}
