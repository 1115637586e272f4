package wigeonoperator

import (
	"fmt"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
)

// Preview says what the fleet would do if the document were in force.
type Preview struct {
	Base wigeonstep.Version
	// Conflicts are the reasons for which the fold would refuse the document, empty when it would accept it.
	Conflicts []string
	// Effects are the changes that the fleet would make, with their cost.
	Effects []string
}

// NewPreview compares a document with the view. It proposes nothing.
func NewPreview(view *wigeonstate.View, document *wigeondocument.Document) Preview {
	fleet := wigeondocument.Fleet{Pools: make(map[wigeonstep.PoolName]int)}
	for _, state := range services(view) {
		fleet.Documents = append(fleet.Documents, view.Services[state.Name].Document)
	}
	for name, vms := range view.Pools {
		for _, vm := range vms {
			fleet.Pools[name] += vm.Shape.Slots
		}
	}
	return Preview{
		Base:      inForce(view, document.Service),
		Conflicts: wigeondocument.Conflicts(document, fleet),
		Effects:   effects(view, document),
	}
}

func effects(view *wigeonstate.View, document *wigeondocument.Document) []string {
	var lines []string
	fit := fitting(view, document.Pool, document)
	if missing := document.Capacity.Workers - fit; missing > 0 {
		spare := fitting(view, wigeonstep.SparePool, document)
		moves := min(missing, spare)
		lines = append(lines, fmt.Sprintf("pool %s has %d workers that fit and needs %d: %d moves from the spare pool, which has %d that fit", document.Pool, fit, document.Capacity.Workers, moves, spare))
		if short := missing - moves; short > 0 {
			lines = append(lines, fmt.Sprintf("the document would not be met: %d workers are missing", short))
		}
	}
	current := view.Services[document.Service]
	if current == nil {
		return append(lines, "new service with version 1")
	}
	was := current.Document
	if was.Pool != document.Pool {
		lines = append(lines, fmt.Sprintf("requests go to pool %s in place of %s", document.Pool, was.Pool))
	}
	if delta := document.Capacity.Workers - was.Capacity.Workers; delta != 0 {
		lines = append(lines, fmt.Sprintf("%+d workers", delta))
	}
	if was.Availability != document.Availability {
		lines = append(lines, fmt.Sprintf("disruption budget %d becomes %d", was.Availability.MaxUnavailableWorkers, document.Availability.MaxUnavailableWorkers))
	}
	if was.Share != document.Share {
		lines = append(lines, fmt.Sprintf("share becomes weight %d, guaranteed %d, at most %d slots", document.Share.Weight, document.Share.GuaranteedSlots, document.Share.MaxSlots))
	}
	return lines
}

func fitting(view *wigeonstate.View, pool wigeonstep.PoolName, document *wigeondocument.Document) int {
	count := 0
	for _, vm := range view.Pools[pool] {
		if vm.InService() && vm.Shape.Fits(document.Capacity.Shape()) {
			count++
		}
	}
	return count
}
