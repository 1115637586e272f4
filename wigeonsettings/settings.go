// Package wigeonsettings reads and checks the settings files of the processes.
package wigeonsettings

import (
	"fmt"
	"os"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonyaml"
)

// Process holds the settings that every process has.
type Process struct {
	// Role is the process that the file is for: entry or control.
	Role string `yaml:"role" check:"required,oneof=entry|control"`
	// DataCentre is the data centre of the process.
	DataCentre wigeonstep.DataCentreName `yaml:"data_centre" check:"required,format=name"`
	// VM is the entry VM that the process runs on.
	VM wigeonstep.VMID `yaml:"vm" check:"required,format=name"`
	// PlatformAddress is host:port of the platform.
	PlatformAddress string `yaml:"platform_address" check:"required,format=host_port"`
	// PeerAddress is where other wigeonstep processes reach this one.
	PeerAddress string `yaml:"peer_address" check:"required,format=host_port"`
	// AdminAddress serves /metrics, /healthz and /readyz.
	AdminAddress string `yaml:"admin_address" check:"required,format=host_port"`
	// Peers are peer addresses of other processes, tried in this order while the platform is out of reach.
	Peers []string `yaml:"peers" check:"format=host_port"`
	// LogLevel is the least level that is logged, default info.
	LogLevel string `yaml:"log_level" check:"oneof=debug|info|warn|error,default=info"`
	// LogRetentionS is how long the platform's log keeps records, in seconds, default 3600.
	LogRetentionS int `yaml:"log_retention_s" check:"min=10,max=31536000,default=3600"`
	// StopTimeoutMS bounds the time for work in flight at a stop, running jobs included, in milliseconds, default 60000. A job
	// that is still running then ends as unknown, or starts again if it is idempotent.
	StopTimeoutMS int `yaml:"stop_timeout_ms" check:"min=1,max=604800000,default=60000"`
}

// StopTimeout returns StopTimeoutMS as a duration.
func (p Process) StopTimeout() time.Duration {
	return time.Duration(p.StopTimeoutMS) * time.Millisecond
}

// LogRetention returns LogRetentionS as a duration.
func (p Process) LogRetention() time.Duration {
	return time.Duration(p.LogRetentionS) * time.Second
}

// Entry holds the settings of an entry process.
type Entry struct {
	Process
	// CallerAddress is where callers, behind the load balancer, reach the process.
	CallerAddress string `yaml:"caller_address" check:"required,format=host_port"`
	// DrainDelayMS is how long the process serves after it stopped being ready, in milliseconds, default 5000.
	DrainDelayMS int `yaml:"drain_delay_ms" check:"max=600000,default=5000"`
}

// DrainDelay returns DrainDelayMS as a duration.
func (e Entry) DrainDelay() time.Duration {
	return time.Duration(e.DrainDelayMS) * time.Millisecond
}

// Control holds the settings of a control daemon.
type Control struct {
	Process
	// PlanIntervalMS is the time between two planning rounds, in milliseconds, default 1000.
	PlanIntervalMS int `yaml:"plan_interval_ms" check:"min=10,max=60000,default=1000"`
	// ListIntervalMS is the time between two readings of the VM list, in milliseconds, default 2000.
	ListIntervalMS int `yaml:"list_interval_ms" check:"min=10,max=60000,default=2000"`
	// WaveIntervalS is the time between two maintenances of a VM, in seconds, default three weeks.
	WaveIntervalS int `yaml:"wave_interval_s" check:"min=10,max=31536000,default=1814400"`
}

// ParseEntry reads the settings of an entry process.
func ParseEntry(name string, data []byte) (Entry, wigeonyaml.Faults) {
	var entry Entry
	positions, faults := wigeonyaml.Decode(name, data, &entry)
	return entry, append(faults, checkRole(entry.Process, "entry", positions)...).Sorted()
}

// ParseControl reads the settings of a control daemon.
func ParseControl(name string, data []byte) (Control, wigeonyaml.Faults) {
	var control Control
	positions, faults := wigeonyaml.Decode(name, data, &control)
	return control, append(faults, checkRole(control.Process, "control", positions)...).Sorted()
}

func checkRole(process Process, want string, positions wigeonyaml.Positions) wigeonyaml.Faults {
	if process.Role == "" || process.Role == want {
		return nil
	}
	return wigeonyaml.Faults{positions.Fault("role", "expected %s for this command, found %s", want, process.Role)}
}

// Load reads a file with one of the parse functions.
func Load[T any](file string, parse func(string, []byte) (T, wigeonyaml.Faults)) (T, error) {
	var zero T
	data, err := os.ReadFile(file)
	if err != nil {
		return zero, fmt.Errorf("read settings: %w", err)
	}
	settings, faults := parse(file, data)
	return settings, faults.Err()
}
