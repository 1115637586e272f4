package main

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep/platform"
	"github.com/wigeonstep/wigeonstep/wigeonshare"
)

// Guards against a window in another unit than that of the settings, and against a rate where the settings have none.
func TestRateWindowOfTheSettings(t *testing.T) {
	c := qt.New(t)
	var s platform.Settings
	c.Assert(rateWindow(&s), qt.Equals, wigeonshare.Window{})
	s.Bounds.QuotaWindowS, s.Bounds.QuotaOverage, s.Bounds.QuotaSlack = 5, 0.1, 20
	window := rateWindow(&s)
	c.Assert(window.Length, qt.Equals, 5*time.Second)
	c.Assert(window.Limit(2), qt.Equals, 31.0)
}
