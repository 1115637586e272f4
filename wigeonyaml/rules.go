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

// rules are the constraints that the tag "check" of a field states.
type rules struct {
	required bool
	min, max int64
	fallback string
	oneOf    []string
	format   string
}

func parseRules(tag string) rules {
	r := rules{min: 0, max: math.MaxInt32}
	for part := range strings.SplitSeq(tag, ",") {
		name, argument, _ := strings.Cut(part, "=")
		switch name {
		case "required":
			r.required = true
		case "min":
			r.min = mustInt(argument)
		case "max":
			r.max = mustInt(argument)
		case "default":
			r.fallback = argument
		case "oneof":
			r.oneOf = strings.Split(argument, "|")
		case "format":
			r.format = argument
		}
	}
	return r
}

func mustInt(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		panic(fmt.Sprintf("struct tag holds %q in place of a number", text))
	}
	return n
}

func (r rules) describe(t reflect.Type) string {
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

// checkString returns what was expected, or an empty string when the text is valid.
func (r rules) checkString(text string) string {
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
	return r.describe(reflect.TypeOf(text))
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
		value.SetInt(mustInt(text))
	}
}
