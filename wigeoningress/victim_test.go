package wigeoningress

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against an ordinary caller that is evicted in place of a hostile one.
func TestVictim(t *testing.T) {
	ordinary := sender{charge: 30 << 10, age: 20 * time.Millisecond, unfinished: true}
	idle := sender{charge: 24 << 10, age: 10 * time.Second}
	for _, test := range []struct {
		name    string
		senders []sender
		want    int
	}{
		{"nobody", nil, -1},
		{"all are handled", []sender{{charge: 1, kept: true}}, -1},
		{"a body that stops short", []sender{idle, ordinary, {charge: 256 << 10, age: time.Second, unfinished: true}}, 2},
		{"a small sender that lingers", []sender{idle, ordinary, {charge: 24 << 10, age: time.Second, unfinished: true}}, 2},
		{"a connection that sends nothing", []sender{ordinary, {charge: 24 << 10, age: 300 * time.Millisecond, unfinished: true}, idle}, 1},
		{"the oldest of equal size", []sender{{charge: 9, age: time.Second, unfinished: true}, {charge: 9, age: 2 * time.Second, unfinished: true}}, 1},
		{"the largest of equal age", []sender{{charge: 9, age: time.Second, unfinished: true}, {charge: 99, age: time.Second, unfinished: true}}, 1},
		{"only idle and ordinary ones", []sender{ordinary, idle}, 1},
		{"a request that is handled stays", []sender{ordinary, {charge: 1 << 20, age: time.Minute, kept: true}}, 0},
		{"young and large", []sender{ordinary, {charge: 256 << 10, age: 20 * time.Millisecond, unfinished: true}}, 1},
	} {
		qt.Check(t, chooseVictim(test.senders), qt.Equals, test.want, qt.Commentf("%s", test.name))
	}
}

// Guards against a victim whose request is being handled, and against a choice of a small fresh sender beside a worse one.
func TestVictimIsNeverBetterThanAnother(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		senders := rapid.SliceOf(rapid.Custom(func(t *rapid.T) sender {
			return sender{
				charge: rapid.Int64Range(0, 1<<20).Draw(t, "charge"), age: time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "age")),
				unfinished: rapid.Bool().Draw(t, "unfinished"), kept: rapid.Bool().Draw(t, "kept"),
			}
		})).Draw(t, "senders")
		i := chooseVictim(senders)
		for _, s := range senders {
			if s.kept {
				continue
			}
			if i < 0 {
				t.Fatalf("nobody gives way, though %+v could", s)
			}
			v := senders[i]
			if v.kept || s.overdue() && !v.overdue() || s.overdue() == v.overdue() && s.cost() > v.cost() {
				t.Fatalf("%+v gives way instead of %+v", v, s)
			}
		}
	})
}
