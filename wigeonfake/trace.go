package wigeonfake

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/wigeonstep/wigeonstep"
)

// Arrival is one request of a trace.
type Arrival struct {
	// OffsetMS is the time of the request in milliseconds from the start of the trace.
	OffsetMS int64                `yaml:"offset_ms"`
	Team     wigeonstep.TeamName  `yaml:"team"`
	Class    wigeonstep.ClassName `yaml:"class"`
	// Key is the idempotency key, or empty for none. Arrivals with the same key repeat the same request.
	Key wigeonstep.IdempotencyKey `yaml:"key"`
	// RunMS is the run time at the backend server in milliseconds; zero selects the default of the server.
	RunMS int64 `yaml:"run_ms"`
	// CancelMS is the time in milliseconds from sending the request until the caller cancels it; zero means never.
	CancelMS int64 `yaml:"cancel_ms"`
	// DeadlineMS is sent as Wigeonstep-Deadline-Ms unless it is zero.
	DeadlineMS int64 `yaml:"deadline_ms"`
}

// traceFile is a trace in YAML.
type traceFile struct {
	Arrivals []Arrival `yaml:"arrivals"`
}

// LoadTrace reads a trace from a .yaml, .yml or .csv file.
func LoadTrace(path string) ([]Arrival, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open trace: %w", err)
	}
	defer file.Close() //nolint:errcheck // the file is only read
	var arrivals []Arrival
	switch extension := filepath.Ext(path); extension {
	case ".yaml", ".yml":
		arrivals, err = ParseTraceYAML(file)
	case ".csv":
		arrivals, err = ParseTraceCSV(file)
	default:
		return nil, fmt.Errorf("trace %s: the extension is %q, expected .yaml, .yml or .csv", path, extension)
	}
	if err != nil {
		return nil, fmt.Errorf("trace %s: %w", path, err)
	}
	return arrivals, nil
}

// ParseTraceYAML reads a mapping whose key arrivals holds a list of Arrival. The result is sorted by offset.
func ParseTraceYAML(r io.Reader) ([]Arrival, error) {
	var file traceFile
	if err := yaml.NewDecoder(r, yaml.Strict()).Decode(&file); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	for i, a := range file.Arrivals {
		if err := a.validate(); err != nil {
			return nil, fmt.Errorf("arrival %d: %w", i+1, err)
		}
	}
	return sortByOffset(file.Arrivals), nil
}

// ParseTraceCSV reads CSV with a header line. Column names are the keys of the YAML form. The result is sorted by offset.
func ParseTraceCSV(r io.Reader) ([]Arrival, error) {
	reader := csv.NewReader(r)
	header, err := reader.Read()
	if err != nil {
		return nil, fmt.Errorf("read the line of column names: %w", err)
	}
	header = slices.Clone(header)
	var arrivals []Arrival
	for {
		row, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return sortByOffset(arrivals), nil
		}
		if err != nil {
			return nil, err
		}
		line, _ := reader.FieldPos(0)
		arrival, err := parseRow(header, row)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", line, err)
		}
		arrivals = append(arrivals, arrival)
	}
}

func parseRow(header, row []string) (Arrival, error) {
	var a Arrival
	numbers := map[string]*int64{"offset_ms": &a.OffsetMS, "run_ms": &a.RunMS, "cancel_ms": &a.CancelMS, "deadline_ms": &a.DeadlineMS}
	for i, column := range header {
		switch column {
		case "team":
			a.Team = wigeonstep.TeamName(row[i])
		case "class":
			a.Class = wigeonstep.ClassName(row[i])
		case "key":
			a.Key = wigeonstep.IdempotencyKey(row[i])
		default:
			number := numbers[column]
			if number == nil {
				return a, fmt.Errorf("unknown column %q", column)
			}
			if row[i] == "" {
				continue
			}
			n, err := strconv.ParseInt(row[i], 10, 64)
			if err != nil {
				return a, fmt.Errorf("column %q: %q is not a whole number", column, row[i])
			}
			*number = n
		}
	}
	return a, a.validate()
}

func (a Arrival) validate() error {
	if a.OffsetMS < 0 || a.RunMS < 0 || a.CancelMS < 0 || a.DeadlineMS < 0 {
		return errors.New("a time is negative")
	}
	return nil
}

func (a Arrival) offset() time.Duration {
	return time.Duration(a.OffsetMS) * time.Millisecond
}

// sortByOffset sorts the arrivals in place and returns them.
func sortByOffset(arrivals []Arrival) []Arrival {
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return int(a.OffsetMS - b.OffsetMS) })
	return arrivals
}
