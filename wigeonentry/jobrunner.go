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
	// jobPollInterval is the minimum time between two polls of the folded state for jobs. A poll reads all jobs of the
	// last day, so the next one waits at least jobPollCostFactor times the duration of the last one, which limits the
	// load of polling.
	jobPollInterval   = 200 * time.Millisecond
	jobPollCostFactor = 100
	// maxJobAttempts limits the attempts of a job of an idempotent class. If the last one ends without
	// an answer, the job ends as unknown.
	maxJobAttempts = 10
	// jobStartTimeout limits how long a job holds its slot while its job_start record is neither accepted nor rejected.
	jobStartTimeout = 5 * time.Second
	// jobTimeoutRuns and minJobTimeout determine the timeout of one attempt of a job: the largest of the deadline of the
	// class, jobTimeoutRuns times its stated run time and minJobTimeout. Stated run times are wrong by a factor of ten,
	// and the default deadline is made for short requests.
	jobTimeoutRuns    = 20
	minJobTimeout     = time.Hour
	minJobRetryDelay  = 100 * time.Millisecond
	maxJobRetryDelay  = 30 * time.Second
	maxJobAnswerBytes = 64 << 10
	// maxJobEndProposals limits the proposals of one job_end record. With the delays between them they span about half
	// an hour.
	maxJobEndProposals = 70
)

// jobRunner runs the jobs that are assigned to this process.
type jobRunner struct {
	process *Process
	wake    chan struct{}

	mu     sync.Mutex
	active map[wigeonstep.JobID]*activeJob
	// backoffs holds the delays before the next attempts of jobs whose last call of advance reported a delay.
	backoffs map[wigeonstep.JobID]jobBackoff
}

// jobBackoff delays the next attempt of a job.
type jobBackoff struct {
	// until is the earliest time of the next attempt.
	until time.Time
	// last is the delay before jitter; the next one is twice as long, up to maxJobRetryDelay.
	last time.Duration
}

// activeJob is a job that is queued, being recorded as started, or running in this process.
type activeJob struct {
	job *wigeonwire.Job
	// ctx ends when the job is cancelled, or assigned to another session, while it is queued.
	ctx    context.Context //nolint:containedctx // the value lives as long as the goroutine that uses it
	cancel context.CancelFunc
	// started is set before job_start is proposed. From then on ctx no longer ends the attempt.
	started bool
}

func newJobRunner(p *Process) *jobRunner {
	return &jobRunner{process: p, wake: make(chan struct{}, 1), active: map[wigeonstep.JobID]*activeJob{}, backoffs: map[wigeonstep.JobID]jobBackoff{}}
}

// wakePoll makes pollUntilDone poll at once.
func (r *jobRunner) wakePoll() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// startedJobs returns the number of jobs whose attempt has started.
func (r *jobRunner) startedJobs() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, a := range r.active {
		if a.started {
			n++
		}
	}
	return n
}

// pollUntilDone starts the pending jobs that are assigned to this process until ctx ends.
func (r *jobRunner) pollUntilDone(ctx context.Context) {
	timer := time.NewTimer(jobPollInterval)
	defer timer.Stop()
	for {
		begin := r.process.config.Now()
		r.poll(ctx)
		timer.Reset(max(jobPollInterval, jobPollCostFactor*r.process.config.Now().Sub(begin)))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-r.wake:
		}
	}
}

// poll starts assigned jobs that are not active and cancels queued jobs that are no longer assigned to this process.
func (r *jobRunner) poll(ctx context.Context) {
	p := r.process
	self := p.config.Follower.Session()
	view := p.config.Follower.View()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := p.config.Now()
	assigned := make(map[wigeonstep.JobID]bool)
	var claimable []*wigeonwire.Job
	p.config.Follower.Read(func(state *wigeonstate.State) {
		if self == 0 {
			return
		}
		for _, job := range state.UnfinishedJobs(self) {
			id := wigeonstep.JobID(job.GetAccept().GetJob())
			assigned[id] = true
			if r.active[id] == nil && !now.Before(r.backoffs[id].until) && r.mayRun(job, view) {
				claimable = append(claimable, proto.CloneOf(job))
			}
		}
	})
	for id, a := range r.active {
		if !assigned[id] && !a.started {
			a.cancel()
		}
	}
	for id, d := range r.backoffs {
		if !assigned[id] && now.After(d.until) {
			delete(r.backoffs, id)
		}
	}
	for _, job := range claimable {
		r.startJob(ctx, job)
	}
}

// mayRun reports whether no other open session runs the job.
func (r *jobRunner) mayRun(job *wigeonwire.Job, view *wigeonstate.View) bool {
	if job.GetState() != wigeonwire.JobState_JOB_STATE_RUNNING {
		return true
	}
	return !slices.ContainsFunc(view.Sessions, func(s *wigeonstate.Session) bool {
		return uint64(s.ID) == job.GetRunner() && !s.Expired && s.ID != r.process.config.Follower.Session()
	})
}

// startJob starts the goroutine of a job. The caller holds r.mu.
func (r *jobRunner) startJob(ctx context.Context, job *wigeonwire.Job) {
	id := wigeonstep.JobID(job.GetAccept().GetJob())
	a := &activeJob{job: job}
	a.ctx, a.cancel = context.WithCancel(ctx)
	r.active[id] = a
	r.process.background.Go(func() {
		delay := r.advance(a)
		a.cancel()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.active, id)
		if delay {
			last := min(max(r.backoffs[id].last*2, minJobRetryDelay), maxJobRetryDelay)
			r.backoffs[id] = jobBackoff{until: r.process.config.Now().Add(last/2 + rand.N(last/2)), last: last}
		} else {
			delete(r.backoffs, id)
		}
		r.wakePoll()
	})
}

// advance runs the next attempt of a job, or ends a job whose interrupted attempt must not be repeated. It reports
// whether the next attempt is delayed.
func (r *jobRunner) advance(a *activeJob) (delay bool) {
	p := r.process
	accept := a.job.GetAccept()
	route, ok := p.config.Follower.View().Route(wigeonstep.TeamName(accept.GetTeam()), wigeonstep.ClassName(accept.GetClass()))
	interrupted := a.job.GetState() == wigeonwire.JobState_JOB_STATE_RUNNING
	if interrupted {
		switch {
		case a.job.GetCancelRequested():
			return r.recordUnknownEnd(a, "the job was cancelled and the process that ran it is gone; it may have run")
		case !ok || !route.Class.Idempotent:
			return r.recordUnknownEnd(a, "the process that ran the job is gone; it may have run")
		case a.job.GetAttempt() >= maxJobAttempts:
			return r.recordUnknownEnd(a, fmt.Sprintf("%d attempts ended without an answer", a.job.GetAttempt()))
		}
	}
	if !ok {
		return true
	}
	s := newSlotClaim(p.poolNamed(route.Service.Document.Pool), route, time.Time{})
	if s.admit(a.ctx) != nil {
		return true
	}
	server, ok := s.pool.awaitServer(a.ctx, wigeonrouting.PickOptions{NoProbe: !route.Class.Idempotent}, time.Time{})
	if !ok {
		s.release(false)
		return false
	}
	return r.runAttempt(a, s, server)
}

// runAttempt records the start of an attempt, sends it to the backend server and records its result.
func (r *jobRunner) runAttempt(a *activeJob, s *slotClaim, server wigeonrouting.Server) (delay bool) {
	p := r.process
	r.mu.Lock()
	a.started = true
	r.mu.Unlock()
	attempt := a.job.GetAttempt() + 1
	accept := a.job.GetAccept()
	if !r.recordStart(a, attempt, server.VM, func() {
		s.pool.releaseUnused(server.VM)
		s.release(false)
	}) {
		return true
	}
	request := &wigeonstep.Request{
		ID: wigeonstep.RequestID(fmt.Sprintf("%s-%d", accept.GetJob(), attempt)), Method: accept.GetMethod(), Path: accept.GetPath(), ContentType: accept.GetContentType(), Body: accept.GetBody(),
		Team: wigeonstep.TeamName(accept.GetTeam()), Class: wigeonstep.ClassName(accept.GetClass()), Key: wigeonstep.IdempotencyKey(accept.GetKey()),
	}
	begin := p.config.Now()
	request.Deadline = begin.Add(max(s.route.Class.Deadline(), jobTimeoutRuns*s.route.Class.ExpectedRun(), minJobTimeout))
	result := p.config.Backend.Call(p.lifetime, wigeonstep.BackendCall{Request: request, VM: server.VM, Address: server.Address, Epoch: server.Epoch})
	took := p.config.Now().Sub(begin)
	s.pool.finishAttempt(s, server.VM, result, took, maxJobAttempts, request.Deadline)
	p.logAttempt(request, server.VM, int(attempt), &result)
	s.release(result.Verdict == wigeonstep.BackendAnswered)
	return r.recordResult(a, s.route, attempt, &result)
}

// recordStart proposes job_start and returns true once it is accepted. Otherwise it releases the slot, after
// jobStartTimeout at the latest. A start that is accepted after that is ended as not_run, which is true, because nothing
// was sent.
func (r *jobRunner) recordStart(a *activeJob, attempt uint32, vm wigeonstep.VMID, releaseSlot func()) bool {
	start := &wigeonwire.Entry{Body: &wigeonwire.Entry_JobStart{JobStart: &wigeonwire.JobStart{Job: a.job.GetAccept().GetJob(), Attempt: attempt, Vm: string(vm)}}}
	verdict := make(chan error, 1)
	p := r.process
	go func() {
		_, err := p.config.Follower.Propose(p.lifetime, start)
		verdict <- err
	}()
	timer := time.NewTimer(jobStartTimeout)
	defer timer.Stop()
	select {
	case err := <-verdict:
		if err == nil {
			return true
		}
		releaseSlot()
		p.logJob(a, "job_start was not recorded", err)
		return false
	case <-timer.C:
		releaseSlot()
	}
	if err := <-verdict; err == nil {
		r.recordEnd(a, &wigeonwire.JobEnd{Attempt: attempt, Outcome: wigeonwire.Outcome_OUTCOME_NOT_RUN, Reason: "the log was slow and the slot was given back"})
	}
	return false
}

// recordResult records the end of the job, unless its attempt is to be repeated. It reports whether the next attempt is
// delayed.
func (r *jobRunner) recordResult(a *activeJob, route *wigeonstate.Route, attempt uint32, result *wigeonstep.BackendResult) (delay bool) {
	end := &wigeonwire.JobEnd{Attempt: attempt, Status: uint32(result.Status)}
	switch {
	case result.Verdict == wigeonstep.BackendAnswered:
		end.Outcome, end.Answer = wigeonwire.Outcome_OUTCOME_DONE, result.Body
		if len(end.Answer) > maxJobAnswerBytes {
			end.Answer, end.Reason = nil, fmt.Sprintf("the answer has %d bytes; at most %d are kept", len(result.Body), maxJobAnswerBytes)
		}
	case result.Verdict.NotRun():
		end.Outcome, end.Reason = wigeonwire.Outcome_OUTCOME_NOT_RUN, errorReason(result.Err)
		r.recordEnd(a, end)
		return true
	case route.Class.Idempotent && attempt < maxJobAttempts:
		// The job stays in state running, and a later poll starts the next attempt.
		r.process.logJob(a, "job attempt ended without an answer; starting another one", result.Err)
		return true
	default:
		end.Outcome, end.Reason = wigeonwire.Outcome_OUTCOME_UNKNOWN, errorReason(result.Err)
	}
	r.recordEnd(a, end)
	return false
}

// recordUnknownEnd ends the job with the outcome unknown. It returns true as the result of advance, so a job whose end could
// not be recorded is retried after a delay.
func (r *jobRunner) recordUnknownEnd(a *activeJob, reason string) bool {
	r.recordEnd(a, &wigeonwire.JobEnd{Attempt: a.job.GetAttempt(), Outcome: wigeonwire.Outcome_OUTCOME_UNKNOWN, Reason: reason})
	return true
}

// recordEnd proposes job_end until it is accepted or rejected, at most maxJobEndProposals times.
func (r *jobRunner) recordEnd(a *activeJob, end *wigeonwire.JobEnd) {
	p := r.process
	end.Job = a.job.GetAccept().GetJob()
	delay := minJobRetryDelay
	for range maxJobEndProposals {
		_, err := p.config.Follower.Propose(p.lifetime, &wigeonwire.Entry{Body: &wigeonwire.Entry_JobEnd{JobEnd: end}})
		if err == nil {
			return
		}
		if errors.Is(err, wigeonstep.ErrRejected) {
			p.logJob(a, "job_end was rejected", err)
			return
		}
		if !sleep(p.lifetime, delay/2+rand.N(delay/2)) {
			return
		}
		delay = min(delay*2, maxJobRetryDelay)
	}
	p.logJob(a, "job_end was not recorded", fmt.Errorf("the log confirmed none of %d proposals", maxJobEndProposals))
}

func (p *Process) logJob(a *activeJob, message string, err error) {
	p.config.Logger.Info(message, zap.String("job", a.job.GetAccept().GetJob()), zap.String("team", a.job.GetAccept().GetTeam()),
		zap.String("class", a.job.GetAccept().GetClass()), zap.Uint32("attempt", a.job.GetAttempt()), zap.Error(err))
}
