// Package wigeonsettings parses and checks the settings files of entry processes and control daemons.
package wigeonsettings

import (
	"fmt"
	"os"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonyaml"
)

// Process holds the settings that both kinds of wigeonstep processes have: entry processes and control daemons.
type Process struct {
	// Role is the kind of process that the file configures: entry or control.
	Role       string                    `yaml:"role" check:"required,oneof=entry|control"`
	DataCentre wigeonstep.DataCentreName `yaml:"data_centre" check:"required,format=name"`
	// VM is the entry VM that the process runs on.
	VM wigeonstep.VMID `yaml:"vm" check:"required,format=name"`
	// PlatformAddress is the host:port of the platform.
	PlatformAddress string `yaml:"platform_address" check:"required,format=host_port"`
	// PeerAddress is the host:port at which other wigeonstep processes reach this one.
	PeerAddress string `yaml:"peer_address" check:"required,format=host_port"`
	// AdminAddress is the host:port that serves /metrics, /healthz and /readyz.
	AdminAddress string `yaml:"admin_address" check:"required,format=host_port"`
	// Peers lists the peer addresses of other processes, which are tried in this order while the platform is unreachable.
	Peers []string `yaml:"peers" check:"format=host_port"`
	// LogLevel is the minimum level of log lines, default info.
	LogLevel string `yaml:"log_level" check:"oneof=debug|info|warn|error,default=info"`
	// LogRetentionS is the time for which the platform's log keeps records, in seconds, default 3600.
	LogRetentionS int `yaml:"log_retention_s" check:"min=10,max=31536000,default=3600"`
	// StopTimeoutMS is the longest time that a stopping process waits for requests in flight and running jobs, in milliseconds,
	// default 60000. A job that is still running then ends as unknown, or starts again if its class is idempotent.
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
	// CallerAddress is the host:port for requests of callers, which arrive through the load balancer.
	CallerAddress string `yaml:"caller_address" check:"required,format=host_port"`
	// DrainDelayMS is the time for which a stopping process still accepts requests after it has reported that it is not ready,
	// in milliseconds, default 5000.
	DrainDelayMS int `yaml:"drain_delay_ms" check:"max=600000,default=5000"`
}

// DrainDelay returns DrainDelayMS as a duration.
func (e Entry) DrainDelay() time.Duration {
	return time.Duration(e.DrainDelayMS) * time.Millisecond
}

// Control holds the settings of a control daemon.
type Control struct {
	Process
	// PlanIntervalMS is the longest time between planning rounds, in milliseconds, default 1000. Rounds that take long are
	// spaced further apart.
	PlanIntervalMS int `yaml:"plan_interval_ms" check:"min=10,max=60000,default=1000"`
	// ListIntervalMS is the time between readings of the platform's VM list, with a jitter of 10%, in milliseconds, default 2000.
	ListIntervalMS int `yaml:"list_interval_ms" check:"min=10,max=60000,default=2000"`
	// WaveIntervalS is the time between two maintenance waves of a pool, and the age at which the last maintenance of a VM is
	// overdue, in seconds, default 1814400, which is three weeks.
	WaveIntervalS int `yaml:"wave_interval_s" check:"min=10,max=31536000,default=1814400"`
}

// ParseEntry parses the settings of an entry process. It returns all faults of the file.
func ParseEntry(name string, data []byte) (Entry, wigeonyaml.Faults) {
	var entry Entry
	positions, faults := wigeonyaml.Decode(name, data, &entry)
	return entry, append(faults, checkRole(entry.Process, "entry", positions)...).Sorted()
}

// ParseControl parses the settings of a control daemon. It returns all faults of the file.
func ParseControl(name string, data []byte) (Control, wigeonyaml.Faults) {
	var control Control
	positions, faults := wigeonyaml.Decode(name, data, &control)
	return control, append(faults, checkRole(control.Process, "control", positions)...).Sorted()
}

// checkRole returns a fault when the file has a role other than want. A missing role and one that is not known are reported
// by the decoder, which leaves the field empty.
func checkRole(process Process, want string, positions wigeonyaml.Positions) wigeonyaml.Faults {
	if process.Role == "" || process.Role == want {
		return nil
	}
	return wigeonyaml.Faults{positions.Fault("role", "expected %s for this command, found %s", want, process.Role)}
}

// Load reads a file and parses it with parse, which is ParseEntry or ParseControl. The faults of the file are returned as a
// wigeonyaml.Faults error.
func Load[T any](file string, parse func(string, []byte) (T, wigeonyaml.Faults)) (T, error) {
	var zero T
	data, err := os.ReadFile(file)
	if err != nil {
		return zero, fmt.Errorf("read settings: %w", err)
	}
	settings, faults := parse(file, data)
	return settings, faults.Err()
}
