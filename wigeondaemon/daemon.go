// Package wigeondaemon implements the node process. It follows the logs, owns the shards that the group assigns to it,
// executes the decisions of their owners, and serves clients and peers.
//
// All state belongs to one goroutine, the event loop (Daemon.Run). Calls to other processes run on goroutines of their
// own and post their results to the event loop.
package wigeondaemon

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeongroup"
	"github.com/wigeonstep/wigeonstep/wigeonlimit"
	"github.com/wigeonstep/wigeonstep/wigeonpeer"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
	"github.com/wigeonstep/wigeonstep/wigeontail"
)

const (
	// fleetPartition is the partition for fleet-wide records: maintenance and move orders, and the partitions
	// of each service. The other partitions hold jobs.
	fleetPartition wigeonstep.Partition = 0
	// stepInterval is the period of the event loop without events while this process owns a shard. The decisions of
	// owners depend on the time as well as on events.
	stepInterval = 25 * time.Millisecond
	// stepPausePerWorker and maxStepPause determine the minimum time between two steps of the event loop.
	stepPausePerWorker = 10 * time.Microsecond
	maxStepPause       = 8 * time.Millisecond
	// eventQueueSize is the capacity of the event loop's queue. Senders block while it is full.
	eventQueueSize = 4096
	// loadedPollInterval is the period at which a starting process checks whether its replicas are loaded, so that it
	// may join the group.
	loadedPollInterval = 20 * time.Millisecond
	// joinInterval is the period at which the group membership is renewed. A member learns of a new assignment, and gives up a
	// shard that moves, with its next renewal; the shard has no owner in between.
	joinInterval = 100 * time.Millisecond
	// holdersCheckInterval is the period at which a process on a small VM checks whether processes on larger VMs hold
	// the shards. firstHoldersCheckDelay postpones the first check, so that larger ones can join the group before it.
	holdersCheckInterval   = 800 * time.Millisecond
	firstHoldersCheckDelay = 600 * time.Millisecond
	// directoryRetryDelay replaces holdersCheckInterval in a standby that does not know the partitions of the services yet.
	directoryRetryDelay = 200 * time.Millisecond
	// ownedReadPause is the pause between reads of a partition that this process owns or is claiming, otherReadPause
	// between reads of the others. The state of a partition that this process does not own may be older: it serves
	// client requests, the search for owners and, in the fleet partition, the partitions and cordons.
	ownedReadPause = 20 * time.Millisecond
	otherReadPause = 700 * time.Millisecond
	// ownerWorkersReadPause is the pause between reads of the worker log in a process that owns a shard with workers,
	// workersReadPause in the other processes.
	ownerWorkersReadPause = 120 * time.Millisecond
	workersReadPause      = 600 * time.Millisecond
	// ownedPollTimeout, otherPollTimeout and operatorPollTimeout bound the time for which a long-polling read waits for
	// a record.
	ownedPollTimeout    = time.Second
	otherPollTimeout    = 2 * time.Second
	operatorPollTimeout = time.Second
	// fencesPerGeneration is the distance between the lowest fencing tokens of two successive generations of the group. It
	// leaves room for repeated claims within one generation, each with the tokens of an epoch.
	fencesPerGeneration = 1000 * wigeonshard.TokensPerEpoch
)

// WaveReporter publishes the state of a maintenance wave to the operator.
type WaveReporter interface {
	SetWaveState(ctx context.Context, wave int, completed bool) error
}

// Config configures a Daemon. Registry, Advisor, Rate, MaxRecordBytes, MaxAppendBytes, Retention, RequireCredentials and RevokeAfter are optional, all other fields are required.
type Config struct {
	Logger *zap.Logger
	Jobs   wigeonstep.JobLog
	// Registry is nil if Shard.RegisterJobs is not set.
	Registry wigeonstep.JobRegistry
	Group    wigeonstep.Group
	Operator wigeonstep.KeyedLog
	Workers  wigeonstep.KeyedLog
	Decoder  wigeonstep.Decoder
	Orders   wigeonstep.WorkerClient
	Machines wigeonstep.MachineClient
	// Advisor is nil without an advice service.
	Advisor wigeonstep.Advisor
	Waves   WaveReporter
	Peers   *wigeonpeer.Client
	Metrics *Metrics
	// Member is the name of this process in the group. It is new after each restart.
	Member string
	// Rate is the number of tasks a second that an owner in this process can start and track; 0 if it is unknown.
	Rate wigeongroup.TaskRate
	// MinRelayedWorkers is the number of workers of a shard from which its orders go through other processes,
	// DefaultMinRelayedWorkers by default.
	MinRelayedWorkers int
	// MachineCallRate is the platform's limit on calls that change VMs, in calls per second; 0 if it is unknown.
	MachineCallRate float64
	// Partitions is the number of partitions of the job log, at least 2.
	Partitions int
	// MaxRecordBytes is the size of the largest record that the job log accepts, 256 KB by default, and MaxAppendBytes that of the
	// records of one append, 2 MB by default.
	MaxRecordBytes, MaxAppendBytes int
	// Retention is the time for which the state of an ended job is kept, 10 min by default.
	Retention time.Duration
	// MemberTTL is the time after the last renewal at which a membership in the group expires.
	MemberTTL time.Duration
	Shard     wigeonshard.Settings
	// RequireCredentials is set if calls need a credential even while the configuration lists no team.
	RequireCredentials bool
	// RevokeAfter is the time after which calls that need a credential are refused if neither the operator log nor a peer that
	// reads it confirms the version in force; 0 for never.
	RevokeAfter time.Duration
	// Now is the clock.
	Now func() wigeonshard.Timestamp
}

// Daemon is a node process. Run is called once; the other exported methods are safe for concurrent use.
type Daemon struct {
	config Config
	events chan func()
	// ctx is cancelled when Run returns. New creates it, because clients and peers may call before Run starts.
	ctx    context.Context
	cancel context.CancelFunc
	ready  atomic.Bool
	// logAccess is the reachability of the job log from this process.
	logAccess logAccess
	// logEndReads are the reads of partitions to their ends that look-ups wait for.
	logEndReads logEndReads
	// partitionTable holds the partitions of each service; nil until they are read.
	partitionTable atomic.Pointer[partitionTable]
	// following is set once this process follows the job log and the worker log. Until then it is a standby (standby.go).
	following atomic.Bool
	// holderAddresses holds the addresses of the processes that hold the partitions, as a standby last read them; nil until
	// then.
	holderAddresses atomic.Pointer[map[wigeonstep.Partition]string]
	// routes is built from the configuration in force; nil until one is read.
	routes atomic.Pointer[routeTable]
	// configurationAccess says how recently that configuration was known to be the newest.
	configurationAccess configurationAccess
	// standbys holds the addresses of the standbys that last asked for the directory.
	standbys addressList
	pauses   pauseWatch
	// unauthorizedLines bounds the log lines about refused credentials.
	unauthorizedLines *rate.Limiter

	// The fields below belong to the event loop.
	shards       map[wigeonstep.Partition]*shard
	sortedShards []*shard
	// assigned holds the partitions in the newest assignment of the group, generation the generation of that assignment.
	assigned   map[wigeonstep.Partition]bool
	generation uint64
	// leaving is set by Leave: the process accepts no assignment from then on.
	leaving bool
	workers workerRegistry
	waves   map[int]wigeonstep.Wave
	// whereLimit bounds the questions where a job would be placed.
	whereLimit wigeonlimit.Limiter
	// waveReadAt holds the time at which each wave was first read.
	waveReadAt map[int]time.Duration
	appends    appendBatcher
	// registrySlots bounds the calls to the registry in flight.
	registrySlots chan struct{}
	load          loopLoad
	// work counts what the process does for its owners and for other processes; any goroutine may add to it.
	work       workCounts
	teamGauges teamGauges
	relays     relays
	fleet      fleet
	// lastReport is the time of the last reports of the owned shards to the owner of the fleet partition.
	lastReport     time.Duration
	reportInFlight bool
	// reachedFleetOwner is set if the owner of the fleet partition has answered the newest reports.
	reachedFleetOwner bool
	quotaMetrics      quotaMetrics
	// lastSweep is the time at which ended jobs were last removed.
	lastSweep time.Duration
	// receivedCordons holds the cordons of the newest response of the fleet partition's owner that named any. They may
	// not have reached this process's replica of the fleet partition yet.
	receivedCordons map[wigeonstep.WorkerID]wigeonstep.VMID
}

// New returns a daemon that does nothing until Run.
func New(c Config) *Daemon {
	if c.Retention <= 0 {
		c.Retention = 10 * time.Minute
	}
	c.MaxRecordBytes = cmp.Or(c.MaxRecordBytes, defaultRecordBytes)
	c.MaxAppendBytes = cmp.Or(c.MaxAppendBytes, defaultAppendBytes)
	if c.MinRelayedWorkers <= 0 {
		c.MinRelayedWorkers = DefaultMinRelayedWorkers
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Daemon{
		ctx:           ctx,
		cancel:        cancel,
		config:        c,
		events:        make(chan func(), eventQueueSize),
		shards:        map[wigeonstep.Partition]*shard{},
		assigned:      map[wigeonstep.Partition]bool{},
		waves:         map[int]wigeonstep.Wave{},
		waveReadAt:    map[int]time.Duration{},
		fleet:         newFleet(c.MachineCallRate),
		registrySlots: make(chan struct{}, maxRegistryCalls),
		relays:        relays{retryAt: map[string]time.Duration{}, opening: map[string]bool{}},

		unauthorizedLines: rate.NewLimiter(maxUnauthorizedLines, unauthorizedLineBurst),
	}
}

// Run runs the event loop until ctx ends.
func (d *Daemon) Run(ctx context.Context) {
	defer d.cancel()
	d.addShard(fleetPartition)
	if !d.small() {
		d.follow()
	}
	go d.tailOperator(ctx)
	go d.followPeerConfigurations(ctx)
	go d.maintainMembership(ctx)
	timer := time.NewTimer(stepInterval)
	defer timer.Stop()
	lastStep := d.config.Now().Steady
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-d.events:
			d.measure(partEvents, func() {
				d.protect(event)
				d.drainEvents()
			})
		case <-timer.C:
		}
		now := d.config.Now().Steady
		d.pauses.turn(now)
		if wait := lastStep + d.stepPause() - now; wait > 0 {
			timer.Reset(wait)
			continue
		}
		lastStep = now
		d.protect(d.step)
		timer.Reset(d.nextStepDelay())
	}
}

// stepPause returns the minimum time between two steps. A step goes over all workers of the owned shards, so the events of
// large pools share steps.
func (d *Daemon) stepPause() time.Duration {
	workers := 0
	for _, sh := range d.sortedShards {
		if sh.owner != nil {
			workers += sh.owner.WorkerCount()
		}
	}
	return min(time.Duration(workers)*stepPausePerWorker, maxStepPause)
}

// drainEvents handles all queued events, so that one step covers them together.
func (d *Daemon) drainEvents() {
	for {
		select {
		case event := <-d.events:
			d.protect(event)
		default:
			return
		}
	}
}

// protect runs work of the event loop. A panic ends the work and the ownership of all shards, whose state may be inconsistent
// then; the next owners, of which this process may be one, build it from the log.
func (d *Daemon) protect(work func()) {
	defer func() {
		if cause := recover(); cause != nil {
			d.config.Metrics.panics.Inc()
			d.config.Logger.Error("panic", zap.Any("cause", cause), zap.Stack("stack"))
			d.dropAllShards("a panic in the event loop")
		}
	}()
	work()
}

// idleStepInterval is the period of the event loop without events while this process owns no shard.
const idleStepInterval = 250 * time.Millisecond

func (d *Daemon) nextStepDelay() time.Duration {
	for _, sh := range d.sortedShards {
		if sh.owner != nil || sh.part == fleetPartition && sh.owned {
			return stepInterval
		}
	}
	return idleStepInterval
}

// post queues an event for the event loop. It blocks while the queue is full, at most until the daemon stops.
func (d *Daemon) post(event func()) {
	select {
	case d.events <- event:
	case <-d.ctx.Done():
	}
}

// queryLoop runs query on the event loop and returns its result; ok is false if ctx ends first. The query may then still
// run later, so it must return everything in its result and write to no variable of the caller.
func queryLoop[T any](ctx context.Context, d *Daemon, query func() T) (result T, ok bool) {
	results := make(chan T, 1)
	select {
	case d.events <- func() { results <- query() }:
	case <-ctx.Done():
		return result, false
	}
	select {
	case result = <-results:
		return result, true
	case <-ctx.Done():
		return result, false
	}
}

// sleep waits for d, at most until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// logPeerState logs that a dependency became unavailable with err, or available again if err is nil.
func (d *Daemon) logPeerState(peer string, err error) {
	if err != nil {
		d.config.Logger.Warn("peer_lost", zap.String("peer", peer), zap.Error(err))
		return
	}
	d.config.Logger.Info("peer_regained", zap.String("peer", peer))
}

func (d *Daemon) tailWorkers(ctx context.Context) {
	tail := wigeontail.Tail{
		Log: d.config.Workers, MaxWait: otherPollTimeout,
		BatchPause: d.currentWorkersReadPause,
		Apply:      func(b wigeontail.Batch) { d.post(func() { d.applyWorkerBatch(b) }) },
		OnOutage:   func(err error) { d.logPeerState("worker log", err) },
		OnRecovery: func() { d.logPeerState("worker log", nil) },
	}
	tail.Run(ctx)
}

// currentWorkersReadPause returns the pause before the worker log is read again.
func (d *Daemon) currentWorkersReadPause() time.Duration {
	owns, _ := queryLoop(d.ctx, d, func() bool {
		return slices.ContainsFunc(d.sortedShards, func(sh *shard) bool { return sh.owner != nil })
	})
	if owns {
		return ownerWorkersReadPause
	}
	return workersReadPause
}

const (
	// sweepInterval is the pause between two sweeps of ended jobs; maxSweptJobs bounds the jobs removed from one shard
	// in a sweep.
	sweepInterval = 2 * time.Second
	maxSweptJobs  = 100
)

// sweepEndedJobs removes jobs from the owned shards that ended longer than Config.Retention ago, and withdrawals that have ended.
func (d *Daemon) sweepEndedJobs(now wigeonshard.Timestamp) {
	if now.Steady-d.lastSweep < sweepInterval {
		return
	}
	d.lastSweep = now.Steady
	before := now.Wall - wigeonstep.UnixMillis(d.config.Retention.Milliseconds())
	for _, sh := range d.sortedShards {
		if sh.owner != nil {
			sh.owner.DropEndedJobs(sh.replica.Expired(before, maxSweptJobs))
			d.sweepWithdrawals(sh, now.Wall)
		}
	}
}

// step runs all periodic work of the event loop and lets each owner act on the events so far.
func (d *Daemon) step() {
	now := d.config.Now()
	d.measure(partOwners, func() {
		d.expireWorkers(now.Steady)
		d.stepOwners(now)
		d.stepRelays(now.Steady)
	})
	d.measure(partOther, func() {
		d.sweepEndedJobs(now)
		d.probePeersForLog(now)
		d.updateQuotaMetrics(now.Steady)
	})
	d.measure(partReports, func() { d.reportShards(now) })
	d.measure(partFleet, func() { d.stepFleet(now) })
	d.updateTeamGauges(now.Steady)
	d.reportLoad(now.Steady)
}

// awaitsTeams reports whether the limits of the teams are not known yet, so that nothing may start: the settings say that there are
// teams, and no configuration has been read.
func (d *Daemon) awaitsTeams() bool { return d.config.RequireCredentials && d.routes.Load() == nil }

// stepOwners lets each owner act on the events so far.
func (d *Daemon) stepOwners(now wigeonshard.Timestamp) {
	if d.awaitsTeams() {
		return
	}
	for _, sh := range d.sortedShards {
		if sh.owner == nil {
			continue
		}
		d.execute(sh, sh.owner.Step(now))
		if sh.owner.Deposed() {
			d.dropShard(sh, "a peer has seen a higher fence")
			sh.retryClaimAt = now.Steady + claimRetryDelay
		}
	}
	d.countPairs()
}
