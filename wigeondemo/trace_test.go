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

// classArrivals describes the arrivals of one class of a team: a mean rate with a burst of burstMS that starts at
// burstAtMS, followed by a lull of the same length. After each repeatEvery-th row, counting the repeats, the request of
// that row is sent again with the same key.
type classArrivals struct {
	team, class string
	perSecond   float64
	meanRunMS   int64
	keyed       bool
	burstAtMS   int64
	repeatEvery int
}

const (
	traceMS     = 8000
	burstMS     = 1000
	burstFactor = 5.0
	lullFactor  = 0.05
)

// recordedArrivals describes the arrivals of both deployments. The bursts of the classes start one after another. In its
// burst a class with 40 requests per second needs 100 slots, which is more than its pool has (80 to 96).
var recordedArrivals = map[string][]classArrivals{
	"oltvanykod": {
		{team: "grafters", class: "place-order", perSecond: 40, meanRunMS: 500, keyed: true, burstAtMS: 500, repeatEvery: 20},
		{team: "growers", class: "check-stock", perSecond: 40, meanRunMS: 500, burstAtMS: 2000},
		{team: "makers", class: "price", perSecond: 40, meanRunMS: 500, burstAtMS: 3500},
		{team: "makers", class: "invoice", perSecond: 40, meanRunMS: 500, keyed: true, burstAtMS: 5000, repeatEvery: 20},
		{team: "makers", class: "monthly-invoices", perSecond: 2, meanRunMS: 1500, keyed: true, burstAtMS: 6500},
	},
	"consortium": {
		{team: "patan-studio", class: "short-batch", perSecond: 40, meanRunMS: 500, keyed: true, burstAtMS: 500, repeatEvery: 20},
		{team: "patan-studio", class: "curing-watch", perSecond: 3, meanRunMS: 2500, keyed: true, burstAtMS: 6500},
		{team: "bhaktapur-studio", class: "scan", perSecond: 40, meanRunMS: 500, burstAtMS: 2000},
		{team: "kirtipur-studio", class: "transfer", perSecond: 40, meanRunMS: 500, keyed: true, burstAtMS: 3500, repeatEvery: 20},
		{team: "patan-studio", class: "look-up", perSecond: 40, meanRunMS: 500, burstAtMS: 5000},
	},
}

func (ca classArrivals) rate(at int64) float64 {
	switch {
	case at >= ca.burstAtMS && at < ca.burstAtMS+burstMS:
		return ca.perSecond * burstFactor
	case at >= ca.burstAtMS+burstMS && at < ca.burstAtMS+2*burstMS:
		return ca.perSecond * lullFactor
	}
	return ca.perSecond
}

func (ca classArrivals) rows(random *rand.Rand) [][]string {
	var rows [][]string
	for at := random.ExpFloat64() * 1000 / ca.perSecond; at < traceMS; {
		key := ""
		if ca.keyed {
			key = fmt.Sprintf("%s-%s-%d", ca.team, ca.class, len(rows))
		}
		run := max(1, int64(float64(ca.meanRunMS)*(0.5+random.Float64())))
		row := []string{strconv.FormatInt(int64(at), 10), ca.team, ca.class, key, strconv.FormatInt(run, 10), "0", "0"}
		rows = append(rows, row)
		if ca.repeatEvery > 0 && len(rows)%ca.repeatEvery == 0 {
			repeated := slices.Clone(row)
			repeated[0] = strconv.FormatInt(int64(at)+random.Int64N(400), 10)
			rows = append(rows, repeated)
		}
		at += random.ExpFloat64() * 1000 / ca.rate(int64(at))
	}
	return rows
}

func traceCSV(t *testing.T, name string) []byte {
	t.Helper()
	random := rand.New(rand.NewPCG(1, uint64(len(name))))
	var rows [][]string
	for _, ca := range recordedArrivals[name] {
		rows = append(rows, ca.rows(random)...)
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

// TestRecordedTraces guards against a committed trace that differs from the one generated from recordedArrivals.
func TestRecordedTraces(t *testing.T) {
	for _, name := range Deployments {
		t.Run(name, func(t *testing.T) {
			golden := goldie.New(t, goldie.WithFixtureDir("testdata/"+name), goldie.WithNameSuffix(".csv"))
			golden.Assert(t, "trace", traceCSV(t, name))
			_, err := os.Stat("testdata/" + name + "/trace.csv")
			qt.Assert(t, err, qt.IsNil)
			scenario, err := Load(name)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, len(scenario.Arrivals) > 1000, qt.IsTrue)
		})
	}
}
