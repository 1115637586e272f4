package wigeonoperator

import (
	"fmt"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
)

// Preview lists the effects that a document would have if it came into force.
type Preview struct {
	// Base is the version in force, 0 for a new service.
	Base wigeonstep.DocumentVersion
	// Conflicts are the reasons why the fold would refuse the document, empty when it would accept it.
	Conflicts []string
	// Effects are the changes that the fleet would make, with their cost.
	Effects []string
}

// NewPreview compares the document with the view. It proposes no change.
func NewPreview(view *wigeonstate.View, document *wigeondocument.Document) Preview {
	fleet := wigeondocument.Fleet{Pools: make(map[wigeonstep.PoolName]int)}
	for _, state := range serviceStates(view) {
		fleet.Documents = append(fleet.Documents, view.Services[state.Name].Document)
	}
	for name, vms := range view.Pools {
		for _, vm := range vms {
			fleet.Pools[name] += vm.Shape.Slots
		}
	}
	return Preview{
		Base:      versionInForce(view, document.Service),
		Conflicts: wigeondocument.Conflicts(document, fleet),
		Effects:   previewEffects(view, document),
	}
}

// previewEffects returns the value of Preview.Effects.
func previewEffects(view *wigeonstate.View, document *wigeondocument.Document) []string {
	var lines []string
	fit := countFitting(view, document.Pool, document)
	if missing := document.Capacity.Workers - fit; missing > 0 {
		spare := countFitting(view, wigeonstep.SparePool, document)
		moves := min(missing, spare)
		lines = append(lines, fmt.Sprintf("pool %s has %d workers that fit and needs %d: %d moves from the spare pool, which has %d that fit", document.Pool, fit, document.Capacity.Workers, moves, spare))
		if unfilled := missing - moves; unfilled > 0 {
			lines = append(lines, fmt.Sprintf("the document would not be met: %d workers are missing", unfilled))
		}
	}
	current := view.Services[document.Service]
	if current == nil {
		return append(lines, "new service with version 1")
	}
	previous := current.Document
	if previous.Pool != document.Pool {
		lines = append(lines, fmt.Sprintf("requests go to pool %s in place of %s", document.Pool, previous.Pool))
	}
	if delta := document.Capacity.Workers - previous.Capacity.Workers; delta != 0 {
		lines = append(lines, fmt.Sprintf("%+d workers", delta))
	}
	if previous.Availability != document.Availability {
		lines = append(lines, fmt.Sprintf("disruption budget %d becomes %d", previous.Availability.MaxUnavailableWorkers, document.Availability.MaxUnavailableWorkers))
	}
	if previous.Share != document.Share {
		lines = append(lines, fmt.Sprintf("share becomes weight %d, guaranteed %d, at most %d slots", document.Share.Weight, document.Share.GuaranteedSlots, document.Share.MaxSlots))
	}
	return lines
}

// countFitting returns the number of VMs in service in the pool whose shape fits the document.
func countFitting(view *wigeonstate.View, pool wigeonstep.PoolName, document *wigeondocument.Document) int {
	count := 0
	for _, vm := range view.Pools[pool] {
		if vm.InService() && vm.Shape.Fits(document.Capacity.Shape()) {
			count++
		}
	}
	return count
}
