package wigeondemo

import (
	"bytes"
	"cmp"
	"encoding/csv"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"
)

// queue describes the arrivals of one team's class.
type queue struct {
	team, class   string
	perSecond     float64
	runMS         int64
	keyed         bool
	burstAt       int64
	duplicateEach int
}

const (
	traceMS = 8000
	burstMS = 1000
	burst   = 5.0
	lull    = 0.05
)

// recorded are the queues of both deployments. Each in turn asks five times its mean for a second, which is more than
// its pool holds (80 to 96 slots), and then a twentieth of it.
var recorded = map[string][]queue{
	"oltvanykod": {
		{team: "grafters", class: "place-order", perSecond: 40, runMS: 500, keyed: true, burstAt: 500, duplicateEach: 20},
		{team: "growers", class: "check-stock", perSecond: 40, runMS: 500, burstAt: 2000},
		{team: "makers", class: "price", perSecond: 40, runMS: 500, burstAt: 3500},
		{team: "makers", class: "invoice", perSecond: 40, runMS: 500, keyed: true, burstAt: 5000, duplicateEach: 20},
		{team: "makers", class: "monthly-invoices", perSecond: 2, runMS: 1500, keyed: true, burstAt: 6500},
	},
	"consortium": {
		{team: "patan-studio", class: "short-batch", perSecond: 40, runMS: 500, keyed: true, burstAt: 500, duplicateEach: 20},
		{team: "patan-studio", class: "curing-watch", perSecond: 3, runMS: 2500, keyed: true, burstAt: 6500},
		{team: "bhaktapur-studio", class: "scan", perSecond: 40, runMS: 500, burstAt: 2000},
		{team: "kirtipur-studio", class: "transfer", perSecond: 40, runMS: 500, keyed: true, burstAt: 3500, duplicateEach: 20},
		{team: "patan-studio", class: "look-up", perSecond: 40, runMS: 500, burstAt: 5000},
	},
}

func (q queue) rate(at int64) float64 {
	switch {
	case at >= q.burstAt && at < q.burstAt+burstMS:
		return q.perSecond * burst
	case at >= q.burstAt+burstMS && at < q.burstAt+2*burstMS:
		return q.perSecond * lull
	}
	return q.perSecond
}

func (q queue) rows(random *rand.Rand) [][]string {
	var rows [][]string
	for at := random.ExpFloat64() * 1000 / q.perSecond; at < traceMS; {
		key := ""
		if q.keyed {
			key = fmt.Sprintf("%s-%s-%d", q.team, q.class, len(rows))
		}
		run := max(1, int64(float64(q.runMS)*(0.5+random.Float64())))
		row := []string{strconv.FormatInt(int64(at), 10), q.team, q.class, key, strconv.FormatInt(run, 10), "0", "0"}
		rows = append(rows, row)
		if q.duplicateEach > 0 && len(rows)%q.duplicateEach == 0 {
			again := slices.Clone(row)
			again[0] = strconv.FormatInt(int64(at)+random.Int64N(400), 10)
			rows = append(rows, again)
		}
		at += random.ExpFloat64() * 1000 / q.rate(int64(at))
	}
	return rows
}

func record(t *testing.T, name string) []byte {
	t.Helper()
	random := rand.New(rand.NewPCG(1, uint64(len(name))))
	var rows [][]string
	for _, q := range recorded[name] {
		rows = append(rows, q.rows(random)...)
	}
	slices.SortStableFunc(rows, func(a, b []string) int {
		x, _ := strconv.Atoi(a[0])
		y, _ := strconv.Atoi(b[0])
		return cmp.Compare(x, y)
	})
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	qt.Assert(t, w.Write([]string{"offset_ms", "team", "class", "key", "run_ms", "cancel_ms", "deadline_ms"}), qt.IsNil)
	qt.Assert(t, w.WriteAll(rows), qt.IsNil)
	return b.Bytes()
}

// TestRecordedTraces guards against a committed trace that is not the one that the queues above describe.
func TestRecordedTraces(t *testing.T) {
	for _, name := range Deployments {
		t.Run(name, func(t *testing.T) {
			golden := goldie.New(t, goldie.WithFixtureDir("testdata/"+name), goldie.WithNameSuffix(".csv"))
			golden.Assert(t, "trace", record(t, name))
			_, err := os.Stat("testdata/" + name + "/trace.csv")
			qt.Assert(t, err, qt.IsNil)
			scenario, err := Load(name)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, len(scenario.Arrivals) > 1000, qt.IsTrue)
		})
	}
}
