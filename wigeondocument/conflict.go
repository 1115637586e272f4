package wigeondocument

import (
	"fmt"
	"strconv"

	"github.com/wigeonstep/wigeonstep"
)

// Fleet holds the documents and pools of the fleet against which Conflicts checks a document.
type Fleet struct {
	// Documents holds the documents in force. One of the same service as the checked document is ignored, since the checked
	// document would replace it.
	Documents []*Document
	// Pools holds the pools that exist. The value of the checked document's pool is the total number of slots of its VMs; 0, as
	// for a pool without VMs, skips the check of the guaranteed slots. The other values are not used. A nil map skips all checks
	// of pools.
	Pools map[wigeonstep.PoolName]int
}

// Conflicts returns the reasons why the document cannot be in force in the fleet, or none. The reasons follow the order of
// fleet.Documents, so a caller that needs the same reasons in every process has to sort the documents.
func Conflicts(document *Document, fleet Fleet) []string {
	var reasons []string
	guaranteed := document.Share.GuaranteedSlots
	for _, other := range fleet.Documents {
		if other.Service == document.Service {
			continue
		}
		if other.Pool == document.Pool {
			guaranteed += other.Share.GuaranteedSlots
		}
		reasons = append(reasons, classConflicts(document, other)...)
	}
	if fleet.Pools == nil {
		return reasons
	}
	slots, known := fleet.Pools[document.Pool]
	if !known {
		return append(reasons, fmt.Sprintf("pool: the platform has no pool %q", document.Pool))
	}
	if slots > 0 && guaranteed > slots {
		reasons = append(reasons, fmt.Sprintf("share.guaranteed_slots: the documents of pool %q guarantee %d slots together; the pool has %d", document.Pool, guaranteed, slots))
	}
	return reasons
}

// classConflicts returns a reason for each class whose name another service of the same team uses.
func classConflicts(document, other *Document) []string {
	if document.Team != other.Team {
		return nil
	}
	var reasons []string
	for i, class := range document.Classes {
		if _, ok := other.Class(class.Name); ok {
			reasons = append(reasons, fmt.Sprintf("%s.name: team %q has a class %q in service %q already", indexedKey("classes", i), document.Team, class.Name, other.Service))
		}
	}
	return reasons
}

// Class returns the class with the name, and false when the document has no such class.
func (d *Document) Class(name wigeonstep.ClassName) (*Class, bool) {
	for i := range d.Classes {
		if d.Classes[i].Name == name {
			return &d.Classes[i], true
		}
	}
	return nil, false
}

func indexedKey(key string, i int) string {
	return key + "[" + strconv.Itoa(i) + "]"
}
