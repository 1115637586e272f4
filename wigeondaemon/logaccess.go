package wigeondaemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep/wigeonshard"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// probeInterval is the period at which peers are probed while the log is unreachable from this process.
	probeInterval = 250 * time.Millisecond
	// firstProbeWait bounds the time for which a request waits for the first probe of the peers.
	firstProbeWait = peerTimeout + 50*time.Millisecond
	// cutOffDelay is the minimum time for which the log must be unreachable before the process counts as cut off and so
	// as not ready.
	cutOffDelay = 400 * time.Millisecond
)

// logAccess is the reachability of the job log, directly and through peers. The atomics may be used by any goroutine;
// the other fields belong to the event loop.
type logAccess struct {
	// readsFailing is set while reads of the job log fail, groupUnreachable while requests to the group fail with
	// another error than ErrUnavailable, typically a timeout.
	readsFailing, groupUnreachable atomic.Bool
	// cutOff is set while the log is unreachable, no peer reports that it reaches the log, and at least one peer does
	// not respond at all. During an outage of the log itself all peers respond, and the process stays ready: sending
	// clients to other processes would not help them.
	cutOff atomic.Bool

	// unreachable is set while the event loop considers the log unreachable, since unreachableSince.
	unreachable      bool
	unreachableSince time.Duration
	probeInFlight    bool
	lastProbe        time.Duration
	// peersProbed is set once a probe has ended since the log became unreachable.
	peersProbed bool
	// relays holds the addresses of the peers that reported in the newest probe that they reach the log.
	relays []string
}

// logUnreachable reports whether the job log or the group is unreachable from this process.
func (d *Daemon) logUnreachable() bool {
	return d.logAccess.readsFailing.Load() || d.logAccess.groupUnreachable.Load()
}

// probePeersForLog probes the peers every probeInterval while the log is unreachable from this process.
func (d *Daemon) probePeersForLog(now wigeonshard.Timestamp) {
	a := &d.logAccess
	if !d.logUnreachable() {
		if a.unreachable {
			a.unreachable, a.peersProbed, a.relays = false, false, nil
			d.setCutOff(false)
		}
		return
	}
	if !a.unreachable {
		a.unreachable, a.unreachableSince, a.lastProbe = true, now.Steady, now.Steady-probeInterval
	}
	if a.probeInFlight || now.Steady-a.lastProbe < probeInterval {
		return
	}
	a.probeInFlight, a.lastProbe = true, now.Steady
	addresses := d.ownerAddresses()
	go func() {
		relays, unanswered := d.queryPeersForLog(addresses)
		d.post(func() { d.handleProbeResult(relays, unanswered) })
	}()
}

// handleProbeResult applies the result of a probe, unless the log has become reachable again.
func (d *Daemon) handleProbeResult(relays []string, unanswered int) {
	a := &d.logAccess
	a.probeInFlight = false
	if !a.unreachable {
		return
	}
	a.peersProbed, a.relays = true, relays
	d.setCutOff(len(relays) == 0 && unanswered > 0 && d.config.Now().Steady-a.unreachableSince >= cutOffDelay)
}

func (d *Daemon) setCutOff(cutOff bool) {
	if d.logAccess.cutOff.Swap(cutOff) != cutOff {
		d.config.Logger.Info("cut_off", zap.Bool("cut", cutOff), zap.Duration("age", d.config.Now().Steady-d.logAccess.unreachableSince))
	}
}

// queryPeersForLog returns the peers that reach the log, and the number of peers that did not respond.
func (d *Daemon) queryPeersForLog(addresses []string) (relays []string, unanswered int) {
	ctx, cancel := context.WithTimeout(d.ctx, peerTimeout)
	defer cancel()
	reached := make([]bool, len(addresses))
	answered := make([]bool, len(addresses))
	var queries sync.WaitGroup
	for i, address := range addresses {
		queries.Go(func() {
			request := &wigeonwire.PeerRequest{Body: &wigeonwire.PeerRequest_Log{Log: &wigeonwire.LogQuery{}}}
			answer, err := d.config.Peers.Call(ctx, address, request)
			answered[i], reached[i] = err == nil, err == nil && answer.GetLog().GetReached()
		})
	}
	queries.Wait()
	for i, address := range addresses {
		if reached[i] {
			relays = append(relays, address)
		}
		if !answered[i] {
			unanswered++
		}
	}
	return relays, unanswered
}

// relayAddresses returns the peers through which records can be written while the log is unreachable from this process.
// It waits for the first probe, at most firstProbeWait.
func (d *Daemon) relayAddresses(ctx context.Context) []string {
	type answer struct {
		probed bool
		relays []string
	}
	for waited := time.Duration(0); waited < firstProbeWait && ctx.Err() == nil; waited += recordRetryDelay {
		a, ok := queryLoop(ctx, d, func() answer { return answer{d.logAccess.peersProbed || !d.logUnreachable(), d.logAccess.relays} })
		if !ok || a.probed {
			return a.relays
		}
		sleep(ctx, recordRetryDelay)
	}
	return nil
}

// ownerAddresses returns the addresses of the other processes that the replicas name as the newest owner of a shard. A
// standby returns those of the holders.
func (d *Daemon) ownerAddresses() []string {
	if !d.following.Load() {
		return d.standbyAddresses(fleetPartition)
	}
	var addresses []string
	known := map[string]bool{"": true, d.config.Shard.Address: true}
	for _, sh := range d.sortedShards {
		if address := sh.replica.Owner.Address; !known[address] {
			known[address] = true
			addresses = append(addresses, address)
		}
	}
	return addresses
}
