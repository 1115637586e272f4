package wigeonoperator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonfake"
	"github.com/wigeonstep/wigeonstep/wigeonfollow"
	"github.com/wigeonstep/wigeonstep/wigeonoperator"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const ordersDocument = `service: orders
team: grafters
pool: orders
capacity: {workers: 2}
availability: {max_unavailable_workers: 1}
classes:
  - {name: place-order, idempotent: false}
`

// staticReader is a wigeonoperator.StateReader of a state to which no further record is applied.
type staticReader struct{ state *wigeonstate.State }

func (r staticReader) Read(fn func(state *wigeonstate.State)) { fn(r.state) }
func (r staticReader) ConfirmedAge() time.Duration            { return 1500 * time.Millisecond }

// foldFleet returns the state folded from the records of a small fleet: an accepted and a refused drain, two changes of
// the same version of a document, an expired control session and an unreadable record.
func foldFleet(t *testing.T) staticReader {
	t.Helper()
	state := &wigeonstate.State{}
	offset := wigeonstep.Offset(0)
	sequences := map[uint64]uint64{}
	add := func(session uint64, entries ...*wigeonwire.Entry) {
		sequences[session]++
		payload, err := proto.Marshal(&wigeonwire.Batch{Session: session, Sequence: sequences[session], AtUnixMs: 1_800_000_000_000 + int64(offset)*1000, Entries: entries})
		qt.Assert(t, err, qt.IsNil)
		state.Apply(offset, payload)
		offset++
	}
	open := func(role wigeonwire.Role, centre, address string) *wigeonwire.Entry {
		return &wigeonwire.Entry{Body: &wigeonwire.Entry_SessionOpen{SessionOpen: &wigeonwire.SessionOpen{Role: role, DataCentre: centre, PeerAddress: address}}}
	}
	vm := func(id, centre, pool string) *wigeonwire.Entry {
		return &wigeonwire.Entry{Body: &wigeonwire.Entry_VmObserve{VmObserve: &wigeonwire.VMObserve{Vm: id, DataCentre: centre, Rack: "r1", Pool: pool, Shape: &wigeonwire.Shape{Cores: 4, Slots: 8}}}}
	}
	change := func(id string, base uint64, operator string) *wigeonwire.Entry {
		return &wigeonwire.Entry{Body: &wigeonwire.Entry_DocumentChange{DocumentChange: &wigeonwire.DocumentChange{ChangeId: id, Service: "orders", BaseVersion: base, Content: []byte(ordersDocument), Operator: operator}}}
	}
	add(1, open(wigeonwire.Role_ROLE_CONTROL, "budapest", "127.0.1.1:7002"))
	add(2, open(wigeonwire.Role_ROLE_CONTROL, "szeged", "127.0.3.1:7002"))
	add(3, open(wigeonwire.Role_ROLE_ENTRY, "budapest", "127.0.1.1:7001"))
	add(3, &wigeonwire.Entry{Body: &wigeonwire.Entry_SessionRenew{SessionRenew: &wigeonwire.SessionRenew{Renewal: 1, AppliedOffset: 2, Ready: true}}})
	add(1, vm("a1", "budapest", "orders"), vm("a2", "budapest", "orders"))
	add(2, vm("s1", "szeged", "orders"), vm("s2", "szeged", "spare"))
	add(4, open(wigeonwire.Role_ROLE_OPERATOR, "", ""), change("c1", 0, "ilona"))
	add(5, open(wigeonwire.Role_ROLE_OPERATOR, "", ""), change("c2", 0, "bence"))
	add(1, &wigeonwire.Entry{Body: &wigeonwire.Entry_WaveStart{WaveStart: &wigeonwire.WaveStart{Wave: "w1", Pool: "orders"}}})
	drain := func(id string) *wigeonwire.Entry {
		return &wigeonwire.Entry{Body: &wigeonwire.Entry_VmTransition{VmTransition: &wigeonwire.VMTransition{
			Vm: id, Epoch: uint64(state.View().VMs[wigeonstep.VMID(id)].Epoch), To: wigeonwire.Phase_PHASE_DRAINING, Wave: "w1",
			Cause: "maintenance wave w1", Rule: "budget less reserve", Figures: "planned=0",
		}}}
	}
	add(1, drain("a1"))
	add(1, drain("a2"))
	add(1, &wigeonwire.Entry{Body: &wigeonwire.Entry_SessionExpire{SessionExpire: &wigeonwire.SessionExpire{Session: 2}}})
	state.Apply(offset, []byte("not a batch"))
	return staticReader{state}
}

// TestStatusAndExplain guards against a report that omits one of these: a data centre without control processes, the
// use of a disruption budget, a refused decision, or the event that a VM waits for.
func TestStatusAndExplain(t *testing.T) {
	fleet := foldFleet(t)
	for _, view := range []string{"status", "vm/a1", "vm/a2", "service/orders", "wave/w1", "pool/orders", "job/none"} {
		t.Run(view, func(t *testing.T) {
			data, err := wigeonoperator.AnswerStatusQuery(&wigeonwire.StatusQuery{View: view}, fleet)
			qt.Assert(t, err, qt.IsNil)
			var text bytes.Buffer
			if view == wigeonoperator.StatusView {
				var status wigeonoperator.Status
				qt.Assert(t, json.Unmarshal(data.GetJson(), &status), qt.IsNil)
				qt.Assert(t, status.WriteText(&text), qt.IsNil)
			} else {
				var explanation wigeonoperator.Explanation
				qt.Assert(t, json.Unmarshal(data.GetJson(), &explanation), qt.IsNil)
				qt.Assert(t, explanation.WriteText(&text), qt.IsNil)
			}
			goldie.New(t).Assert(t, goldenName(view), text.Bytes())
		})
	}
	_, err := wigeonoperator.AnswerStatusQuery(&wigeonwire.StatusQuery{View: "worker/a1"}, fleet)
	qt.Assert(t, err, qt.ErrorMatches, ".*is not one of.*")
}

func goldenName(view string) string {
	return string(bytes.ReplaceAll([]byte(view), []byte("/"), []byte("_")))
}

// TestApplyRace guards against two changes of the same version of a document that are both reported as accepted, also
// when the platform's responses to the appends are lost.
func TestApplyRace(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	platform := &wigeonfake.Platform{}
	defer platform.Close()
	startFollower := func(session wigeonstep.SessionID, role wigeonwire.Role) *wigeonfollow.Follower {
		f := wigeonfollow.New(wigeonfollow.Config{Log: platform, Session: session, OpenEntry: &wigeonwire.SessionOpen{Role: role}})
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		t.Cleanup(func() { cancel(); <-done })
		qt.Assert(t, f.WaitReady(ctx), qt.IsNil)
		return f
	}
	_, err := startFollower(1, wigeonwire.Role_ROLE_CONTROL).Propose(ctx, &wigeonwire.Entry{Body: &wigeonwire.Entry_PoolObserve{PoolObserve: &wigeonwire.PoolObserve{Pools: []string{"orders"}}}})
	qt.Assert(t, err, qt.IsNil)
	operators := []*wigeonfollow.Follower{startFollower(2, wigeonwire.Role_ROLE_OPERATOR), startFollower(3, wigeonwire.Role_ROLE_OPERATOR)}
	// The next four appends take effect, but their answers are lost.
	platform.ChangeFaults(func(faults *wigeonfake.Faults) { faults.LoseNextAppendAnswers = 4 })
	base := wigeonstep.DocumentVersion(0)
	verdicts := make(chan wigeonoperator.Verdict, 2)
	for i, operator := range operators {
		go func() {
			verdict, err := wigeonoperator.Apply(ctx, operator, wigeonoperator.Change{
				ID: wigeonstep.ChangeID([]string{"first", "second"}[i]), File: "orders.yaml", Content: []byte(ordersDocument), Operator: "operator", Base: &base,
			})
			if err != nil {
				t.Errorf("apply: %v", err)
			}
			verdicts <- verdict
		}()
	}
	accepted, refused := <-verdicts, <-verdicts
	if refused.Accepted {
		accepted, refused = refused, accepted
	}
	qt.Assert(t, accepted.Accepted, qt.IsTrue)
	qt.Assert(t, accepted.Version, qt.Equals, wigeonstep.DocumentVersion(1))
	qt.Assert(t, refused.Accepted, qt.IsFalse)
	qt.Assert(t, refused.Reason, qt.Matches, "base version 0 is not current: version 1 was accepted from operator at .*")
}
