// Package wigeondaemon runs one process of the system: it follows the logs, owns the shards that the group gives it,
// carries out what their owners decide, and answers clients and peers.
//
// One goroutine holds all state. Calls to peers run on others and hand their results back to it.
package wigeondaemon

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeongroup"
	"github.com/wigeonstep/wigeonstep/wigeonpeer"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
	"github.com/wigeonstep/wigeonstep/wigeontail"
)

const (
	// fleetPartition carries the upkeep orders; services use the others.
	fleetPartition wigeonstep.Partition = 0
	// stepInterval is how often the owners look at the time when nothing else happens.
	stepInterval = 25 * time.Millisecond
	// eventBacklog bounds the results that wait for the goroutine that holds the state.
	eventBacklog = 4096
	// readyPoll is how often a process that has not read its state looks whether it may join the group.
	readyPoll = 20 * time.Millisecond
	// joinInterval is how often membership is renewed.
	joinInterval = 250 * time.Millisecond
	// holdersInterval is how often a process on a small VM looks whether larger ones hold the shards, and holdersDelay how
	// long it lets them come first.
	holdersInterval = 800 * time.Millisecond
	holdersDelay    = 600 * time.Millisecond
	// ownedGap is the pause between reads of a partition that this process owns; otherGap for the others, whose state
	// only answers clients.
	ownedGap = 20 * time.Millisecond
	otherGap = 700 * time.Millisecond
	// ownerWorkersGap is the pause between reads of the workers' entries in a process that owns a shard, workersGap in
	// the others.
	ownerWorkersGap = 120 * time.Millisecond
	workersGap      = 600 * time.Millisecond
	// ownedWait, otherWait and operatorWait are how long reads wait for a record.
	ownedWait    = time.Second
	otherWait    = 2 * time.Second
	operatorWait = time.Second
	// epochsPerGeneration leaves room for the epochs that one generation of the group may need.
	epochsPerGeneration = 1000
)

// WaveReporter tells the operator how far a wave is.
type WaveReporter interface {
	SetWaveState(ctx context.Context, wave int, completed bool) error
}

// Config configures a Daemon. All fields are required but Advisor, Rate and Retention.
type Config struct {
	Logger   *zap.Logger
	Jobs     wigeonstep.JobLog
	Group    wigeonstep.Group
	Operator wigeonstep.KeyedLog
	Workers  wigeonstep.KeyedLog
	Decoder  wigeonstep.Decoder
	Orders   wigeonstep.WorkerOrders
	Machines wigeonstep.MachineOrders
	// Advisor is nil when there is no advice service.
	Advisor wigeonstep.Advisor
	Waves   WaveReporter
	Peers   *wigeonpeer.Client
	Metrics *Metrics
	// Member names this life of the process in the group.
	Member string
	// Rate is what an owner in this process can carry; 0 when it is not known.
	Rate wigeongroup.Rate
	// Partitions is the number of partitions of the job log, at least 2.
	Partitions int
	// Retention is how long the state of an ended job is kept, default 10 min.
	Retention time.Duration
	// MemberTTL is after how long the group drops a silent member.
	MemberTTL time.Duration
	Shard     wigeonshard.Settings
	// Now returns the time.
	Now func() wigeonshard.Now
}

// Daemon is one process of the system.
type Daemon struct {
	config Config
	events chan func()
	// ctx ends with Run; it is there before, since peers and clients may call at once.
	ctx    context.Context
	cancel context.CancelFunc
	ready  atomic.Bool
	// reach is the way to the job log.
	reach reach
	// splits holds the partitions of the services; nil while none is known.
	splits atomic.Pointer[splits]
	// routes is the configuration in force; nil while none is known.
	routes atomic.Pointer[routeTable]

	// The fields below belong to the goroutine of Run.
	shards     map[wigeonstep.Partition]*shard
	order      []*shard
	assigned   map[wigeonstep.Partition]bool
	generation uint64
	leaving    bool
	workers    registry
	waves      map[int]wigeonstep.Wave
	shared     sharedAppends
	fleet      fleet
	limits     map[wigeonstep.WorkerID]chan struct{}
	// reported is when the owned shards last reported to the owner of the fleet's partition.
	reported  time.Duration
	reporting bool
	// swept is when ended jobs were last removed.
	swept time.Duration
	// extraCordons are the cordons that the owner of the fleet's partition named and that the replica does not hold yet.
	extraCordons map[wigeonstep.WorkerID]wigeonstep.VMID
}

// New returns a daemon.
func New(c Config) *Daemon {
	if c.Retention <= 0 {
		c.Retention = 10 * time.Minute
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Daemon{
		ctx:      ctx,
		cancel:   cancel,
		config:   c,
		events:   make(chan func(), eventBacklog),
		shards:   map[wigeonstep.Partition]*shard{},
		assigned: map[wigeonstep.Partition]bool{},
		waves:    map[int]wigeonstep.Wave{},
		limits:   map[wigeonstep.WorkerID]chan struct{}{},
		fleet:    newFleet(),
	}
}

// Run follows the logs and owns shards until ctx ends.
func (d *Daemon) Run(ctx context.Context) {
	defer d.cancel()
	d.follow(fleetPartition)
	go d.tailOperator(ctx)
	go d.tailWorkers(ctx)
	go d.join(ctx)
	timer := time.NewTimer(stepInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-d.events:
			event()
			d.drainEvents()
		case <-timer.C:
		}
		d.step()
		timer.Reset(d.nextStep())
	}
}

// drainEvents handles the events that are already there, so that one step answers all of them.
func (d *Daemon) drainEvents() {
	for {
		select {
		case event := <-d.events:
			event()
		default:
			return
		}
	}
}

// idleInterval is how often a process that owns nothing looks at the time.
const idleInterval = 250 * time.Millisecond

func (d *Daemon) nextStep() time.Duration {
	for _, sh := range d.order {
		if sh.owner != nil || sh.part == fleetPartition && sh.owned {
			return stepInterval
		}
	}
	return idleInterval
}

// post hands an event to the goroutine that holds the state.
func (d *Daemon) post(event func()) {
	select {
	case d.events <- event:
	case <-d.ctx.Done():
	}
}

// ask runs a question on the goroutine that holds the state and returns its answer; ok is false when ctx ended first. The
// question may still run then, so it hands everything back as its answer and writes to no variable of the caller.
func ask[T any](ctx context.Context, d *Daemon, question func() T) (answer T, ok bool) {
	answers := make(chan T, 1)
	select {
	case d.events <- func() { answers <- question() }:
	case <-ctx.Done():
		return answer, false
	}
	select {
	case answer = <-answers:
		return answer, true
	case <-ctx.Done():
		return answer, false
	}
}

// pause waits, at most until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// logPeer writes the line of a lost or regained dependency.
func (d *Daemon) logPeer(peer string, err error) {
	if err != nil {
		d.config.Logger.Warn("peer_lost", zap.String("peer", peer), zap.Error(err))
		return
	}
	d.config.Logger.Info("peer_regained", zap.String("peer", peer))
}

func (d *Daemon) tailOperator(ctx context.Context) {
	tail := wigeontail.Tail{
		Log: d.config.Operator, Wait: operatorWait,
		Apply:    func(b wigeontail.Batch) { d.post(func() { d.applyOperator(b) }) },
		Lost:     func(err error) { d.logPeer("operator log", err) },
		Regained: func() { d.logPeer("operator log", nil) },
	}
	tail.Run(ctx)
}

func (d *Daemon) tailWorkers(ctx context.Context) {
	tail := wigeontail.Tail{
		Log: d.config.Workers, Wait: otherWait,
		Gap:      d.workersPause,
		Apply:    func(b wigeontail.Batch) { d.post(func() { d.applyWorkers(b) }) },
		Lost:     func(err error) { d.logPeer("worker log", err) },
		Regained: func() { d.logPeer("worker log", nil) },
	}
	tail.Run(ctx)
}

// workersPause returns the pause before the workers' entries are read again.
func (d *Daemon) workersPause() time.Duration {
	owns, _ := ask(d.ctx, d, func() bool {
		return slices.ContainsFunc(d.order, func(sh *shard) bool { return sh.owner != nil })
	})
	if owns {
		return ownerWorkersGap
	}
	return workersGap
}

// applyOperator takes configurations and waves over.
func (d *Daemon) applyOperator(b wigeontail.Batch) {
	for _, record := range b.Records {
		if len(record.Value) == 0 {
			continue
		}
		decoded, err := d.config.Decoder.DecodeOperator(record)
		if err != nil {
			d.config.Logger.Warn("operator_record_skipped", zap.String("key", record.Key), zap.Error(err))
			continue
		}
		if decoded.Configuration != nil {
			d.configure(decoded.Configuration)
		}
		if decoded.Wave != nil {
			d.waves[decoded.Wave.Number] = *decoded.Wave
			d.config.Logger.Info("wave_read", zap.Int("wave", decoded.Wave.Number), zap.Int("vms", len(decoded.Wave.VMs)), zap.Int("max_count", decoded.Wave.MaxCount), zap.Duration("period", decoded.Wave.Period))
		}
	}
}

// configure puts a configuration in force unless a newer one is.
func (d *Daemon) configure(c *wigeonstep.Configuration) {
	if current := d.routes.Load(); current != nil && c.Version <= current.version {
		return
	}
	d.routes.Store(newRouteTable(c))
	d.config.Logger.Info("configuration_in_force", zap.Uint64("version", uint64(c.Version)), zap.Int("queues", len(c.Queues)), zap.Int("services", len(c.Services)))
	d.updateReady()
}

// updateReady makes the process ready once it knows a configuration and the jobs of every service.
func (d *Daemon) updateReady() {
	if d.ready.Load() || d.leaving || d.routes.Load() == nil {
		return
	}
	table := d.routes.Load()
	for _, service := range table.services {
		if !table.spare[service] && len(d.partitions(service)) == 0 {
			return
		}
	}
	if !d.loaded() {
		return
	}
	d.ready.Store(true)
	d.config.Logger.Info("ready")
}

// loaded reports whether the state of every partition that is followed has been read.
func (d *Daemon) loaded() bool {
	return !slices.ContainsFunc(d.order, func(sh *shard) bool { return !sh.loaded })
}

const (
	// sweepInterval is the pause between two removals of ended jobs, maxSwept bounds one of a shard.
	sweepInterval = 2 * time.Second
	maxSwept      = 100
)

// dropEnded removes jobs from the owned shards that ended longer ago than their state is kept.
func (d *Daemon) dropEnded(now wigeonshard.Now) {
	if now.Steady-d.swept < sweepInterval {
		return
	}
	d.swept = now.Steady
	before := now.Wall - wigeonstep.UnixMillis(d.config.Retention.Milliseconds())
	for _, sh := range d.order {
		if sh.owner != nil {
			sh.owner.Drop(sh.replica.Expired(before, maxSwept))
		}
	}
}

// step lets every owner act on what has happened.
func (d *Daemon) step() {
	now := d.config.Now()
	d.expireWorkers(now.Steady)
	for _, sh := range d.order {
		if sh.owner == nil {
			continue
		}
		d.execute(sh, sh.owner.Step(now))
		if sh.owner.Deposed() {
			d.drop(sh, "a peer has seen a higher fence")
			sh.retryClaim = now.Steady + claimRetryDelay
		}
	}
	d.dropEnded(now)
	d.probeLog(now)
	d.reportShards(now)
	d.stepFleet(now)
}
