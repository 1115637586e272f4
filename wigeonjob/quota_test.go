package wigeonjob_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonquota"
)

// Guards against an allowance that another owner of the fleet partition reads as more, or as unlimited, and against records that
// outgrow 200 bytes for each team with 24 partitions.
func TestAllowanceRecord(t *testing.T) {
	const partitions = 24
	for name, at := range map[string]func(n int64) wigeonstep.Resources{
		"CPU": func(n int64) wigeonstep.Resources {
			return wigeonstep.Resources{CPU: wigeonstep.MilliCPU(40_000 * n), Memory: wigeonquota.Unlimited, GPU: wigeonquota.Unlimited}
		},
		"CPU and memory": func(n int64) wigeonstep.Resources {
			return wigeonstep.Resources{CPU: wigeonstep.MilliCPU(40_000 * n), Memory: wigeonstep.Megabytes(90_000 * n), GPU: wigeonquota.Unlimited}
		},
		"all": func(n int64) wigeonstep.Resources {
			return wigeonstep.Resources{CPU: wigeonstep.MilliCPU(4000 * n), Memory: wigeonstep.Megabytes(9000 * n), GPU: n}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := wigeonquota.Record{Team: "bakers", Allowances: map[wigeonstep.Partition]wigeonstep.Resources{}}
			for n := range partitions {
				r.Allowances[wigeonstep.Partition(n+1)] = at(int64(n))
			}
			value, err := wigeonjob.EncodeAllowances(r)
			c.Assert(err, qt.IsNil)
			c.Logf("%d bytes", len(value))
			c.Assert(len(value) <= 200, qt.IsTrue)
			decoded, err := wigeonjob.DecodeAllowances("bakers", value)
			c.Assert(err, qt.IsNil)
			c.Assert(decoded, qt.DeepEquals, r)
		})
	}
}

// Guards against shards that get grants although another epoch is recorded.
func TestShardEpochsRecord(t *testing.T) {
	c := qt.New(t)
	epochs := map[wigeonstep.Partition]wigeonstep.FencingToken{1: 7000, 23: 9001}
	value, err := wigeonjob.EncodeShardEpochs(epochs)
	c.Assert(err, qt.IsNil)
	decoded, err := wigeonjob.DecodeShardEpochs(value)
	c.Assert(err, qt.IsNil)
	c.Assert(decoded, qt.DeepEquals, epochs)
}
