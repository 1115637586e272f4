package wigeonsettings

import (
	"regexp"

	"github.com/wigeonstep/wigeonstep/wigeondocument"
	"github.com/wigeonstep/wigeonstep/wigeonyaml"
)

var (
	entryRolePattern   = regexp.MustCompile(`(?m)^role:\s*["']?entry\b`)
	controlRolePattern = regexp.MustCompile(`(?m)^role:\s*["']?control\b`)
	rolePattern        = regexp.MustCompile(`(?m)^role:`)
)

// CheckFile returns the faults of a settings file or service document. A file with the top-level key "role" is checked
// as settings of that role, or as entry settings when the role is not known, which reports the role as a fault. Any
// other file is checked as a service document.
func CheckFile(name string, data []byte) wigeonyaml.Faults {
	var faults wigeonyaml.Faults
	switch {
	case controlRolePattern.Match(data):
		_, faults = ParseControl(name, data)
	case entryRolePattern.Match(data), rolePattern.Match(data):
		_, faults = ParseEntry(name, data)
	default:
		_, faults = wigeondocument.Parse(name, data)
	}
	return faults
}
