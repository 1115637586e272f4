package wigeonreplay

import (
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
)

// Trace is a recorded fleet with its documents, requests and events.
type Trace struct {
	Name      string `yaml:"name" check:"required,format=name"`
	DurationS int    `yaml:"duration_s" check:"required,min=1,max=604800"`
	// RebootS is the duration of a VM reboot in seconds, default 60.
	RebootS int `yaml:"reboot_s" check:"min=1,max=3600,default=60"`
	// ListLagS is the age of the platform's VM list when a control daemon reads it, in seconds, default 3.
	ListLagS int `yaml:"list_lag_s" check:"max=50,default=3"`
	// LogLatencyMS is the time from the start of an append until its record has been read back, default 40.
	LogLatencyMS int `yaml:"log_latency_ms" check:"min=1,max=10000,default=40"`
	// EntryVMs is the number of entry VMs in each data centre, default 2. Each runs an entry process and a control daemon.
	EntryVMs    int                           `yaml:"entry_vms_per_data_centre" check:"min=1,max=8,default=2"`
	DataCentres []wigeonstep.DataCentreName   `yaml:"data_centres" check:"required,format=name"`
	Shape       Shape                         `yaml:"shape"`
	Racks       []Rack                        `yaml:"racks" check:"required"`
	Documents   []wigeondocument.Document     `yaml:"documents" check:"required"`
	Changes     []Change                      `yaml:"changes"`
	Arrivals    []Arrivals                    `yaml:"arrivals"`
	Events      []Event                       `yaml:"events"`
	contents    map[string][]byte             // published texts: of documents by service, of changes by "change/" and the id
	changes     map[string]*Change            // by id
	routes      map[routeKey]*route           // by team and class
	racks       map[rackKey][]wigeonstep.VMID // VMs of each rack
}

// Shape is the capacity of each worker. All workers of a trace have the same shape.
type Shape struct {
	Cores        int `yaml:"cores" check:"min=1,max=4096,default=32"`
	MemoryGB     int `yaml:"memory_gb" check:"min=1,max=65536,default=64"`
	Accelerators int `yaml:"accelerators" check:"max=64"`
	Slots        int `yaml:"slots" check:"min=1,max=1024,default=8"`
	Connections  int `yaml:"connections" check:"min=1,max=65536,default=64"`
}

// Rack lists the pool of each VM of a rack. The VM at position n, counted from 1, has the id "<data centre>-<rack>-<n>".
type Rack struct {
	DataCentre wigeonstep.DataCentreName `yaml:"data_centre" check:"required,format=name"`
	Rack       wigeonstep.RackName       `yaml:"rack" check:"required,format=name"`
	Pools      []wigeonstep.PoolName     `yaml:"pools" check:"required,format=name"`
}

// Change is a new version of a document, which a document_change event proposes.
type Change struct {
	ID       string                  `yaml:"id" check:"required,format=name"`
	Document wigeondocument.Document `yaml:"document" check:"required"`
}

// Arrivals describes a Poisson process of requests of one class. The arrival times are drawn with the seed of the replay.
type Arrivals struct {
	Team       wigeonstep.TeamName  `yaml:"team" check:"required,format=name"`
	Class      wigeonstep.ClassName `yaml:"class" check:"required,format=name"`
	MeanPerMin int                  `yaml:"mean_per_min" check:"required,min=1,max=1000000"`
	// TrueRunMS is the mean of the true run times, which are uniform between 0.5 and 1.5 times the mean. The run time that
	// the team declares is expected_run_ms of the document.
	TrueRunMS int `yaml:"true_run_ms" check:"required,min=1,max=604800000"`
	// RepeatPercent is the percentage of the requests with an idempotency key that the caller submits a second time, 100 ms
	// to 5.1 s after the first.
	RepeatPercent int     `yaml:"repeat_percent" check:"max=100"`
	Bursts        []Burst `yaml:"bursts"`
}

// Burst sets the arrival rate to Percent of the mean for ForS seconds from AtS on. If EveryS is above zero, the burst
// repeats with this period. Where bursts overlap, the last one of the list applies.
type Burst struct {
	AtS     int `yaml:"at_s" check:"max=604800"`
	ForS    int `yaml:"for_s" check:"required,min=1,max=604800"`
	EveryS  int `yaml:"every_s" check:"max=604800"`
	Percent int `yaml:"percent" check:"max=10000"`
}

// Event is a recorded fault, operator action or single request. Kind determines which other fields are used.
type Event struct {
	AtS        int                       `yaml:"at_s" check:"max=604800"`
	Kind       string                    `yaml:"kind" check:"required,oneof=vm_fail|vm_return|rack_fail|rack_return|data_centre_fail|data_centre_return|pause|cut|log_outage|cancel|document_change|wave|arrive"`
	VM         wigeonstep.VMID           `yaml:"vm"`
	DataCentre wigeonstep.DataCentreName `yaml:"data_centre"`
	Rack       wigeonstep.RackName       `yaml:"rack"`
	Pool       wigeonstep.PoolName       `yaml:"pool"`
	Team       wigeonstep.TeamName       `yaml:"team"`
	Class      wigeonstep.ClassName      `yaml:"class"`
	Key        wigeonstep.IdempotencyKey `yaml:"key"`
	RunMS      int                       `yaml:"run_ms" check:"max=604800000"`
	// Percent is the probability, in percent, with which a cancel event without a key cancels each pending job of the class.
	Percent int `yaml:"percent" check:"max=100"`
	// ForS is the duration of a pause, a cut (network partition of a data centre) or a log outage, in seconds.
	ForS int `yaml:"for_s" check:"max=604800"`
	// Role selects the process that a pause event stops on the first entry VM of the data centre.
	Role     string `yaml:"role" check:"oneof=entry|control,default=control"`
	Change   string `yaml:"change"`
	Operator string `yaml:"operator"`
	// Base is the document version that the operator edited.
	Base int `yaml:"base"`
}

type routeKey struct {
	team  wigeonstep.TeamName
	class wigeonstep.ClassName
}

// route is the document and the class definition of the requests that name a team and class.
type route struct {
	document *wigeondocument.Document
	class    wigeondocument.Class
}

type rackKey struct {
	dataCentre wigeonstep.DataCentreName
	rack       wigeonstep.RackName
}

func (t *Trace) duration() time.Duration { return time.Duration(t.DurationS) * time.Second }

// rate returns the mean arrival rate in requests per second at a time of the trace.
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

// peak returns an upper bound of rate over the whole trace, in requests per second.
func (a *Arrivals) peak() float64 {
	percent := 100
	for _, b := range a.Bursts {
		percent = max(percent, b.Percent)
	}
	return float64(a.MeanPerMin) / 60 * float64(percent) / 100
}
