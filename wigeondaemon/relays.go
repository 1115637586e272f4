package wigeondaemon

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeongroup"
	"github.com/wigeonstep/wigeonstep/wigeonpeer"
	"github.com/wigeonstep/wigeonstep/wigeonrelay"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// This file holds what lets other processes of the group send the orders of large pools. Processes that own a shard with
// workers are no relays, so that an owner's processor is there for its decisions.

const (
	// DefaultMinRelayedWorkers is the number of workers of a shard from which its orders go through relays. The owner of a
	// smaller pool sends them itself, which takes one hop less.
	DefaultMinRelayedWorkers = 150
	// relayCheckInterval is the period at which an owner of a large pool reads which processes may be its relays.
	relayCheckInterval = time.Second
	// relayRetryDelay is the time after which a relay that was lost is used again.
	relayRetryDelay = 2 * time.Second
	// relayOpenTimeout bounds the time to the first frame of a relay.
	relayOpenTimeout = 300 * time.Millisecond
)

var (
	errRelaySilent = errors.New("it is silent")
	errRelayFull   = errors.New("the connection takes no more orders")
	errRelayUnused = errors.New("it is no longer used")
)

// relays is the state of the event loop about the relays of this process.
type relays struct {
	// chosen holds the addresses of the processes that should be the relays.
	chosen []string
	// links holds the open links, sorted by address. One that is no longer chosen is kept until its last order has a result.
	links []*wigeonrelay.Link
	// usable holds the open links to chosen relays, which get new orders, and addresses their addresses in the same order.
	usable    []*wigeonrelay.Link
	addresses []string
	// retryAt holds the earliest time at which a chosen relay that was lost is opened again.
	retryAt map[string]time.Duration
	// opening holds the addresses of the relays that are being opened.
	opening  map[string]bool
	lastTick time.Duration
}

// needsRelays reports whether this process owns a large pool.
func (d *Daemon) needsRelays() bool {
	return slices.ContainsFunc(d.sortedShards, func(sh *shard) bool { return sh.owner != nil && sh.owner.WorkerCount() >= d.config.MinRelayedWorkers })
}

// checkRelays chooses the relays from the members of the group, if this process needs any.
func (d *Daemon) checkRelays(ctx context.Context, m *member) {
	now := d.config.Now().Steady
	if now < m.nextRelayCheck {
		return
	}
	m.nextRelayCheck = now + relayCheckInterval
	if needed, ok := queryLoop(ctx, d, d.needsRelays); !ok || !needed {
		d.post(func() { d.chooseRelays(nil) })
		return
	}
	holders, err := d.config.Group.ListHolders(ctx)
	if err != nil {
		return
	}
	var candidates []string
	for _, holder := range holders {
		if address := wigeongroup.AddressOf(holder); address != "" && address != d.config.Shard.Address {
			candidates = append(candidates, address)
		}
	}
	slices.Sort(candidates)
	candidates = slices.Compact(candidates)
	d.post(func() { d.chooseRelays(candidates) })
}

// chooseRelays chooses the relays among the candidates that own no shard with workers.
func (d *Daemon) chooseRelays(candidates []string) {
	candidates = slices.DeleteFunc(candidates, func(address string) bool {
		return slices.ContainsFunc(d.sortedShards, func(sh *shard) bool { return sh.replica.Owner.Address == address })
	})
	d.relays.chosen = wigeonrelay.Choose(d.config.Shard.Address, candidates)
	maps.DeleteFunc(d.relays.retryAt, func(address string, _ time.Duration) bool { return !slices.Contains(d.relays.chosen, address) })
	d.updateUsableRelays()
}

// updateUsableRelays recomputes which links get orders.
func (d *Daemon) updateUsableRelays() {
	d.relays.usable, d.relays.addresses = nil, nil
	for _, l := range d.relays.links {
		if slices.Contains(d.relays.chosen, l.Address) {
			d.relays.usable = append(d.relays.usable, l)
			d.relays.addresses = append(d.relays.addresses, l.Address)
		}
	}
}

// stepRelays opens the links to chosen relays, closes those that are lost or no longer used, and sends the orders of this step.
func (d *Daemon) stepRelays(now time.Duration) {
	elapsed := now - d.relays.lastTick
	d.relays.lastTick = now
	for _, l := range slices.Clone(d.relays.links) {
		switch used := slices.Contains(d.relays.chosen, l.Address); {
		case !l.Flush():
			d.closeRelay(l, errRelayFull)
		case l.Tick(elapsed):
			d.closeRelay(l, errRelaySilent)
		case !used && l.Pending() == 0:
			d.closeRelay(l, errRelayUnused)
		}
	}
	for _, address := range d.relays.chosen {
		open := slices.ContainsFunc(d.relays.links, func(l *wigeonrelay.Link) bool { return l.Address == address })
		if !open && !d.relays.opening[address] && now >= d.relays.retryAt[address] {
			d.relays.opening[address] = true
			go d.openRelay(address)
		}
	}
}

// openRelay opens a relay and receives its frames until the connection ends.
func (d *Daemon) openRelay(address string) {
	stream, first, err := d.dialRelay(address)
	if err != nil {
		d.post(func() {
			delete(d.relays.opening, address)
			d.relays.retryAt[address] = d.config.Now().Steady + relayRetryDelay
			d.config.Logger.Warn("relay_not_opened", zap.String("relay", address), zap.Error(err))
		})
		return
	}
	defer stream.Close()
	defer context.AfterFunc(d.ctx, stream.Close)()
	l, ok := queryLoop(d.ctx, d, func() *wigeonrelay.Link { return d.addRelay(address, first, stream) })
	if !ok {
		return
	}
	for {
		frame := &wigeonwire.RelayResults{}
		if err := stream.Receive(frame); err != nil {
			d.post(func() { d.closeRelay(l, fmt.Errorf("the connection ended: %w", err)) })
			return
		}
		d.post(func() {
			if !l.Closed() {
				d.work.add(workFrames, 1)
				l.Apply(d.config.Now().Steady, frame)
			}
		})
	}
}

// dialRelay connects to a relay and waits for its first frame, which shows its clock.
func (d *Daemon) dialRelay(address string) (*wigeonpeer.Stream, *wigeonwire.RelayResults, error) {
	ctx, cancel := context.WithTimeout(d.ctx, relayOpenTimeout)
	defer cancel()
	stream, err := d.config.Peers.Open(ctx, address, &wigeonwire.PeerRequest{Body: &wigeonwire.PeerRequest_Relay{Relay: &wigeonwire.RelayOpen{}}})
	if err != nil {
		return nil, nil, err
	}
	stop := context.AfterFunc(ctx, stream.Close)
	first := &wigeonwire.RelayResults{}
	err = stream.Receive(first)
	if !stop() && err == nil {
		err = errRelaySilent
	}
	if err != nil {
		stream.Close()
		return nil, nil, fmt.Errorf("wait for the first frame: %w", err)
	}
	return stream, first, nil
}

// addRelay adds the link to a relay that has sent its first frame.
func (d *Daemon) addRelay(address string, first *wigeonwire.RelayResults, stream *wigeonpeer.Stream) *wigeonrelay.Link {
	l := wigeonrelay.NewLink(address, d.config.Now().Steady, first)
	delete(d.relays.opening, address)
	d.relays.links = append(d.relays.links, l)
	slices.SortFunc(d.relays.links, func(a, b *wigeonrelay.Link) int { return strings.Compare(a.Address, b.Address) })
	d.updateUsableRelays()
	go l.Send(stream)
	d.config.Logger.Info("relay_opened", zap.String("relay", address))
	return l
}

// closeRelay ends a link. Its orders without an answer count as unanswered, except that its heartbeats are sent again.
func (d *Daemon) closeRelay(l *wigeonrelay.Link, cause error) {
	if l.Closed() {
		return
	}
	d.config.Logger.Info("relay_closed", zap.String("relay", l.Address), zap.Int("pending", l.Pending()), zap.NamedError("cause", cause))
	if !errors.Is(cause, errRelayUnused) {
		d.relays.retryAt[l.Address] = d.config.Now().Steady + relayRetryDelay
	}
	d.relays.links = slices.DeleteFunc(d.relays.links, func(other *wigeonrelay.Link) bool { return other == l })
	d.updateUsableRelays()
	l.Fail(cause)
}

// relayFor returns the link through which an order to a worker goes, or nil if this process sends it itself.
func (d *Daemon) relayFor(owner *wigeonshard.Owner, worker wigeonstep.WorkerID) *wigeonrelay.Link {
	if len(d.relays.usable) == 0 || owner.WorkerCount() < d.config.MinRelayedWorkers {
		d.config.Metrics.directOrders.Inc()
		return nil
	}
	d.config.Metrics.relayedOrders.Inc()
	return d.relays.usable[wigeonrelay.Pick(d.relays.addresses, worker)]
}

// HandleStream serves an owner that uses this process as a relay.
func (d *Daemon) HandleStream(ctx context.Context, request *wigeonwire.PeerRequest, stream *wigeonpeer.Stream) bool {
	if request.GetRelay() == nil {
		return false
	}
	relay := wigeonrelay.Relay{Workers: d.config.Orders, Now: func() time.Duration { return d.config.Now().Steady }}
	relay.Serve(ctx, stream)
	return true
}
