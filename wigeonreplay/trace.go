package wigeonreplay

import (
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
)

// Trace is a recorded fleet, its documents and what happened to it.
type Trace struct {
	Name      string `yaml:"name" check:"required,format=name"`
	DurationS int    `yaml:"duration_s" check:"required,min=1,max=604800"`
	// RebootS is how long a VM takes to reboot, default 60.
	RebootS int `yaml:"reboot_s" check:"min=1,max=3600,default=60"`
	// ListLagS is how old the VM list is when it is read, default 3.
	ListLagS int `yaml:"list_lag_s" check:"max=50,default=3"`
	// LogLatencyMS is the time from the decision to append to the record being read back, default 40.
	LogLatencyMS int `yaml:"log_latency_ms" check:"min=1,max=10000,default=40"`
	// EntryVMs is the number of entry VMs in each data centre, default 2; each runs one entry core and one planner.
	EntryVMs    int                           `yaml:"entry_vms_per_data_centre" check:"min=1,max=8,default=2"`
	DataCentres []wigeonstep.DataCentreName   `yaml:"data_centres" check:"required,format=name"`
	Shape       Shape                         `yaml:"shape"`
	Racks       []Rack                        `yaml:"racks" check:"required"`
	Documents   []wigeondocument.Document     `yaml:"documents" check:"required"`
	Changes     []Change                      `yaml:"changes"`
	Arrivals    []Arrivals                    `yaml:"arrivals"`
	Events      []Event                       `yaml:"events"`
	contents    map[string][]byte             // by service for documents, by id for changes
	changes     map[string]*Change            // by id
	routes      map[routeKey]*route           // by team and class
	racks       map[rackKey][]wigeonstep.VMID // VMs of each rack
}

// Shape is the size of every worker of the trace.
type Shape struct {
	Cores        int `yaml:"cores" check:"min=1,max=4096,default=32"`
	MemoryGB     int `yaml:"memory_gb" check:"min=1,max=65536,default=64"`
	Accelerators int `yaml:"accelerators" check:"max=64"`
	Slots        int `yaml:"slots" check:"min=1,max=1024,default=8"`
	Connections  int `yaml:"connections" check:"min=1,max=65536,default=64"`
}

// Rack names the pool of each of its workers. The VM in position n, from 1, has the id "<data centre>-<rack>-<n>".
type Rack struct {
	DataCentre wigeonstep.DataCentreName `yaml:"data_centre" check:"required,format=name"`
	Rack       wigeonstep.RackName       `yaml:"rack" check:"required,format=name"`
	Pools      []wigeonstep.PoolName     `yaml:"pools" check:"required,format=name"`
}

// Change is a changed document that an event may propose.
type Change struct {
	ID       string                  `yaml:"id" check:"required,format=name"`
	Document wigeondocument.Document `yaml:"document" check:"required"`
}

// Arrivals is a Poisson stream of requests, expanded with the seed.
type Arrivals struct {
	Team       wigeonstep.TeamName  `yaml:"team" check:"required,format=name"`
	Class      wigeonstep.ClassName `yaml:"class" check:"required,format=name"`
	MeanPerMin int                  `yaml:"mean_per_min" check:"required,min=1,max=1000000"`
	// TrueRunMS is the mean of the true run times, which spread evenly from half of it to one and a half times it.
	// The declared time is expected_run_ms of the document.
	TrueRunMS int `yaml:"true_run_ms" check:"required,min=1,max=604800000"`
	// RepeatPercent is the share of keyed requests that their caller submits a second time, 100 ms to 5 s later.
	RepeatPercent int     `yaml:"repeat_percent" check:"max=100"`
	Bursts        []Burst `yaml:"bursts"`
}

// Burst changes the rate to a percentage of the mean for a while. EveryS above zero repeats it.
type Burst struct {
	AtS     int `yaml:"at_s" check:"max=604800"`
	ForS    int `yaml:"for_s" check:"required,min=1,max=604800"`
	EveryS  int `yaml:"every_s" check:"max=604800"`
	Percent int `yaml:"percent" check:"max=10000"`
}

// Event is one thing that happened. Which fields an event needs depends on Kind.
type Event struct {
	AtS        int                       `yaml:"at_s" check:"max=604800"`
	Kind       string                    `yaml:"kind" check:"required,oneof=vm_fail|vm_return|rack_fail|rack_return|data_centre_fail|data_centre_return|pause|cut|log_outage|cancel|document_change|wave|arrive"`
	VM         wigeonstep.VMID           `yaml:"vm"`
	DataCentre wigeonstep.DataCentreName `yaml:"data_centre"`
	Rack       wigeonstep.RackName       `yaml:"rack"`
	Pool       wigeonstep.PoolName       `yaml:"pool"`
	Team       wigeonstep.TeamName       `yaml:"team"`
	Class      wigeonstep.ClassName      `yaml:"class"`
	Key        wigeonstep.Key            `yaml:"key"`
	RunMS      int                       `yaml:"run_ms" check:"max=604800000"`
	// Percent is the share of the queued jobs of the class that a cancellation takes.
	Percent int `yaml:"percent" check:"max=100"`
	// ForS is the length of a pause, a cut or a log outage.
	ForS int `yaml:"for_s" check:"max=604800"`
	// Role is the process that pauses, on the first entry VM of the data centre.
	Role     string `yaml:"role" check:"oneof=entry|control,default=control"`
	Change   string `yaml:"change"`
	Operator string `yaml:"operator"`
	// Base is the version that the operator started from.
	Base int `yaml:"base"`
}

type routeKey struct {
	team  wigeonstep.TeamName
	class wigeonstep.ClassName
}

// route is the document and class that arrivals of a team belong to.
type route struct {
	document *wigeondocument.Document
	class    wigeondocument.Class
}

type rackKey struct {
	dataCentre wigeonstep.DataCentreName
	rack       wigeonstep.RackName
}

func (t *Trace) duration() time.Duration { return time.Duration(t.DurationS) * time.Second }

// rate returns the mean requests per second at the time.
func (a *Arrivals) rate(at time.Duration) float64 {
	percent := 100
	for _, b := range a.Bursts {
		since := int(at/time.Second) - b.AtS
		if since >= 0 && b.EveryS > 0 {
			since %= b.EveryS
		}
		if since >= 0 && since < b.ForS {
			percent = b.Percent
		}
	}
	return float64(a.MeanPerMin) / 60 * float64(percent) / 100
}

// peak returns the greatest rate.
func (a *Arrivals) peak() float64 {
	percent := 100
	for _, b := range a.Bursts {
		percent = max(percent, b.Percent)
	}
	return float64(a.MeanPerMin) / 60 * float64(percent) / 100
}
