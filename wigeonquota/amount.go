package wigeonquota

import "github.com/wigeonstep/wigeonstep"

const (
	// Unlimited is the amount of a resource that has no limit.
	Unlimited = 1 << 50
	// largestLimit is the largest limit that is divided. It is far above any fleet, and its product with maxShare fits into 64 bits.
	largestLimit = 1 << 39
	// whole is the share of a whole limit, in millionths.
	whole = 1_000_000
	// maxShare bounds shares of amounts above the limit.
	maxShare = 8 * whole
)

// Resources is an amount of each resource. In limits and allowances a field may be Unlimited.
type Resources = wigeonstep.Resources

// limitOf returns the limit of a configuration, in which 0 means no limit, with Unlimited in place of it. A negative limit, which
// no valid configuration has, limits nothing either.
func limitOf(configured Resources) Resources {
	one := func(n int64) int64 {
		if n <= 0 || n > largestLimit {
			return Unlimited
		}
		return n
	}
	return Resources{
		CPU:    wigeonstep.MilliCPU(one(int64(configured.CPU))),
		Memory: wigeonstep.Megabytes(one(int64(configured.Memory))),
		GPU:    one(configured.GPU),
	}
}

// unlimited is the limit that limits nothing.
var unlimited = Resources{CPU: Unlimited, Memory: Unlimited, GPU: Unlimited}

func minEach(a, b Resources) Resources {
	return Resources{CPU: min(a.CPU, b.CPU), Memory: min(a.Memory, b.Memory), GPU: min(a.GPU, b.GPU)}
}

func maxEach(a, b Resources) Resources {
	return Resources{CPU: max(a.CPU, b.CPU), Memory: max(a.Memory, b.Memory), GPU: max(a.GPU, b.GPU)}
}

// less returns a minus b, field by field, at least 0.
func less(a, b Resources) Resources { return maxEach(a.Sub(b), Resources{}) }

// fields returns the amounts as an array, for what is done with each of them alike.
func fields(r Resources) [3]int64 { return [3]int64{int64(r.CPU), int64(r.Memory), r.GPU} }

func fromFields(f [3]int64) Resources {
	return Resources{CPU: wigeonstep.MilliCPU(f[0]), Memory: wigeonstep.Megabytes(f[1]), GPU: f[2]}
}

// shareOf returns the largest share that an amount has of a limited resource, in millionths of the limit, rounded up.
func shareOf(amount, limit Resources) int64 {
	share := int64(0)
	amounts := fields(amount)
	for i, l := range fields(limit) {
		if l < Unlimited {
			share = max(share, (min(amounts[i], maxShare/whole*l)*whole+l-1)/l)
		}
	}
	return share
}

// amountOf returns a share of a limit, rounded down.
func amountOf(share int64, limit Resources) Resources {
	f := fields(limit)
	for i, l := range f {
		if l < Unlimited {
			f[i] = l * share / whole
		}
	}
	return fromFields(f)
}
