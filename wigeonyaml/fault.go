// Package wigeonyaml reads YAML into structs and reports every fault with its position in one pass.
package wigeonyaml

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one thing that is wrong in a file.
type Fault struct {
	File string
	// Line and Column count from 1; both are 0 when the fault belongs to the whole file.
	Line   int
	Column int
	// Key is the path of the key, for example "classes[0].name"; empty for a syntax error.
	Key string
	// Expected says what was expected at the place.
	Expected string
}

// String returns "file:line:col: key: what was expected".
func (f Fault) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", f.Line, f.Column)
	}
	b.WriteString(": ")
	if f.Key != "" {
		b.WriteString(f.Key)
		b.WriteString(": ")
	}
	b.WriteString(f.Expected)
	return b.String()
}

// Faults are the faults of one file, in the order of their positions.
type Faults []Fault //nolint:errname // a list of faults, used as a value before it is an error

// Error implements error; it has one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, or nil when there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Sorted sorts the faults by position and returns them.
func (f Faults) Sorted() Faults {
	sort.SliceStable(f, func(i, j int) bool {
		if f[i].Line != f[j].Line {
			return f[i].Line < f[j].Line
		}
		return f[i].Column < f[j].Column
	})
	return f
}
