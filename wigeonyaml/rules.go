package wigeonyaml

import (
	"fmt"
	"math"
	"net"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// fieldRules holds the rules from the tag "check" of a field: its constraints and its default.
type fieldRules struct {
	// required is set if the key must be present, and not empty for a text or list.
	required bool
	// min and max bound an integer. They are 0 and the greatest 32-bit integer unless the tag sets them.
	min, max int64
	// defaultValue is the value of a missing key as text, empty when there is none.
	defaultValue string
	// oneOf holds the permitted texts; nil permits any.
	oneOf []string
	// format is the required format of a text: name, host_port, or empty for any.
	format string
}

// parseRules parses the tag "check" of a field. It ignores rules that it does not know.
func parseRules(tag string) fieldRules {
	r := fieldRules{min: 0, max: math.MaxInt32}
	for part := range strings.SplitSeq(tag, ",") {
		name, argument, _ := strings.Cut(part, "=")
		switch name {
		case "required":
			r.required = true
		case "min":
			r.min = mustParseInt(argument)
		case "max":
			r.max = mustParseInt(argument)
		case "default":
			r.defaultValue = argument
		case "oneof":
			r.oneOf = strings.Split(argument, "|")
		case "format":
			r.format = argument
		}
	}
	return r
}

func mustParseInt(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		panic(fmt.Sprintf("tag \"check\" of a field: %q is not an integer", text))
	}
	return n
}

// describeExpected returns the part of a fault's text that names the values which a field of type t may have.
func (r fieldRules) describeExpected(t reflect.Type) string {
	switch {
	case len(r.oneOf) > 0:
		return "one of " + strings.Join(r.oneOf, ", ")
	case r.format == "name":
		return "a name of 1 to 63 characters from a-z, 0-9, '.', '_' and '-'"
	case r.format == "host_port":
		return "an IP address and a port, such as 127.0.0.1:8080"
	}
	switch t.Kind() {
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a text"
	case reflect.Struct:
		return "a mapping"
	case reflect.Bool:
		return "true or false"
	}
	return fmt.Sprintf("a whole number from %d to %d", r.min, r.max)
}

// checkText checks a text value against the rules. It returns a description of the expected text, or "" when the value is
// valid.
func (r fieldRules) checkText(text string) string {
	ok := true
	switch {
	case len(r.oneOf) > 0:
		ok = slices.Contains(r.oneOf, text)
	case r.format == "name":
		ok = namePattern.MatchString(text)
	case r.format == "host_port":
		ok = isHostPort(text)
	case r.required:
		ok = text != ""
	}
	if ok {
		return ""
	}
	return r.describeExpected(reflect.TypeOf(text))
}

func isHostPort(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n >= 0 && n <= math.MaxUint16
}

func setDefault(value reflect.Value, text string) {
	switch value.Kind() {
	case reflect.String:
		value.SetString(text)
	case reflect.Bool:
		value.SetBool(text == "true")
	default:
		value.SetInt(mustParseInt(text))
	}
}
