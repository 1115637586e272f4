package wigeonreplay

import (
	"fmt"
	"slices"

	"github.com/goccy/go-yaml"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
	"github.com/wigeonstep/wigeonstep/wigeonyaml"
)

// ParseTrace decodes and validates a trace, and returns all faults found with their positions.
func ParseTrace(file string, data []byte) (*Trace, wigeonyaml.Faults) {
	c := &checker{trace: &Trace{
		contents: map[string][]byte{}, changes: map[string]*Change{}, routes: map[routeKey]*route{}, racks: map[rackKey][]wigeonstep.VMID{},
	}}
	c.positions, c.faults = wigeonyaml.Decode(file, data, c.trace)
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	c.checkFleet()
	c.checkDocuments()
	for i, a := range c.trace.Arrivals {
		c.checkRoute(fmt.Sprintf("arrivals[%d]", i), a.Team, a.Class)
	}
	c.checkEvents()
	if len(c.faults) > 0 {
		return nil, c.faults.Sorted()
	}
	return c.trace, nil
}

// checker validates the rules that span several keys: ids refer to declared objects, racks, documents and changes are
// not declared twice, documents are valid, and events are sorted by time and not later than the end of the trace. It also
// fills the unexported fields of the trace.
type checker struct {
	trace     *Trace
	positions wigeonyaml.Positions
	faults    wigeonyaml.Faults
	// pools, vms and keys are the ids that the trace has declared so far. Events of the kind arrive declare the keys.
	pools []wigeonstep.PoolName
	vms   []wigeonstep.VMID
	keys  []wigeonstep.IdempotencyKey
}

func (c *checker) addFault(key, format string, args ...any) {
	c.faults = append(c.faults, c.positions.Fault(key, format, args...))
}

// checkKnown adds a fault unless the list contains the value.
func checkKnown[T ~string](c *checker, key string, list []T, value T) {
	if !slices.Contains(list, value) {
		c.addFault(key, "expected an id that the trace introduced before, found %q", value)
	}
}

func (c *checker) checkFleet() {
	for i, r := range c.trace.Racks {
		path := fmt.Sprintf("racks[%d]", i)
		checkKnown(c, path+".data_centre", c.trace.DataCentres, r.DataCentre)
		key := rackKey{r.DataCentre, r.Rack}
		if c.trace.racks[key] != nil {
			c.addFault(path+".rack", "expected a rack that no other entry of the data centre has, found %q again", r.Rack)
			continue
		}
		for n, pool := range r.Pools {
			id := wigeonstep.VMID(fmt.Sprintf("%s-%s-%d", r.DataCentre, r.Rack, n+1))
			c.trace.racks[key] = append(c.trace.racks[key], id)
			c.vms = append(c.vms, id)
			c.pools = append(c.pools, pool)
		}
	}
}

func (c *checker) checkDocuments() {
	for i := range c.trace.Documents {
		d := &c.trace.Documents[i]
		path := fmt.Sprintf("documents[%d]", i)
		if c.trace.contents[string(d.Service)] != nil {
			c.addFault(path+".service", "expected a service that no other document has, found %q again", d.Service)
		}
		checkKnown(c, path+".pool", c.pools, d.Pool)
		c.trace.contents[string(d.Service)] = c.marshalDocument(path, d)
		for _, class := range d.Classes {
			c.trace.routes[routeKey{d.Team, class.Name}] = &route{document: d, class: class}
		}
	}
	for i := range c.trace.Changes {
		change := &c.trace.Changes[i]
		path := fmt.Sprintf("changes[%d]", i)
		if c.trace.changes[change.ID] != nil {
			c.addFault(path+".id", "expected an id that no other change has, found %q again", change.ID)
		}
		if c.trace.contents[string(change.Document.Service)] == nil {
			c.addFault(path+".document.service", "expected a service of the documents, found %q", change.Document.Service)
		}
		c.trace.changes[change.ID] = change
		c.trace.contents["change/"+change.ID] = c.marshalDocument(path+".document", &change.Document)
	}
}

// marshalDocument returns the YAML text of the document as an operator would publish it. It adds the faults that
// wigeondocument finds in it.
func (c *checker) marshalDocument(path string, document *wigeondocument.Document) []byte {
	text, err := yaml.Marshal(document)
	if err != nil {
		c.addFault(path, "expected a document: %v", err)
		return nil
	}
	_, faults := wigeondocument.Parse(path, text)
	for _, f := range faults {
		c.addFault(path+"."+f.Key, "%s", f.Expected)
	}
	return text
}

func (c *checker) checkRoute(path string, team wigeonstep.TeamName, class wigeonstep.ClassName) {
	if c.trace.routes[routeKey{team, class}] == nil {
		c.addFault(path+".class", "expected a class of a document of the team, found team %q and class %q", team, class)
	}
}

func (c *checker) checkEvents() {
	last := 0
	for i, e := range c.trace.Events {
		path := fmt.Sprintf("events[%d]", i)
		if e.AtS < last {
			c.addFault(path+".at_s", "expected at least %d, the time of the event before", last)
		}
		last = max(last, e.AtS)
		if e.AtS > c.trace.DurationS {
			c.addFault(path+".at_s", "expected at most duration_s, which is %d", c.trace.DurationS)
		}
		c.checkEvent(path, e)
	}
}

func (c *checker) checkEvent(path string, e Event) {
	switch e.Kind {
	case "vm_fail", "vm_return":
		checkKnown(c, path+".vm", c.vms, e.VM)
	case "rack_fail", "rack_return":
		if c.trace.racks[rackKey{e.DataCentre, e.Rack}] == nil {
			c.addFault(path+".rack", "expected a rack of the trace, found %q in data centre %q", e.Rack, e.DataCentre)
		}
	case "data_centre_fail", "data_centre_return":
		checkKnown(c, path+".data_centre", c.trace.DataCentres, e.DataCentre)
	case "pause", "cut":
		checkKnown(c, path+".data_centre", c.trace.DataCentres, e.DataCentre)
		c.checkDuration(path, e)
	case "log_outage":
		c.checkDuration(path, e)
	case "wave":
		checkKnown(c, path+".pool", c.pools, e.Pool)
	case "document_change":
		if c.trace.changes[e.Change] == nil {
			c.addFault(path+".change", "expected the id of a change, found %q", e.Change)
		}
	case "arrive":
		c.checkRoute(path, e.Team, e.Class)
		if e.RunMS < 1 {
			c.addFault(path+".run_ms", "expected a whole number from 1")
		}
		c.keys = append(c.keys, e.Key)
	case "cancel":
		if e.Key != "" {
			checkKnown(c, path+".key", c.keys, e.Key)
			break
		}
		c.checkRoute(path, e.Team, e.Class)
	}
}

// checkDuration adds a fault if the event has no duration.
func (c *checker) checkDuration(path string, e Event) {
	if e.ForS < 1 {
		c.addFault(path+".for_s", "expected a whole number from 1")
	}
}
