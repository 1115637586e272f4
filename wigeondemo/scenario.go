// Package wigeondemo replays the recorded traces of two deployments in one process. The entry processes and control
// daemons are the real ones; the platform, its log and the backend servers are fakes.
package wigeondemo

import (
	"bytes"
	"embed"
	"fmt"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonfake"
	"github.com/wigeonstep/wigeonstep/wigeonyaml"
)

//go:embed testdata
var files embed.FS

// Deployments are the names of the recorded deployments.
var Deployments = []string{"oltvanykod", "consortium"}

// Scenario is a deployment with its documents, events and requests.
type Scenario struct {
	Name        string                      `yaml:"name" check:"required,format=name"`
	DataCentres []wigeonstep.DataCentreName `yaml:"data_centres" check:"required,format=name"`
	Pools       []ScenarioPool              `yaml:"pools" check:"required"`
	Cores       int                         `yaml:"cores" check:"required,min=1,max=4096"`
	MemoryGB    int                         `yaml:"memory_gb" check:"required,min=1,max=65536"`
	// Documents are the files, without extension, of the documents that are put in force before the first arrival.
	Documents []string `yaml:"documents" check:"required,format=name"`
	Events    []Event  `yaml:"events"`

	// Arrivals are the requests of the trace, sorted by time.
	Arrivals []wigeonfake.Arrival
}

// ScenarioPool is a pool and the number of its workers, spread over the data centres.
type ScenarioPool struct {
	Name    wigeonstep.PoolName `yaml:"name" check:"required,format=name"`
	Workers int                 `yaml:"workers" check:"required,min=1,max=200"`
}

// EventKind is the action of an event.
type EventKind string

const (
	// EventApply puts a document in force.
	EventApply EventKind = "apply"
	// EventFailVM takes a VM and its worker down for the rest of the run.
	EventFailVM EventKind = "fail_vm"
	// EventWave starts a maintenance wave in a pool.
	EventWave EventKind = "wave"
)

// Event is an action at a time after the start of the trace. EventApply uses File, EventFailVM uses VM and EventWave
// uses Pool.
type Event struct {
	AtMS int                 `yaml:"at_ms" check:"max=3600000"`
	Kind EventKind           `yaml:"kind" check:"required,oneof=apply|fail_vm|wave"`
	File string              `yaml:"file" check:"format=name"`
	VM   wigeonstep.VMID     `yaml:"vm" check:"format=name"`
	Pool wigeonstep.PoolName `yaml:"pool" check:"format=name"`
}

// Load returns a recorded scenario with its trace.
func Load(name string) (*Scenario, error) {
	path := "testdata/" + name + "/scenario.yaml"
	data, err := files.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("load scenario: %w", err)
	}
	scenario := &Scenario{}
	if _, faults := wigeonyaml.Decode(path, data, scenario); len(faults) > 0 {
		return nil, faults
	}
	trace, err := files.ReadFile("testdata/" + name + "/trace.csv")
	if err != nil {
		return nil, fmt.Errorf("load trace: %w", err)
	}
	scenario.Arrivals, err = wigeonfake.ParseTraceCSV(bytes.NewReader(trace))
	if err != nil {
		return nil, fmt.Errorf("load trace of %s: %w", name, err)
	}
	return scenario, nil
}

// document returns the content of a document file of the scenario. The file name has no extension.
func (s *Scenario) document(file string) ([]byte, error) {
	data, err := files.ReadFile("testdata/" + s.Name + "/" + file + ".yaml")
	if err != nil {
		return nil, fmt.Errorf("load document: %w", err)
	}
	return data, nil
}

// shape returns the shape that all workers share.
func (s *Scenario) shape() wigeonstep.Shape {
	return wigeonstep.Shape{Cores: s.Cores, MemoryGB: s.MemoryGB, Slots: workerSlots, Connections: workerConnections}
}
