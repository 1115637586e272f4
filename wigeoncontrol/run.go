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
	// maxPendingProposals and maxPendingActions bound the operations in progress, and with them the memory of the
	// daemon.
	maxPendingProposals = 256
	maxPendingActions   = 16
	// minRoundSpacing is the minimum time between the starts of two planning rounds. The time is also at least
	// roundSpacingFactor times the duration of the earlier round, so that planning takes at most 2% of a core, however
	// large the fleet is.
	minRoundSpacing    = 200 * time.Millisecond
	roundSpacingFactor = 50
	// proposeTimeout is the time to wait for the verdict on a proposal. Afterwards another proposal for the same subject
	// may start.
	proposeTimeout = 30 * time.Second
	// maxListRetryDelay bounds the delay before the next reading of the VM list after failed ones.
	maxListRetryDelay = 10 * time.Second
	cleanupInterval   = time.Minute
)

// daemon is the state of the control daemon. Only the goroutine of loop may use it, except for config, metrics and the
// channels, which the other goroutines share.
type daemon struct {
	config      Config
	pools       *wigeonpool.Planner
	maintenance *wigeonmaintenance.Planner
	metrics     *daemonMetrics

	listing *wigeonpool.Listing
	// confirmed is the source of Observations.Confirmed.
	confirmed map[wigeonpool.Action]time.Time
	// pendingProposals and pendingActions hold the operations in progress: at most one proposal per subject, and each
	// action once.
	pendingProposals map[string]bool
	pendingActions   map[wigeonpool.Action]bool
	proposalRetries  *retryDelays[string]
	actionRetries    *retryDelays[wigeonpool.Action]
	// planning is the result of mayPlan in the last round.
	planning bool

	listings        chan *wigeonpool.Listing
	proposalResults chan proposalResult
	actionResults   chan actionResult
	goroutines      sync.WaitGroup
	// callLimiter limits the rate of actions, that is of calls to the platform and probes.
	callLimiter *rate.Limiter
}

// Run runs the control daemon and returns nil when ctx ends. It returns an error if the configuration is incomplete.
// The follower must already be running.
func Run(ctx context.Context, config Config) error {
	config, err := config.withDefaults()
	if err != nil {
		return err
	}
	d := newDaemon(config)
	ctx, cancel := context.WithCancel(ctx)
	d.goroutines.Go(func() { d.readLists(ctx) })
	d.loop(ctx)
	cancel()
	d.goroutines.Wait()
	return nil
}

func newDaemon(config Config) *daemon {
	return &daemon{
		config:           config,
		pools:            wigeonpool.NewPlanner(config.Pool),
		maintenance:      wigeonmaintenance.NewPlanner(config.Maintenance),
		metrics:          newDaemonMetrics(config.Metrics),
		confirmed:        map[wigeonpool.Action]time.Time{},
		pendingProposals: map[string]bool{},
		pendingActions:   map[wigeonpool.Action]bool{},
		proposalRetries:  newRetryDelays[string](),
		actionRetries:    newRetryDelays[wigeonpool.Action](),
		listings:         make(chan *wigeonpool.Listing),
		proposalResults:  make(chan proposalResult),
		actionResults:    make(chan actionResult),
		callLimiter:      rate.NewLimiter(100, 100),
	}
}

// loop runs planning rounds and handles results until ctx ends.
func (d *daemon) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	cleanup := time.NewTicker(cleanupInterval)
	defer cleanup.Stop()
	var lastRound time.Time
	spacing := minRoundSpacing
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			lastRound = time.Now()
			d.planRound(ctx, lastRound)
			spacing = max(minRoundSpacing, roundSpacingFactor*time.Since(lastRound))
			timer.Reset(max(spacing, d.config.PlanInterval))
			continue
		case listing := <-d.listings:
			same := listing.SameVMs(d.listing)
			d.listing = listing
			if same {
				continue
			}
			// A changed list starts a round without waiting for the interval, because a VM that leaves the platform
			// must get no new work within 3 s.
		case <-cleanup.C:
			d.removeObsolete(time.Now())
			continue
		case result := <-d.proposalResults:
			d.handleProposalResult(result)
		case result := <-d.actionResults:
			d.handleActionResult(result)
		}
		// A result starts a round without waiting for the interval, so that the next step of a VM follows soon after
		// the last one.
		timer.Reset(max(0, spacing-time.Since(lastRound)))
	}
}

// planRound runs the planners once and starts the proposals and actions of their plans.
func (d *daemon) planRound(ctx context.Context, now time.Time) {
	planning := d.mayPlan()
	if planning != d.planning {
		d.planning = planning
		// What the planners saw before an interruption of planning no longer applies.
		d.pools = wigeonpool.NewPlanner(d.config.Pool)
		d.maintenance = wigeonmaintenance.NewPlanner(d.config.Maintenance)
		d.config.Logger.Info("planning for the data centre started or stopped", zap.Bool("planning", planning), zap.String("data_centre", string(d.config.DataCentre)))
	}
	if d.listing != nil {
		d.metrics.listAge.Set(now.Sub(d.listing.TakenAt).Seconds())
	}
	if !planning {
		return
	}
	fleet := wigeonpool.NewFleet(d.config.Follower.View(), now, d.config.DataCentre, wigeonpool.Observations{
		Listing: d.listing, SlotDemand: d.config.SlotDemand(), ConnectionResults: d.config.ConnectionResults(), Confirmed: d.confirmed,
	})
	plan := d.pools.Plan(fleet)
	plan.Append(d.maintenance.Plan(fleet))
	for _, entry := range plan.Entries {
		d.startProposal(ctx, entry, now)
	}
	for _, action := range plan.Actions {
		d.startAction(ctx, action, now)
	}
	d.metrics.roundSeconds.UpdateDuration(now)
}

// mayPlan reports whether this daemon plans for its data centre: its lease is valid, its view was confirmed within
// maxViewAge, and its session is the first in the view, which sorts them by ID, among the data centre's unexpired
// control sessions. Two daemons that both plan do no harm, because every transition and every action names
// an epoch.
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

// removeObsolete removes retry delays that are no longer used, and the confirmations of actions whose epoch has passed.
func (d *daemon) removeObsolete(now time.Time) {
	d.proposalRetries.removeUnused(now)
	d.actionRetries.removeUnused(now)
	vms := d.config.Follower.View().VMs
	for action := range d.confirmed {
		if vm := vms[action.VM]; vm == nil || vm.Epoch != action.Epoch {
			delete(d.confirmed, action)
		}
	}
}

// readLists reads the VM list at the configured interval. After each failure the delay doubles, up to
// maxListRetryDelay, or the interval if that is longer.
func (d *daemon) readLists(ctx context.Context) {
	wait := d.config.ListInterval
	var last *wigeonpool.Listing
	for {
		call, cancel := context.WithTimeout(ctx, d.config.CallTimeout)
		list, err := d.config.Platform.ListVMs(call)
		cancel()
		if err != nil {
			wait = min(2*wait, max(maxListRetryDelay, d.config.ListInterval))
			d.metrics.listErrors.Inc()
			if ctx.Err() == nil {
				d.config.Logger.Warn("could not read the VM list", zap.Error(err), zap.Duration("retry_in", wait))
			}
		} else {
			wait = d.config.ListInterval
			last = last.Update(&list, time.Now())
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
