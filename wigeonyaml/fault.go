// Package wigeonyaml decodes YAML into structs and reports all faults of a file with their positions.
package wigeonyaml

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is a validation error in a file, with its position.
type Fault struct {
	File string
	// Line and Column count from 1; both are 0 when the fault concerns the whole file.
	Line   int
	Column int
	// Key is the path of the key, for example "classes[0].name". It is empty for a syntax error and for a fault of the whole
	// file.
	Key string
	// Expected describes the expected content, and in most cases the content that was found.
	Expected string
}

// String returns the fault in the form "file:line:column: key: expected".
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

// Faults holds the faults of one file.
type Faults []Fault //nolint:errname // a list of faults, used as a value before it is an error

// Error returns the faults, one per line.
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

// Sorted sorts f itself by position and returns it; it makes no copy. Faults at the same position keep their order.
func (f Faults) Sorted() Faults {
	sort.SliceStable(f, func(i, j int) bool {
		if f[i].Line != f[j].Line {
			return f[i].Line < f[j].Line
		}
		return f[i].Column < f[j].Column
	})
	return f
}
