package wigeonstate

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// maxDocumentBytes bounds a document, because every process holds every document.
const maxDocumentBytes = 64 << 10

// service is a document in force with what the snapshot needs to restore it.
type service struct {
	view    *Service
	content []byte
	change  wigeonstep.ChangeID
}

// changeDocument judges a change of a document. The base version makes the change a compare-and-set.
func (s *State) changeDocument(change *wigeonwire.DocumentChange, r record) string {
	id := wigeonstep.ChangeID(change.GetChangeId())
	if id == "" || change.GetService() == "" {
		return "the change has no id or no service"
	}
	if judged := s.changes[id]; judged != nil {
		return fmt.Sprintf("change %s was judged before, at offset %d", id, judged.GetOffset())
	}
	name := wigeonstep.ServiceName(change.GetService())
	reason := shorten(s.tryChange(name, change, r), maxReasonBytes)
	version := uint64(0)
	if current := s.services[name]; current != nil {
		version = uint64(current.view.Version)
	}
	s.changes[id] = &wigeonwire.ChangeVerdict{
		ChangeId: string(id),
		Service:  string(name),
		Accepted: reason == "",
		Version:  version,
		Reason:   reason,
		Offset:   uint64(r.offset),
		AtUnixMs: s.timeMS,
	}
	s.explain(r, &wigeonwire.Decision{
		SubjectKind: "service",
		Subject:     string(name),
		Action:      "change document",
		Cause:       "change " + string(id) + " by " + change.GetOperator(),
		Rule:        "base version",
		Figures:     fmt.Sprintf("base %d, version %d", change.GetBaseVersion(), version),
	}, reason)
	return reason
}

func (s *State) tryChange(name wigeonstep.ServiceName, change *wigeonwire.DocumentChange, r record) string {
	if len(change.GetContent()) > maxDocumentBytes {
		return fmt.Sprintf("the document has %d bytes; at most %d are allowed", len(change.GetContent()), maxDocumentBytes)
	}
	current := s.services[name]
	version := wigeonstep.Version(0)
	if current != nil {
		version = current.view.Version
	}
	if wigeonstep.Version(change.GetBaseVersion()) != version {
		return lostRace(current, change)
	}
	document, reason := parseDocument(string(name), change.GetContent())
	if reason != "" {
		return reason
	}
	if document.Service != name {
		return fmt.Sprintf("the document names service %q and the change service %q", document.Service, name)
	}
	if conflicts := s.conflicts(document); len(conflicts) > 0 {
		return strings.Join(conflicts, "; ")
	}
	s.services[name] = &service{
		view: &Service{
			Version:  version + 1,
			Document: document,
			Operator: change.GetOperator(),
			Offset:   r.offset,
			At:       s.now(),
		},
		content: change.GetContent(),
		change:  wigeonstep.ChangeID(change.GetChangeId()),
	}
	s.stale.services = true
	return ""
}

// lostRace tells the operator who won, when, and what differs.
func lostRace(current *service, change *wigeonwire.DocumentChange) string {
	if current == nil {
		return fmt.Sprintf("base version %d is not current: the service has no document, its base version is 0", change.GetBaseVersion())
	}
	return fmt.Sprintf("base version %d is not current: version %d was accepted from %s at %s (change %s); %s",
		change.GetBaseVersion(), current.view.Version, current.view.Operator, current.view.At.Format(time.RFC3339),
		current.change, difference(current.content, change.GetContent()))
}

// conflicts checks the document against the other documents and the pools of the fleet.
func (s *State) conflicts(document *wigeondocument.Document) []string {
	fleet := wigeondocument.Fleet{Pools: make(map[wigeonstep.PoolName]int)}
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		fleet.Documents = append(fleet.Documents, s.services[name].view.Document)
	}
	for _, pool := range s.listed {
		fleet.Pools[wigeonstep.PoolName(pool)] = 0
	}
	if members := s.members[document.Pool]; len(members) > 0 {
		slots := 0
		for _, vm := range members {
			slots += vm.Shape.Slots
		}
		fleet.Pools[document.Pool] = slots
	}
	return wigeondocument.Conflicts(document, fleet)
}

// parseDocument returns the checked document or every fault of its content.
func parseDocument(name string, content []byte) (*wigeondocument.Document, string) {
	document, faults := wigeondocument.Parse(name, content)
	if len(faults) == 0 {
		return document, ""
	}
	texts := make([]string, len(faults))
	for i, fault := range faults {
		texts[i] = fault.String()
	}
	return nil, strings.Join(texts, "; ")
}
