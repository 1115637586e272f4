package wigeonsettings

import (
	"regexp"

	"github.com/wigeonstep/wigeonstep/wigeondocument"
	"github.com/wigeonstep/wigeonstep/wigeonyaml"
)

var (
	roleEntry   = regexp.MustCompile(`(?m)^role:\s*["']?entry\b`)
	roleControl = regexp.MustCompile(`(?m)^role:\s*["']?control\b`)
	anyRole     = regexp.MustCompile(`(?m)^role:`)
)

// Check checks a file by its kind: the top-level key "role" marks settings, any other file is a service document.
func Check(name string, data []byte) wigeonyaml.Faults {
	var faults wigeonyaml.Faults
	switch {
	case roleControl.Match(data):
		_, faults = ParseControl(name, data)
	case roleEntry.Match(data), anyRole.Match(data):
		_, faults = ParseEntry(name, data)
	default:
		_, faults = wigeondocument.Parse(name, data)
	}
	return faults
}
