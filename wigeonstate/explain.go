package wigeonstate

import (
	"cmp"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// maxDecisionsPerSubject bounds the number of decisions kept for a subject.
	maxDecisionsPerSubject = 50
	decisionRetention      = 7 * 24 * time.Hour
)

// subject identifies the object of a decision by its kind, such as vm or pool, and its name.
type subject struct {
	kind, name string
}

func (a subject) compare(b subject) int {
	return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.name, b.name))
}

// decisionHistory holds the decisions about a subject, oldest first, as length-delimited wigeonwire.Explained messages.
// Encoded messages take about a third of the memory of decoded ones.
type decisionHistory struct {
	data  []byte
	count int
}

// recordDecision applies an entry that only documents a decision.
func (s *State) recordDecision(decision *wigeonwire.Decision, r recordContext) string {
	if decision.GetSubjectKind() == "" || decision.GetSubject() == "" {
		return "the decision has no subject"
	}
	s.appendDecision(r, decision, "")
	return ""
}

// appendDecision adds a decision and its verdict to the history of its subject. refusal is "" for an accepted decision.
func (s *State) appendDecision(r recordContext, decision *wigeonwire.Decision, refusal string) {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(&wigeonwire.Explained{
		Offset:   uint64(r.offset),
		AtUnixMs: s.foldTimeMS,
		Session:  uint64(r.session.view.ID),
		Decision: decision,
		Accepted: refusal == "",
		Verdict:  refusal,
	})
	if err != nil {
		// Encoding fails only for strings that are not valid UTF-8, and a record with such a string cannot be decoded.
		return
	}
	about := subject{decision.GetSubjectKind(), decision.GetSubject()}
	history := s.decisionHistories[about]
	if history == nil {
		history = &decisionHistory{}
		s.decisionHistories[about] = history
	}
	history.add(encoded)
	history.expire(s.foldTimeMS)
}

// add appends an encoded decision. It removes the oldest decision of a full history.
func (h *decisionHistory) add(encoded []byte) {
	data := h.data
	if h.count == maxDecisionsPerSubject {
		_, size := protowire.ConsumeBytes(data)
		data = data[size:]
		h.count--
	}
	extended := make([]byte, 0, len(data)+len(encoded)+protowire.SizeVarint(uint64(len(encoded))))
	h.data = protowire.AppendBytes(append(extended, data...), encoded)
	h.count++
}

// expire removes the decisions that are older than decisionRetention.
func (h *decisionHistory) expire(nowMS int64) {
	for h.count > 0 {
		encoded, size := protowire.ConsumeBytes(h.data)
		var oldest wigeonwire.Explained
		if proto.Unmarshal(encoded, &oldest) == nil && nowMS-oldest.GetAtUnixMs() <= decisionRetention.Milliseconds() {
			return
		}
		h.data = h.data[size:]
		h.count--
	}
}

// Decisions returns the decisions kept for a subject, oldest first. The kind is vm, pool, service, job, request or wave.
func (s *State) Decisions(kind, name string) []*wigeonwire.Explained {
	history := s.decisionHistories[subject{kind, name}]
	if history == nil {
		return nil
	}
	explained := make([]*wigeonwire.Explained, 0, history.count)
	for data := history.data; len(data) > 0; {
		encoded, size := protowire.ConsumeBytes(data)
		data = data[size:]
		var message wigeonwire.Explained
		if proto.Unmarshal(encoded, &message) == nil {
			explained = append(explained, &message)
		}
	}
	return explained
}
