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

// StatusView is the value of the field view with which a status query selects the status of the fleet. Any other value is
// the kind and the ID of a subject, such as "vm/a1", and selects the explanation of that subject.
const StatusView = "status"

// StateReader provides access to the state that a process builds (folds) from the records of the log.
type StateReader interface {
	// Read calls fn and applies no record meanwhile. fn must not call methods of the reader.
	Read(fn func(state *wigeonstate.State))
	// ConfirmedAge returns the time since the state was last confirmed to be at the end of the log.
	ConfirmedAge() time.Duration
}

// AnswerStatusQuery returns the response to the status query of a peer, from the state of this process: a Status or an
// Explanation in JSON.
func AnswerStatusQuery(query *wigeonwire.StatusQuery, reader StateReader) (*wigeonwire.StatusData, error) {
	var result any
	if query.GetView() == StatusView {
		// The age is read first, because fn must not call other methods of the reader.
		age := reader.ConfirmedAge()
		reader.Read(func(state *wigeonstate.State) {
			status := NewStatus(state.View(), age)
			status.UnreadableRecords, status.DuplicateBatches = state.SkippedRecords()
			result = status
		})
	} else {
		kind, subject, err := ParseSubject(query.GetView())
		if err != nil {
			return nil, err
		}
		reader.Read(func(state *wigeonstate.State) { result = Explain(state, kind, subject) })
	}
	data, err := json.Marshal(result)
	if err != nil {
		return nil, fmt.Errorf("encode the response for view %q: %w", query.GetView(), err)
	}
	return &wigeonwire.StatusData{Json: data}, nil
}

// ParseSubject splits the view of a status query, such as "vm/a1", into the kind and the ID of a subject.
func ParseSubject(view string) (kind, subjectID string, err error) {
	kind, subjectID, found := strings.Cut(view, "/")
	if !found || subjectID == "" || !slices.Contains(SubjectKinds, kind) {
		return "", "", fmt.Errorf("%q is not one of %s followed by / and an id", view, strings.Join(SubjectKinds, ", "))
	}
	return kind, subjectID, nil
}
