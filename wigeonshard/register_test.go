package wigeonshard

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonreplica"
)

// registeredShard is a shard with one worker, which answers at once, and whose registrations the test answers.
type registeredShard struct {
	*Owner
	c             *qt.C
	part          wigeonstep.Partition
	now           Timestamp
	log           wigeonreplica.Replica
	starts        []Start
	running       []wigeonstep.RunID
	ended         []wigeonstep.EndedRun
	registrations []wigeonstep.JobID
	forwarded     []ForwardedCancel
}

func newRegisteredShard(c *qt.C, part wigeonstep.Partition) *registeredShard {
	s := &registeredShard{c: c, part: part, now: Timestamp{Steady: time.Hour, Wall: 1_700_000_000_000}}
	s.takeOver()
	return s
}

// takeOver replaces the owner by one that knows only the log.
func (s *registeredShard) takeOver() {
	settings := testSettings
	settings.RegisterJobs = true
	fence := wigeonstep.FencingToken(1)
	if s.Owner != nil {
		fence = s.Fence() + 1
	}
	s.Owner = NewOwner(settings, fence, s.now, s.log.Owner)
	s.SetWorkers(s.now, []wigeonstep.ListedWorker{{
		ID: onlyWorker, Address: "w:1", Service: testService, StartedAt: 1, Capacity: wigeonstep.Resources{CPU: 8000, Memory: 8192},
	}})
	for id := range s.log.Jobs() {
		s.readJob(id)
	}
}

// write applies a record to the log and passes its job to the owner.
func (s *registeredShard) write(kind wigeonjob.Kind, id wigeonstep.JobID, value []byte, err error) {
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(s.log.Apply(wigeonstep.KeyedRecord{Key: wigeonjob.Key(kind, id), Value: value}), qt.IsNil)
	s.readJob(id)
}

func (s *registeredShard) readJob(id wigeonstep.JobID) {
	if e := s.log.Find(id); e != nil {
		s.AddJob(s.now, e.Job, e.Progress, e.Cancelled)
		if e.Cancelled {
			s.CancelJob(s.now, id)
		}
	}
}

func (s *registeredShard) submit(id wigeonstep.JobID) {
	value, err := wigeonjob.EncodeJob(testJob(id, testStep(2)))
	s.write(wigeonjob.KindJob, id, value, err)
}

func (s *registeredShard) cancel(id wigeonstep.JobID) {
	value, err := wigeonjob.EncodeCancel(s.now.Wall)
	s.write(wigeonjob.KindCancel, id, value, err)
}

// advance makes a step every 10 ms for d. Runs end only when they are stopped.
func (s *registeredShard) advance(d time.Duration) {
	for range d / (10 * time.Millisecond) {
		s.now.Steady += 10 * time.Millisecond
		s.now.Wall += 10
		s.step()
	}
}

func (s *registeredShard) step() {
	a := s.Step(s.now)
	for _, record := range a.Append {
		s.c.Assert(s.log.Apply(record), qt.IsNil)
	}
	if a.Append != nil {
		s.AppendAcknowledged(s.now, s.now.Steady)
	}
	clock := 100_000 + wigeonstep.WorkerMillis((s.now.Steady - time.Hour).Milliseconds())
	for _, h := range a.Heartbeats {
		s.HeartbeatAnswered(s.now, h, wigeonstep.HeartbeatResult{Clock: clock, StartedAt: 1, Running: listRunning(s.running...), Ended: s.ended}, nil)
	}
	for _, start := range a.Starts {
		s.starts = append(s.starts, start)
		s.running = append(s.running, start.Order.Run)
		s.StartAnswered(s.now, start, wigeonstep.StartResult{Verdict: wigeonstep.StartAccepted, Clock: clock})
	}
	for _, stop := range a.Stops {
		for i, id := range s.running {
			if id == stop.Run {
				s.running = append(s.running[:i:i], s.running[i+1:]...)
				s.ended = append(s.ended, wigeonstep.EndedRun{Number: uint64(len(s.ended) + 1), Run: id, Cause: wigeonstep.EndStopped})
				break
			}
		}
		s.StopAnswered(s.now, stop, nil)
	}
	s.registrations = append(s.registrations, a.Registrations...)
	s.forwarded = append(s.forwarded, a.ForwardedCancels...)
}

const twiceJob = wigeonstep.JobID("00000000000000aa")

// Guards against a job that runs twice because its client submitted it again after its queue had moved to another service: no run
// starts before the job is registered, or after it was found to be assigned to another partition.
func TestJobStartsOnlyWhereItIsRegistered(t *testing.T) {
	c := qt.New(t)
	s := newRegisteredShard(c, 1)
	s.submit(twiceJob)
	s.submit("00000000000000bb")
	s.advance(time.Second)
	c.Assert(s.registrations, qt.DeepEquals, []wigeonstep.JobID{twiceJob, "00000000000000bb"})
	c.Assert(s.starts, qt.HasLen, 0)
	s.JobMoved(s.now, twiceJob, 2)
	s.JobRegistered(s.now, "00000000000000bb")
	s.advance(time.Second)
	c.Assert(s.starts, qt.HasLen, 2)
	state, known := s.JobState(twiceJob)
	c.Assert(known, qt.IsTrue)
	c.Assert(state, qt.Equals, wigeonjob.StateMoved)
	c.Assert(s.log.Find(twiceJob).Progress.Holder, qt.Equals, wigeonstep.Partition(2))

	s.registrations = nil
	s.takeOver()
	s.advance(time.Second)
	c.Assert(s.registrations, qt.HasLen, 0, qt.Commentf("one job is moved and the other has begun"))
	c.Assert(s.JobHolder(twiceJob), qt.Equals, wigeonstep.Partition(2))
}

// Guards against a job that never starts because its owner was replaced before the registration was answered.
func TestNextOwnerRegistersWaitingJob(t *testing.T) {
	c := qt.New(t)
	s := newRegisteredShard(c, 1)
	s.submit(twiceJob)
	s.advance(time.Second)
	s.registrations = nil
	s.takeOver()
	s.advance(10 * time.Second)
	c.Assert(s.registrations, qt.DeepEquals, []wigeonstep.JobID{twiceJob})
	s.JobRegistered(s.now, twiceJob)
	s.advance(time.Second)
	c.Assert(s.starts, qt.HasLen, 2)
}

// Guards against a cancellation that is lost because it was written to a partition that does not hold the job, before or after
// its owner learned that, also under the next owner.
func TestCancellationOfMovedJobIsForwarded(t *testing.T) {
	for _, cancelledFirst := range []bool{true, false} {
		t.Run(fmt.Sprintf("cancelled first %t", cancelledFirst), func(t *testing.T) {
			c := qt.New(t)
			s := newRegisteredShard(c, 1)
			s.submit(twiceJob)
			s.advance(100 * time.Millisecond)
			if cancelledFirst {
				s.cancel(twiceJob)
				s.advance(100 * time.Millisecond)
				state, _ := s.JobState(twiceJob)
				c.Assert(state, qt.Equals, wigeonjob.StateCancelled)
				c.Assert(s.forwarded, qt.HasLen, 0)
			}
			s.JobMoved(s.now, twiceJob, 2)
			s.advance(100 * time.Millisecond)
			if !cancelledFirst {
				s.cancel(twiceJob)
				s.advance(100 * time.Millisecond)
			}
			c.Assert(s.forwarded, qt.Contains, ForwardedCancel{Job: twiceJob, Holder: 2})
			s.forwarded = nil
			s.takeOver()
			s.advance(100 * time.Millisecond)
			c.Assert(s.forwarded, qt.Contains, ForwardedCancel{Job: twiceJob, Holder: 2})
		})
	}
}

// Guards against a job that two partitions hold and that runs in both or in none, or goes on in one after it was cancelled in the
// other. The submissions, the registrations, a cancellation and a change of owner come in any order.
func TestJobInTwoPartitionsRunsOnce(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			c := qt.New(t)
			random := rand.New(rand.NewPCG(seed, 41))
			shards := []*registeredShard{newRegisteredShard(c, 1), newRegisteredShard(c, 2)}
			holder := wigeonstep.Partition(0)
			answer := func(s *registeredShard) {
				for _, id := range s.registrations {
					if holder == 0 {
						holder = s.part
					}
					if holder == s.part {
						s.JobRegistered(s.now, id)
					} else {
						s.JobMoved(s.now, id, holder)
					}
				}
				s.registrations = nil
			}
			settle := func() {
				for range 100 {
					for _, s := range shards {
						s.advance(20 * time.Millisecond)
						answer(s)
						for _, f := range s.forwarded {
							shards[f.Holder-1].cancel(f.Job)
						}
						s.forwarded = nil
					}
				}
			}
			pick := func() *registeredShard { return shards[random.IntN(2)] }
			cancelled, submitted := random.IntN(2) == 0, false
			for range 12 {
				s := pick()
				s.advance(time.Duration(random.IntN(5)) * 10 * time.Millisecond)
				switch random.IntN(4) {
				case 0:
					s.submit(twiceJob)
					submitted = true
				case 1:
					answer(s)
				case 2:
					s.takeOver()
				}
			}
			if !submitted {
				pick().submit(twiceJob)
			}
			if cancelled {
				s := pick()
				if s.log.Find(twiceJob) == nil {
					s = shards[2-s.part]
				}
				s.cancel(twiceJob)
			}
			settle()
			started := map[wigeonstep.Partition]bool{}
			for _, s := range shards {
				for _, start := range s.starts {
					c.Assert(start.Order.Run.Task.Job, qt.Equals, twiceJob)
					started[s.part] = true
				}
				if cancelled {
					c.Assert(s.running, qt.HasLen, 0)
				}
			}
			c.Assert(len(started) <= 1, qt.IsTrue, qt.Commentf("started in %v", started))
			if !cancelled {
				c.Assert(started[holder], qt.IsTrue, qt.Commentf("the job is assigned to %d and started in %v", holder, started))
			}
		})
	}
}
