package wigeoncontrol

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/wigeonstep/wigeonstep/wigeonmaintenance"
	"github.com/wigeonstep/wigeonstep/wigeonpool"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// maxProposals and maxActions bound what is outstanding at once, and with it the daemon's memory.
	maxProposals = 256
	maxActions   = 16
	// roundSpacing is the least time between two planning rounds, and roundShare how many times as long as a round the time
	// until the next one is at least, so that planning takes at most 2% of a core however large the fleet is.
	roundSpacing = 200 * time.Millisecond
	roundShare   = 50
	// proposeTimeout is how long a proposal waits for its verdict before the subject is planned anew.
	proposeTimeout = 30 * time.Second
	// maxListWait is how long the reader of the VM list waits at most after it failed.
	maxListWait = 10 * time.Second
	sweepEvery  = time.Minute
)

// daemon is the control state. Only the goroutine of loop uses it, except for the fields that tasks share.
type daemon struct {
	config      Config
	pools       *wigeonpool.Planner
	maintenance *wigeonmaintenance.Planner
	metrics     *daemonMetrics

	listing   *wigeonpool.Listing
	confirmed map[wigeonpool.Action]time.Time
	// proposing and acting hold what is outstanding: one proposal for each subject, each action once.
	proposing map[string]bool
	acting    map[wigeonpool.Action]bool
	proposals *retries[string]
	actions   *retries[wigeonpool.Action]
	planning  bool

	listings chan *wigeonpool.Listing
	proposed chan proposalResult
	acted    chan actionResult
	tasks    sync.WaitGroup
	// calls bounds the calls to the platform.
	calls *rate.Limiter
}

// Run plans until ctx ends and returns nil then. The follower must be running.
func Run(ctx context.Context, config Config) error {
	config, err := config.withDefaults()
	if err != nil {
		return err
	}
	d := newDaemon(config)
	ctx, cancel := context.WithCancel(ctx)
	d.tasks.Go(func() { d.readLists(ctx) })
	d.loop(ctx)
	cancel()
	d.tasks.Wait()
	return nil
}

func newDaemon(config Config) *daemon {
	return &daemon{
		config:      config,
		pools:       wigeonpool.NewPlanner(config.Pool),
		maintenance: wigeonmaintenance.NewPlanner(config.Maintenance),
		metrics:     newDaemonMetrics(config.Metrics),
		confirmed:   map[wigeonpool.Action]time.Time{},
		proposing:   map[string]bool{},
		acting:      map[wigeonpool.Action]bool{},
		proposals:   newRetries[string](),
		actions:     newRetries[wigeonpool.Action](),
		listings:    make(chan *wigeonpool.Listing),
		proposed:    make(chan proposalResult),
		acted:       make(chan actionResult),
		calls:       rate.NewLimiter(100, 100),
	}
}

// loop owns the control state until ctx ends.
func (d *daemon) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	var last time.Time
	spacing := roundSpacing
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			last = time.Now()
			d.round(ctx, last)
			spacing = max(roundSpacing, roundShare*time.Since(last))
			timer.Reset(max(spacing, d.config.PlanInterval))
			continue
		case listing := <-d.listings:
			same := listing.Same(d.listing)
			d.listing = listing
			if same {
				continue
			}
			// A VM that leaves must get no new work within 3 s, so a changed list does not wait for the interval.
		case <-sweep.C:
			d.sweep(time.Now())
			continue
		case result := <-d.proposed:
			d.onProposed(result)
		case result := <-d.acted:
			d.onActed(result)
		}
		// The next step of a VM follows soon after the last one, without waiting for the interval.
		timer.Reset(max(0, spacing-time.Since(last)))
	}
}

// round runs the planners once and starts what they ask for.
func (d *daemon) round(ctx context.Context, now time.Time) {
	planning := d.mayPlan()
	if planning != d.planning {
		d.planning = planning
		// What a planner remembers from before a time without rounds says nothing about the time after it.
		d.pools = wigeonpool.NewPlanner(d.config.Pool)
		d.maintenance = wigeonmaintenance.NewPlanner(d.config.Maintenance)
		d.config.Logger.Info("planning for the data centre", zap.Bool("planning", planning), zap.String("data_centre", string(d.config.DataCentre)))
	}
	if d.listing != nil {
		d.metrics.listAge.Set(now.Sub(d.listing.TakenAt).Seconds())
	}
	if !planning {
		return
	}
	fleet := wigeonpool.NewFleet(d.config.Follower.View(), now, d.config.DataCentre, wigeonpool.Observations{
		Listing: d.listing, Loads: d.config.Loads(), Reach: d.config.Reach(), Confirmed: d.confirmed,
	})
	plan := d.pools.Plan(fleet)
	plan.Append(d.maintenance.Plan(fleet))
	for _, entry := range plan.Entries {
		d.propose(ctx, entry, now)
	}
	for _, action := range plan.Actions {
		d.act(ctx, action, now)
	}
	d.metrics.round.UpdateDuration(now)
}

// mayPlan reports whether this daemon plans for its data centre: its lease and its view are valid, and no open control
// session of the data centre has a lower id. Two daemons that both believe so do no harm, since every entry names an epoch.
func (d *daemon) mayPlan() bool {
	f := d.config.Follower
	id := f.Session()
	if id == 0 || !f.LeaseValid() || f.ConfirmedAge() > maxViewAge {
		return false
	}
	for _, s := range f.View().Sessions {
		if s.Role == wigeonwire.Role_ROLE_CONTROL && s.DataCentre == d.config.DataCentre && !s.Expired {
			return s.ID == id
		}
	}
	return false
}

// sweep forgets what concerns epochs and subjects of the past.
func (d *daemon) sweep(now time.Time) {
	d.proposals.sweep(now)
	d.actions.sweep(now)
	vms := d.config.Follower.View().VMs
	for action := range d.confirmed {
		if vm := vms[action.VM]; vm == nil || vm.Epoch != action.Epoch {
			delete(d.confirmed, action)
		}
	}
}

// readLists reads the VM list at the interval. After an error it waits longer, up to maxListWait.
func (d *daemon) readLists(ctx context.Context) {
	wait := d.config.ListInterval
	var last *wigeonpool.Listing
	for {
		call, cancel := context.WithTimeout(ctx, d.config.CallTimeout)
		list, err := d.config.Platform.ListVMs(call)
		cancel()
		if err != nil {
			wait = min(2*wait, max(maxListWait, d.config.ListInterval))
			d.metrics.listErrors.Inc()
			if ctx.Err() == nil {
				d.config.Logger.Warn("the VM list was not read", zap.Error(err), zap.Duration("retry_in", wait))
			}
		} else {
			wait = d.config.ListInterval
			last = last.Next(&list, time.Now())
			select {
			case d.listings <- last:
			case <-ctx.Done():
				return
			}
		}
		if !sleep(ctx, jittered(wait)) {
			return
		}
	}
}
