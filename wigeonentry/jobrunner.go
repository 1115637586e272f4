package wigeonentry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonrouting"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// jobPoll is the least time between two looks at the jobs of the fold. Each look reads all jobs of the last day, so the time
	// between them is also at least jobPollShare times as long as a look took.
	jobPoll      = 200 * time.Millisecond
	jobPollShare = 100
	// maxJobAttempts bounds how often a job of an idempotent class starts; it ends as unknown afterwards.
	maxJobAttempts = 10
	// startTimeout is how long a job holds its slot while the log does not judge its job_start.
	startTimeout = 5 * time.Second
	// expectedRuns and minJobTime bound one attempt of a job together with the deadline of its class. Stated run times are wrong by a
	// factor of ten, and the default deadline is made for short requests.
	expectedRuns  = 20
	minJobTime    = time.Hour
	firstJobDelay = 100 * time.Millisecond
	maxJobDelay   = 30 * time.Second
	maxJobAnswer  = 64 << 10
	// maxEndTries bounds the proposals of one job_end; with the delays between them they span about half an hour.
	maxEndTries = 70
)

// jobBook holds the jobs that this process queues or runs.
type jobBook struct {
	process *Process
	wake    chan struct{}

	mu     sync.Mutex
	active map[wigeonstep.JobID]*activeJob
	// delays holds when a job that did not run may be tried again, and the last delay.
	delays map[wigeonstep.JobID]jobDelay
}

type jobDelay struct {
	until time.Time
	last  time.Duration
}

// activeJob is one job on its way through queue, record and dispatch.
type activeJob struct {
	job *wigeonwire.Job
	// ctx ends when the job is cancelled or its home moves while it is queued.
	ctx    context.Context //nolint:containedctx // the value lives as long as the goroutine that uses it
	cancel context.CancelFunc
	// started is set before job_start is proposed; from then on the attempt runs to its end.
	started bool
}

func newJobBook(p *Process) *jobBook {
	return &jobBook{process: p, wake: make(chan struct{}, 1), active: map[wigeonstep.JobID]*activeJob{}, delays: map[wigeonstep.JobID]jobDelay{}}
}

func (b *jobBook) wakeUp() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// running returns the number of jobs whose attempt has begun.
func (b *jobBook) running() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, a := range b.active {
		if a.started {
			n++
		}
	}
	return n
}

// follow takes over the pending jobs of this process until ctx ends.
func (b *jobBook) follow(ctx context.Context) {
	timer := time.NewTimer(jobPoll)
	defer timer.Stop()
	for {
		begin := b.process.config.Now()
		b.poll(ctx)
		timer.Reset(max(jobPoll, jobPollShare*b.process.config.Now().Sub(begin)))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-b.wake:
		}
	}
}

func (b *jobBook) poll(ctx context.Context) {
	p := b.process
	self := p.config.Follower.Session()
	view := p.config.Follower.View()
	b.mu.Lock()
	defer b.mu.Unlock()
	now := p.config.Now()
	home := make(map[wigeonstep.JobID]bool)
	var fresh []*wigeonwire.Job
	p.config.Follower.Read(func(state *wigeonstate.State) {
		if self == 0 {
			return
		}
		for _, job := range state.PendingJobs(self) {
			id := wigeonstep.JobID(job.GetAccept().GetJob())
			home[id] = true
			if b.active[id] == nil && !now.Before(b.delays[id].until) && b.mayTake(job, view) {
				fresh = append(fresh, proto.CloneOf(job))
			}
		}
	})
	for id, a := range b.active {
		if !home[id] && !a.started {
			a.cancel()
		}
	}
	for id, d := range b.delays {
		if !home[id] && now.After(d.until) {
			delete(b.delays, id)
		}
	}
	for _, job := range fresh {
		b.take(ctx, job)
	}
}

// mayTake reports whether no other process runs the job.
func (b *jobBook) mayTake(job *wigeonwire.Job, view *wigeonstate.View) bool {
	if job.GetState() != wigeonwire.JobState_JOB_STATE_RUNNING {
		return true
	}
	return !slices.ContainsFunc(view.Sessions, func(s *wigeonstate.Session) bool {
		return uint64(s.ID) == job.GetRunner() && !s.Expired && s.ID != b.process.config.Follower.Session()
	})
}

// take starts the goroutine of a job. The caller holds the lock.
func (b *jobBook) take(ctx context.Context, job *wigeonwire.Job) {
	id := wigeonstep.JobID(job.GetAccept().GetJob())
	a := &activeJob{job: job}
	a.ctx, a.cancel = context.WithCancel(ctx)
	b.active[id] = a
	b.process.background.Go(func() {
		delay := b.pursue(a)
		a.cancel()
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.active, id)
		if delay {
			last := min(max(b.delays[id].last*2, firstJobDelay), maxJobDelay)
			b.delays[id] = jobDelay{until: b.process.config.Now().Add(last/2 + rand.N(last/2)), last: last}
		} else {
			delete(b.delays, id)
		}
		b.wakeUp()
	})
}

// pursue brings a job one attempt further. It returns whether the next try is delayed.
func (b *jobBook) pursue(a *activeJob) (delay bool) {
	p := b.process
	accept := a.job.GetAccept()
	route, ok := p.config.Follower.View().Route(wigeonstep.TeamName(accept.GetTeam()), wigeonstep.ClassName(accept.GetClass()))
	lost := a.job.GetState() == wigeonwire.JobState_JOB_STATE_RUNNING
	if lost {
		switch {
		case a.job.GetCancelRequested():
			return b.endUnknown(a, "the job was cancelled and the process that ran it is gone; it may have run")
		case !ok || !route.Class.Idempotent:
			return b.endUnknown(a, "the process that ran the job is gone; it may have run")
		case a.job.GetAttempt() >= maxJobAttempts:
			return b.endUnknown(a, fmt.Sprintf("%d attempts ended without an answer", a.job.GetAttempt()))
		}
	}
	if !ok {
		return true
	}
	s := newSlot(p.poolOf(route.Service.Document.Pool), route, time.Time{})
	if s.admit(a.ctx) != nil {
		return true
	}
	server, ok := s.pool.awaitServer(a.ctx, wigeonrouting.Want{NoProbe: !route.Class.Idempotent}, time.Time{})
	if !ok {
		s.finish(false)
		return false
	}
	return b.attempt(a, s, server)
}

// attempt records the start, sends the job and records the end.
func (b *jobBook) attempt(a *activeJob, s *slot, server wigeonrouting.Server) (delay bool) {
	p := b.process
	b.mu.Lock()
	a.started = true
	b.mu.Unlock()
	attempt := a.job.GetAttempt() + 1
	accept := a.job.GetAccept()
	if !b.recordStart(a, attempt, server.VM, func() {
		s.pool.unused(server.VM)
		s.finish(false)
	}) {
		return true
	}
	request := &wigeonstep.Request{
		ID: wigeonstep.RequestID(fmt.Sprintf("%s-%d", accept.GetJob(), attempt)), Method: accept.GetMethod(), Path: accept.GetPath(), ContentType: accept.GetContentType(), Body: accept.GetBody(),
		Team: wigeonstep.TeamName(accept.GetTeam()), Class: wigeonstep.ClassName(accept.GetClass()), Key: wigeonstep.Key(accept.GetKey()),
	}
	begin := p.config.Now()
	request.Deadline = begin.Add(max(s.route.Class.Deadline(), expectedRuns*s.route.Class.ExpectedRun(), minJobTime))
	result := p.config.Backend.Call(p.lifetime, wigeonstep.BackendCall{Request: request, VM: server.VM, Address: server.Address, Epoch: server.Epoch})
	took := p.config.Now().Sub(begin)
	s.pool.done(s, server.VM, result, took, maxJobAttempts, request.Deadline)
	p.logAttempt(request, server.VM, int(attempt), &result)
	s.finish(result.Verdict == wigeonstep.BackendWhole)
	return b.recordResult(a, s.route, attempt, &result)
}

// recordStart proposes job_start and returns true once the fold accepted it. When the log does not answer in time the slot is given back;
// a start that is accepted later is then ended as not_run, which is true, because nothing was sent.
func (b *jobBook) recordStart(a *activeJob, attempt uint32, vm wigeonstep.VMID, giveBack func()) bool {
	start := &wigeonwire.Entry{Body: &wigeonwire.Entry_JobStart{JobStart: &wigeonwire.JobStart{Job: a.job.GetAccept().GetJob(), Attempt: attempt, Vm: string(vm)}}}
	judged := make(chan error, 1)
	p := b.process
	go func() {
		_, err := p.config.Follower.Propose(p.lifetime, start)
		judged <- err
	}()
	timer := time.NewTimer(startTimeout)
	defer timer.Stop()
	select {
	case err := <-judged:
		if err == nil {
			return true
		}
		giveBack()
		p.logJob(a, "job_start was not recorded", err)
		return false
	case <-timer.C:
		giveBack()
	}
	if err := <-judged; err == nil {
		b.recordEnd(a, &wigeonwire.JobEnd{Attempt: attempt, Outcome: wigeonwire.Outcome_OUTCOME_NOT_RUN, Reason: "the log was slow and the slot was given back"})
	}
	return false
}

func (b *jobBook) recordResult(a *activeJob, route *wigeonstate.Route, attempt uint32, result *wigeonstep.BackendResult) (delay bool) {
	end := &wigeonwire.JobEnd{Attempt: attempt, Status: uint32(result.Status)}
	switch {
	case result.Verdict == wigeonstep.BackendWhole:
		end.Outcome, end.Answer = wigeonwire.Outcome_OUTCOME_DONE, result.Body
		if len(end.Answer) > maxJobAnswer {
			end.Answer, end.Reason = nil, fmt.Sprintf("the answer has %d bytes; at most %d are kept", len(result.Body), maxJobAnswer)
		}
	case result.Verdict.NotRun():
		end.Outcome, end.Reason = wigeonwire.Outcome_OUTCOME_NOT_RUN, reasonOf(result.Err)
		b.recordEnd(a, end)
		return true
	case route.Class.Idempotent && attempt < maxJobAttempts:
		// The job stays running on the log; the next poll starts it again with the next attempt number.
		b.process.logJob(a, "an attempt ended without an answer; the job starts again", result.Err)
		return true
	default:
		end.Outcome, end.Reason = wigeonwire.Outcome_OUTCOME_UNKNOWN, reasonOf(result.Err)
	}
	b.recordEnd(a, end)
	return false
}

func (b *jobBook) endUnknown(a *activeJob, reason string) bool {
	b.recordEnd(a, &wigeonwire.JobEnd{Attempt: a.job.GetAttempt(), Outcome: wigeonwire.Outcome_OUTCOME_UNKNOWN, Reason: reason})
	return true
}

// recordEnd proposes job_end until the fold has judged it.
func (b *jobBook) recordEnd(a *activeJob, end *wigeonwire.JobEnd) {
	p := b.process
	end.Job = a.job.GetAccept().GetJob()
	delay := firstJobDelay
	for range maxEndTries {
		_, err := p.config.Follower.Propose(p.lifetime, &wigeonwire.Entry{Body: &wigeonwire.Entry_JobEnd{JobEnd: end}})
		if err == nil {
			return
		}
		if errors.Is(err, wigeonstep.ErrRejected) {
			p.logJob(a, "job_end was refused", err)
			return
		}
		if !sleep(p.lifetime, delay/2+rand.N(delay/2)) {
			return
		}
		delay = min(delay*2, maxJobDelay)
	}
	p.logJob(a, "job_end was not recorded", errors.New("the log did not take it"))
}

func (p *Process) logJob(a *activeJob, event string, err error) {
	p.config.Logger.Info(event, zap.String("job", a.job.GetAccept().GetJob()), zap.String("team", a.job.GetAccept().GetTeam()),
		zap.String("class", a.job.GetAccept().GetClass()), zap.Uint32("attempt", a.job.GetAttempt()), zap.Error(err))
}
