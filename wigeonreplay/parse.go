package wigeonreplay

import (
	"fmt"
	"slices"

	"github.com/goccy/go-yaml"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
	"github.com/wigeonstep/wigeonstep/wigeonyaml"
)

// ParseTrace reads a trace and reports every fault with its position.
func ParseTrace(file string, data []byte) (*Trace, wigeonyaml.Faults) {
	c := &checker{trace: &Trace{
		contents: map[string][]byte{}, changes: map[string]*Change{}, routes: map[routeKey]*route{}, racks: map[rackKey][]wigeonstep.VMID{},
	}}
	c.positions, c.faults = wigeonyaml.Decode(file, data, c.trace)
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	c.fleet()
	c.documents()
	for i, a := range c.trace.Arrivals {
		c.route(fmt.Sprintf("arrivals[%d]", i), a.Team, a.Class)
	}
	c.events()
	if len(c.faults) > 0 {
		return nil, c.faults.Sorted()
	}
	return c.trace, nil
}

// checker checks what one key alone does not show: that every id was introduced and that time does not run backwards.
type checker struct {
	trace     *Trace
	positions wigeonyaml.Positions
	faults    wigeonyaml.Faults
	pools     []wigeonstep.PoolName
	vms       []wigeonstep.VMID
	keys      []wigeonstep.Key
}

func (c *checker) fault(key, format string, args ...any) {
	c.faults = append(c.faults, c.positions.Fault(key, format, args...))
}

// known adds a fault unless the list holds the value.
func known[T ~string](c *checker, key string, list []T, value T) {
	if !slices.Contains(list, value) {
		c.fault(key, "expected an id that the trace introduced before, found %q", value)
	}
}

func (c *checker) fleet() {
	for i, r := range c.trace.Racks {
		at := fmt.Sprintf("racks[%d]", i)
		known(c, at+".data_centre", c.trace.DataCentres, r.DataCentre)
		key := rackKey{r.DataCentre, r.Rack}
		if c.trace.racks[key] != nil {
			c.fault(at+".rack", "expected a rack that no other entry of the data centre has, found %q again", r.Rack)
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

func (c *checker) documents() {
	for i := range c.trace.Documents {
		d := &c.trace.Documents[i]
		at := fmt.Sprintf("documents[%d]", i)
		if c.trace.contents[string(d.Service)] != nil {
			c.fault(at+".service", "expected a service that no other document has, found %q again", d.Service)
		}
		known(c, at+".pool", c.pools, d.Pool)
		c.trace.contents[string(d.Service)] = c.content(at, d)
		for _, class := range d.Classes {
			c.trace.routes[routeKey{d.Team, class.Name}] = &route{document: d, class: class}
		}
	}
	for i := range c.trace.Changes {
		change := &c.trace.Changes[i]
		at := fmt.Sprintf("changes[%d]", i)
		if c.trace.changes[change.ID] != nil {
			c.fault(at+".id", "expected an id that no other change has, found %q again", change.ID)
		}
		if c.trace.contents[string(change.Document.Service)] == nil {
			c.fault(at+".document.service", "expected a service of the documents, found %q", change.Document.Service)
		}
		c.trace.changes[change.ID] = change
		c.trace.contents["change/"+change.ID] = c.content(at+".document", &change.Document)
	}
}

// content returns the document as the text that an operator would publish.
func (c *checker) content(at string, document *wigeondocument.Document) []byte {
	text, err := yaml.Marshal(document)
	if err != nil {
		c.fault(at, "expected a document: %v", err)
		return nil
	}
	_, faults := wigeondocument.Parse(at, text)
	for _, f := range faults {
		c.fault(at+"."+f.Key, "%s", f.Expected)
	}
	return text
}

func (c *checker) route(at string, team wigeonstep.TeamName, class wigeonstep.ClassName) {
	if c.trace.routes[routeKey{team, class}] == nil {
		c.fault(at+".class", "expected a class of a document of the team, found team %q and class %q", team, class)
	}
}

func (c *checker) events() {
	last := 0
	for i, e := range c.trace.Events {
		at := fmt.Sprintf("events[%d]", i)
		if e.AtS < last {
			c.fault(at+".at_s", "expected at least %d, the time of the event before", last)
		}
		last = max(last, e.AtS)
		if e.AtS > c.trace.DurationS {
			c.fault(at+".at_s", "expected at most duration_s, which is %d", c.trace.DurationS)
		}
		c.event(at, e)
	}
}

func (c *checker) event(at string, e Event) {
	switch e.Kind {
	case "vm_fail", "vm_return":
		known(c, at+".vm", c.vms, e.VM)
	case "rack_fail", "rack_return":
		if c.trace.racks[rackKey{e.DataCentre, e.Rack}] == nil {
			c.fault(at+".rack", "expected a rack of the trace, found %q in data centre %q", e.Rack, e.DataCentre)
		}
	case "data_centre_fail", "data_centre_return":
		known(c, at+".data_centre", c.trace.DataCentres, e.DataCentre)
	case "pause", "cut":
		known(c, at+".data_centre", c.trace.DataCentres, e.DataCentre)
		c.length(at, e)
	case "log_outage":
		c.length(at, e)
	case "wave":
		known(c, at+".pool", c.pools, e.Pool)
	case "document_change":
		if c.trace.changes[e.Change] == nil {
			c.fault(at+".change", "expected the id of a change, found %q", e.Change)
		}
	case "arrive":
		c.route(at, e.Team, e.Class)
		if e.RunMS < 1 {
			c.fault(at+".run_ms", "expected a whole number from 1")
		}
		c.keys = append(c.keys, e.Key)
	case "cancel":
		if e.Key != "" {
			known(c, at+".key", c.keys, e.Key)
			break
		}
		c.route(at, e.Team, e.Class)
	}
}

func (c *checker) length(at string, e Event) {
	if e.ForS < 1 {
		c.fault(at+".for_s", "expected a whole number from 1")
	}
}
