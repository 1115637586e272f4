package wigeonfake_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonfake"
)

// Guards against a stand-in that rejects or drops what the platform would take without faults.
func TestPlatformWithoutFaults(t *testing.T) {
	ctx := context.Background()
	var platform wigeonfake.Platform
	offset, err := platform.Append(ctx, wigeonstep.FleetStream, []byte("a"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, offset, qt.Equals, wigeonstep.Offset(0))
	read, err := platform.Client("x").Read(ctx, wigeonstep.FleetStream, 0, 10, time.Second)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, read, qt.DeepEquals, wigeonstep.LogRead{
		Records: []wigeonstep.LogRecord{{Offset: 0, Payload: []byte("a")}}, First: 0, Next: 1,
	})
}
