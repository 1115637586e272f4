package wigeondaemon

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/platform"
	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
)

// Guards against two owners with the same fencing token, which a group that names a partition to two members of one generation
// would give: the log takes the append of the second owner for a repeat of the first one's and acknowledges it unwritten.
func TestOwnersWithOneFenceAreToldApart(t *testing.T) {
	c := qt.New(t)
	store, err := wigeonstandin.NewStore(t.Context(), 2)
	c.Assert(err, qt.IsNil)
	client, err := platform.NewStoreClient(store.Address())
	c.Assert(err, qt.IsNil)
	var daemons []*Daemon
	for range 2 {
		d, sh := newListingDaemon(client.Jobs())
		sh.loaded = true
		d.applyAssignment(0, wigeonstep.Assignment{Generation: 7, Partitions: []wigeonstep.Partition{listedPartition}})
		(<-d.events)()
		daemons = append(daemons, d)
	}
	written := map[string]bool{}
	for i, d := range daemons {
		sh := d.shards[listedPartition]
		if !sh.owned {
			continue
		}
		key := []string{"p/first", "p/second"}[i]
		d.appendFenced(sh, []wigeonstep.KeyedRecord{{Key: key, Value: []byte("x")}}, func(appendAnswer) { written[key] = true })
		(<-d.events)()
	}
	c.Assert(written, qt.HasLen, 1)
	page, err := client.Jobs().ListNewest(t.Context(), listedPartition, "")
	c.Assert(err, qt.IsNil)
	c.Assert(page.Records, qt.HasLen, 1)
	c.Assert(written[page.Records[0].Key], qt.IsTrue)
}
