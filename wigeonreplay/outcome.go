package wigeonreplay

import (
	"fmt"

	"github.com/wigeonstep/wigeonstep/wigeonyaml"
)

// Values of Outcome.Bound.
const (
	boundAtMost  = "at_most"
	boundAtLeast = "at_least"
	boundNever   = "never"
	boundWithin  = "within"
)

// Outcomes is the content of an outcome file, which a replay is checked against.
type Outcomes struct {
	Outcomes []Outcome `yaml:"outcomes" check:"required"`
}

// Outcome bounds one measure. Exactly one value is set, that of the measure's unit; for never, none is set.
type Outcome struct {
	Measure string `yaml:"measure" check:"required"`
	// Bound is one of at_most and at_least, which apply to every unit; never, for a count or a number of seconds that must
	// be zero; and within, for a time that must be known and must not exceed the value.
	Bound         string `yaml:"bound" check:"required,oneof=at_most|at_least|never|within"`
	ValueMS       int    `yaml:"value_ms" check:"default=-1"`
	ValueS        int    `yaml:"value_s" check:"default=-1"`
	ValueCount    int    `yaml:"value_count" check:"default=-1"`
	ValuePermille int    `yaml:"value_permille" check:"default=-1"`
}

// ParseOutcomes decodes and validates an outcome file, and returns all faults found with their positions.
func ParseOutcomes(file string, data []byte) (*Outcomes, wigeonyaml.Faults) {
	o := &Outcomes{}
	positions, faults := wigeonyaml.Decode(file, data, o)
	if len(faults) > 0 {
		return nil, faults
	}
	for i, outcome := range o.Outcomes {
		if key, expected := outcome.check(); expected != "" {
			faults = append(faults, positions.Fault(fmt.Sprintf("outcomes[%d].%s", i, key), "%s", expected))
		}
	}
	if len(faults) > 0 {
		return nil, faults.Sorted()
	}
	return o, nil
}

// check returns the first faulty key of the outcome and what was expected there, or empty strings if the outcome is valid.
func (o Outcome) check() (key, expected string) {
	unit, ok := measures[o.Measure]
	if !ok {
		return "measure", fmt.Sprintf("expected one of %s, found %q", measureNames(), o.Measure)
	}
	for _, u := range units {
		given := o.value(u) >= 0
		switch {
		case o.Bound == boundNever && given:
			return "value_" + u, "expected no value beside never"
		case o.Bound != boundNever && given && u != unit:
			return "value_" + u, fmt.Sprintf("expected value_%s for measure %s", unit, o.Measure)
		case o.Bound != boundNever && !given && u == unit:
			return "bound", fmt.Sprintf("expected value_%s beside %s", unit, o.Bound)
		}
	}
	if o.Bound == boundNever && unit != unitCount && unit != unitS {
		return "bound", "expected never only for a count or a number of seconds"
	}
	if o.Bound == boundWithin && unit != unitS && unit != unitMS {
		return "bound", "expected within only for a time"
	}
	return "", ""
}

// value returns the value of the unit, or -1 if the outcome has none.
func (o Outcome) value(unit string) int {
	switch unit {
	case unitMS:
		return o.ValueMS
	case unitS:
		return o.ValueS
	case unitPermille:
		return o.ValuePermille
	}
	return o.ValueCount
}

// holds reports whether the figure satisfies the bound. An unknown figure satisfies at_most and never, but
// neither at_least nor within.
func (o Outcome) holds(f Figure, unit string) bool {
	value := int64(o.value(unit))
	switch o.Bound {
	case boundNever:
		return !f.Known || f.Value == 0
	case boundAtMost:
		return !f.Known || f.Value <= value
	case boundAtLeast:
		return f.Known && f.Value >= value
	}
	return f.Known && f.Value <= value
}
