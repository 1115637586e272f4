package wigeonstate

import (
	"cmp"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// historyLength bounds the decisions kept for a subject.
	historyLength   = 50
	historyLifetime = 7 * 24 * time.Hour
)

// subject is what decisions are about.
type subject struct {
	kind, name string
}

func (a subject) compare(b subject) int {
	return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.name, b.name))
}

// history holds the decisions of a subject, oldest first, as length-delimited wigeonwire.Explained messages.
// Encoded they take about a third of the memory of the messages.
type history struct {
	data  []byte
	count int
}

// decide records a decision that changes no other state.
func (s *State) decide(decision *wigeonwire.Decision, r record) string {
	if decision.GetSubjectKind() == "" || decision.GetSubject() == "" {
		return "the decision has no subject"
	}
	s.explain(r, decision, "")
	return ""
}

// explain keeps a decision and its verdict.
func (s *State) explain(r record, decision *wigeonwire.Decision, refusal string) {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(&wigeonwire.Explained{
		Offset:   uint64(r.offset),
		AtUnixMs: s.timeMS,
		Session:  uint64(r.session.view.ID),
		Decision: decision,
		Accepted: refusal == "",
		Verdict:  refusal,
	})
	if err != nil {
		// Only text that is not UTF-8 cannot be encoded, and decoding the record refused that before.
		return
	}
	about := subject{decision.GetSubjectKind(), decision.GetSubject()}
	kept := s.histories[about]
	if kept == nil {
		kept = &history{}
		s.histories[about] = kept
	}
	kept.add(encoded)
	kept.expire(s.timeMS)
}

func (h *history) add(encoded []byte) {
	data := h.data
	if h.count == historyLength {
		_, size := protowire.ConsumeBytes(data)
		data = data[size:]
		h.count--
	}
	grown := make([]byte, 0, len(data)+len(encoded)+protowire.SizeVarint(uint64(len(encoded))))
	h.data = protowire.AppendBytes(append(grown, data...), encoded)
	h.count++
}

// expire drops decisions older than their lifetime.
func (h *history) expire(nowMS int64) {
	for h.count > 0 {
		encoded, size := protowire.ConsumeBytes(h.data)
		var oldest wigeonwire.Explained
		if proto.Unmarshal(encoded, &oldest) == nil && nowMS-oldest.GetAtUnixMs() <= historyLifetime.Milliseconds() {
			return
		}
		h.data = h.data[size:]
		h.count--
	}
}

// Explain returns the decisions kept for a subject, oldest first. kind is vm, pool, service, job, request or wave.
func (s *State) Explain(kind, name string) []*wigeonwire.Explained {
	kept := s.histories[subject{kind, name}]
	if kept == nil {
		return nil
	}
	explained := make([]*wigeonwire.Explained, 0, kept.count)
	for data := kept.data; len(data) > 0; {
		encoded, size := protowire.ConsumeBytes(data)
		data = data[size:]
		var message wigeonwire.Explained
		if proto.Unmarshal(encoded, &message) == nil {
			explained = append(explained, &message)
		}
	}
	return explained
}
