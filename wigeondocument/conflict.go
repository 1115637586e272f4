package wigeondocument

import (
	"fmt"
	"strconv"

	"github.com/wigeonstep/wigeonstep"
)

// Fleet is what the checks across documents know of the fleet.
type Fleet struct {
	// Documents are the documents in force; the one of the same service as the checked document is ignored.
	Documents []*Document
	// Pools maps each known pool to the slots of its VMs. Nil skips the checks that need pools.
	Pools map[wigeonstep.PoolName]int
}

// Conflicts returns why the document cannot be in force beside the others, in a fixed order; empty when it can.
// The order of fleet.Documents decides only the order of the reasons.
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
		reasons = append(reasons, sharedClasses(document, other)...)
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

func sharedClasses(document, other *Document) []string {
	if document.Team != other.Team {
		return nil
	}
	var reasons []string
	for i, class := range document.Classes {
		if _, ok := other.Class(class.Name); ok {
			reasons = append(reasons, fmt.Sprintf("%s.name: team %q has a class %q in service %q already", indexed("classes", i), document.Team, class.Name, other.Service))
		}
	}
	return reasons
}

// Class returns the class of the name.
func (d *Document) Class(name wigeonstep.ClassName) (*Class, bool) {
	for i := range d.Classes {
		if d.Classes[i].Name == name {
			return &d.Classes[i], true
		}
	}
	return nil, false
}

func indexed(key string, i int) string {
	return key + "[" + strconv.Itoa(i) + "]"
}
