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

// maxDocumentBytes bounds the size of a document, because every process holds all documents in memory.
const maxDocumentBytes = 64 << 10

// service holds the document in force for a service. The content and the change id are written to snapshots.
type service struct {
	view    *Service
	content []byte
	change  wigeonstep.ChangeID
}

// changeDocument applies a change of a document and stores its verdict under the change id, so that a client whose answer
// was lost can look it up.
func (s *State) changeDocument(change *wigeonwire.DocumentChange, r recordContext) string {
	id := wigeonstep.ChangeID(change.GetChangeId())
	if id == "" || change.GetService() == "" {
		return "the change has no id or no service"
	}
	if earlier := s.changeVerdicts[id]; earlier != nil {
		return fmt.Sprintf("change %s was judged before, at offset %d", id, earlier.GetOffset())
	}
	name := wigeonstep.ServiceName(change.GetService())
	reason := truncateUTF8(s.tryChangeDocument(name, change, r), maxReasonBytes)
	version := uint64(0)
	if current := s.services[name]; current != nil {
		version = uint64(current.view.Version)
	}
	s.changeVerdicts[id] = &wigeonwire.ChangeVerdict{
		ChangeId: string(id),
		Service:  string(name),
		Accepted: reason == "",
		Version:  version,
		Reason:   reason,
		Offset:   uint64(r.offset),
		AtUnixMs: s.foldTimeMS,
	}
	s.appendDecision(r, &wigeonwire.Decision{
		SubjectKind: "service",
		Subject:     string(name),
		Action:      "change document",
		Cause:       "change " + string(id) + " by " + change.GetOperator(),
		Rule:        "base version",
		Figures:     fmt.Sprintf("base %d, version %d", change.GetBaseVersion(), version),
	}, reason)
	return reason
}

// tryChangeDocument puts the document in force, or returns the reason why not. The change is a compare-and-set: its base
// version must be the version in force.
func (s *State) tryChangeDocument(name wigeonstep.ServiceName, change *wigeonwire.DocumentChange, r recordContext) string {
	if len(change.GetContent()) > maxDocumentBytes {
		return fmt.Sprintf("the document has %d bytes; at most %d are allowed", len(change.GetContent()), maxDocumentBytes)
	}
	current := s.services[name]
	version := wigeonstep.DocumentVersion(0)
	if current != nil {
		version = current.view.Version
	}
	if wigeonstep.DocumentVersion(change.GetBaseVersion()) != version {
		return describeBaseConflict(current, change)
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
			Version:        version + 1,
			Document:       document,
			Operator:       change.GetOperator(),
			AcceptedOffset: r.offset,
			AcceptedAt:     s.now(),
		},
		content: change.GetContent(),
		change:  wigeonstep.ChangeID(change.GetChangeId()),
	}
	s.stale.services = true
	return ""
}

// describeBaseConflict returns the reason for a base version that is not current: who put the version in force there, when,
// and what differs.
func describeBaseConflict(current *service, change *wigeonwire.DocumentChange) string {
	if current == nil {
		return fmt.Sprintf("base version %d is not current: the service has no document, its base version is 0", change.GetBaseVersion())
	}
	return fmt.Sprintf("base version %d is not current: version %d was accepted from %s at %s (change %s); %s",
		change.GetBaseVersion(), current.view.Version, current.view.Operator, current.view.AcceptedAt.Format(time.RFC3339),
		current.change, describeDifferences(current.content, change.GetContent()))
}

// conflicts returns the reasons why the document contradicts the documents of other services or the pools of the fleet.
func (s *State) conflicts(document *wigeondocument.Document) []string {
	fleet := wigeondocument.Fleet{Pools: make(map[wigeonstep.PoolName]int)}
	// The documents are sorted, because the reasons become part of the state, which must be the same in every process.
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		fleet.Documents = append(fleet.Documents, s.services[name].view.Document)
	}
	// Conflicts uses the number of slots only for the pool of the checked document.
	for _, pool := range s.listedPools {
		fleet.Pools[wigeonstep.PoolName(pool)] = 0
	}
	if poolMembers := s.poolMembers[document.Pool]; len(poolMembers) > 0 {
		slots := 0
		for _, vm := range poolMembers {
			slots += vm.Shape.Slots
		}
		fleet.Pools[document.Pool] = slots
	}
	return wigeondocument.Conflicts(document, fleet)
}

// parseDocument returns the checked document, or all faults of its content as one text.
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
