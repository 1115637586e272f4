package wigeonshard

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a plain step that gets another worker from the ordered pool than from the search through all of it.
func TestRoomOrderChoosesLikeTheSearch(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	b := newBurst(60)
	b.advance(time.Millisecond, 0)
	compared := 0
	for range 150 {
		b.advance(8*time.Millisecond, random.IntN(4))
		pool := b.owner.pool(b.now)
		order := newRoomOrder(pool)
		for _, s := range b.owner.finiteSteps.entries {
			task := s.tasks[random.IntN(len(s.tasks))]
			task.avoidWorker = pool[random.IntN(len(pool))].ID
			s.MaxPerWorker = random.IntN(3)
			want := s.chooseWorker(task, pool, s.reserved)
			place, ok := order.choose(s.step, task, s.reserved)
			c.Assert(ok, qt.Equals, want != nil)
			if ok {
				c.Assert(order[place].ID, qt.Equals, want.ID)
				compared++
			}
		}
	}
	c.Assert(compared > 100, qt.IsTrue, qt.Commentf("%d choices", compared))
}
