package wigeondocument

import (
	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonyaml"
)

// Parse decodes a service document, fills in defaults and runs all checks that need no other document. It returns either a
// document or faults. The result depends only on the arguments, so all processes get the same one. name is the file name that
// the faults show.
func Parse(name string, data []byte) (*Document, wigeonyaml.Faults) {
	document := &Document{}
	positions, faults := wigeonyaml.Decode(name, data, document)
	faults = append(faults, checkClasses(document, positions)...)
	faults = append(faults, checkLimits(document, positions)...)
	if len(faults) > 0 {
		return nil, faults.Sorted()
	}
	return document, nil
}

// checkClasses checks that class names are unique in the document and that the deadline of a short class covers its expected
// run time.
func checkClasses(document *Document, positions wigeonyaml.Positions) wigeonyaml.Faults {
	var faults wigeonyaml.Faults
	seen := make(map[wigeonstep.ClassName]bool)
	for i, class := range document.Classes {
		key := indexedKey("classes", i)
		if class.Name != "" && seen[class.Name] {
			faults = append(faults, positions.Fault(key+".name", "expected a name that no other class has, found %q again", class.Name))
		}
		seen[class.Name] = true
		if class.Kind == KindShort && class.DeadlineMS > 0 && class.DeadlineMS < class.ExpectedRunMS {
			faults = append(faults, positions.Fault(key+".deadline_ms", "expected at least expected_run_ms, which is %d", class.ExpectedRunMS))
		}
	}
	return faults
}

// checkLimits checks the pool and the limits that depend on another key of the document.
func checkLimits(document *Document, positions wigeonyaml.Positions) wigeonyaml.Faults {
	var faults wigeonyaml.Faults
	if document.Pool == wigeonstep.SparePool {
		faults = append(faults, positions.Fault("pool", "expected a pool other than %q, whose VMs no service uses", wigeonstep.SparePool))
	}
	share := document.Share
	if share.MaxSlots > 0 && share.MaxSlots < share.GuaranteedSlots {
		faults = append(faults, positions.Fault("share.max_slots", "expected at least guaranteed_slots, which is %d", share.GuaranteedSlots))
	}
	if workers := document.Capacity.Workers; workers > 0 && document.Availability.MaxUnavailableWorkers > workers {
		faults = append(faults, positions.Fault("availability.max_unavailable_workers", "expected at most capacity.workers, which is %d", workers))
	}
	return faults
}
