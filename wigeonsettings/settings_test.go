package wigeonsettings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"
)

// TestCheck guards against settings that are accepted although a key is unknown or missing, or a value has the wrong
// type or format.
func TestCheck(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.Not(qt.HasLen), 0)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".yaml")
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(file)
			qt.Assert(t, err, qt.IsNil)
			goldie.New(t).Assert(t, name, []byte(CheckFile(name+".yaml", data).Error()+"\n"))
		})
	}
}

// TestDefaults guards against a default that differs from the documented one, and against the settings of an entry process
// that are accepted for a control daemon.
func TestDefaults(t *testing.T) {
	data, err := os.ReadFile("testdata/entry_valid.yaml")
	qt.Assert(t, err, qt.IsNil)
	entry, faults := ParseEntry("entry_valid.yaml", data)
	qt.Assert(t, faults.Err(), qt.IsNil)
	qt.Assert(t, entry.DrainDelay().Seconds(), qt.Equals, 5.0)
	qt.Assert(t, entry.StopTimeout().Seconds(), qt.Equals, 60.0)
	qt.Assert(t, entry.LogRetention().Hours(), qt.Equals, 1.0)
	qt.Assert(t, entry.LogLevel, qt.Equals, "info")
	_, faults = ParseControl("entry_valid.yaml", data)
	qt.Assert(t, faults, qt.Not(qt.HasLen), 0)
}
