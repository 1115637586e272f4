package wigeondocument

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/wigeonstep/wigeonstep"
)

// TestParse guards against faults that are not reported or have a wrong position, and against changed defaults.
func TestParse(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.Not(qt.HasLen), 0)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".yaml")
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(file)
			qt.Assert(t, err, qt.IsNil)
			document, faults := Parse(name+".yaml", data)
			got := faults.Error()
			if document != nil {
				encoded, err := json.MarshalIndent(document, "", "  ")
				qt.Assert(t, err, qt.IsNil)
				got = string(encoded)
			}
			goldie.New(t).Assert(t, name, []byte(got+"\n"))
		})
	}
}

// TestConflicts guards against the acceptance of a document that is valid by itself but uses a class name of another service of
// the team, guarantees more slots than its pool has, or names a pool that does not exist.
func TestConflicts(t *testing.T) {
	base := Document{Service: "orders", Team: "grafters", Pool: "orders", Share: Share{GuaranteedSlots: 50}, Classes: []Class{{Name: "place"}}}
	tests := []struct {
		name  string
		other Document
		pools map[wigeonstep.PoolName]int
		want  int
	}{
		{"alone", Document{Service: "orders"}, map[wigeonstep.PoolName]int{"orders": 80}, 0},
		{"unknown pool", Document{Service: "orders"}, map[wigeonstep.PoolName]int{"ovens": 80}, 1},
		{"guarantees above the pool", Document{Service: "stock", Pool: "orders", Share: Share{GuaranteedSlots: 31}}, map[wigeonstep.PoolName]int{"orders": 80}, 1},
		{"guarantees that fit", Document{Service: "stock", Pool: "orders", Share: Share{GuaranteedSlots: 30}}, map[wigeonstep.PoolName]int{"orders": 80}, 0},
		{"class used twice by a team", Document{Service: "stock", Team: "grafters", Pool: "stock", Classes: []Class{{Name: "place"}}}, nil, 1},
		{"class of another team", Document{Service: "stock", Team: "growers", Pool: "stock", Classes: []Class{{Name: "place"}}}, nil, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reasons := Conflicts(&base, Fleet{Documents: []*Document{&test.other}, Pools: test.pools})
			qt.Assert(t, reasons, qt.HasLen, test.want)
		})
	}
}
