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
	// probeInterval is the pause between questions to the peers while the log does not answer here.
	probeInterval = 250 * time.Millisecond
	// probePatience is how long a request waits for the first answers of the peers.
	probePatience = peerTimeout + 50*time.Millisecond
	// cutPatience is how long the log must have been silent before a process that is cut off reports itself not ready.
	cutPatience = 400 * time.Millisecond
)

// reach is what this process knows of the way to the job log. The atomics may be used by any goroutine, the other fields
// belong to the goroutine of Run.
type reach struct {
	// readsLost is set while reads of the job log fail here, groupLost while the group does not answer.
	readsLost, groupLost atomic.Bool
	// cutOff is set while neither the log nor a peer that reaches it answers here, and some peer is silent altogether.
	// While the log is down for everybody all peers answer, and a process that reported itself not ready would help nobody.
	cutOff atomic.Bool

	// lost and lostSince say whether the log does not answer, and since when.
	lost      bool
	lostSince time.Duration
	probing   bool
	probed    time.Duration
	// known is set once peers have been asked since the log was lost.
	known bool
	// through holds the peers that answered that the log answers them.
	through []string
}

// logLost reports whether the job log does not answer here.
func (d *Daemon) logLost() bool {
	return d.reach.readsLost.Load() || d.reach.groupLost.Load()
}

// probeLog asks the peers about the log while it does not answer here.
func (d *Daemon) probeLog(now wigeonshard.Now) {
	r := &d.reach
	if !d.logLost() {
		if r.lost {
			r.lost, r.known, r.through = false, false, nil
			d.setCutOff(false)
		}
		return
	}
	if !r.lost {
		r.lost, r.lostSince, r.probed = true, now.Steady, now.Steady-probeInterval
	}
	if r.probing || now.Steady-r.probed < probeInterval {
		return
	}
	r.probing, r.probed = true, now.Steady
	addresses := d.ownerAddresses()
	go func() {
		through, silent := d.askPeersForLog(addresses)
		d.post(func() { d.probedLog(through, silent) })
	}()
}

// probedLog takes the answers of the peers over.
func (d *Daemon) probedLog(through []string, silent int) {
	r := &d.reach
	r.probing = false
	if !r.lost {
		return
	}
	r.known, r.through = true, through
	d.setCutOff(len(through) == 0 && silent > 0 && d.config.Now().Steady-r.lostSince >= cutPatience)
}

func (d *Daemon) setCutOff(cut bool) {
	if d.reach.cutOff.Swap(cut) != cut {
		d.config.Logger.Info("cut_off", zap.Bool("cut", cut), zap.Duration("age", d.config.Now().Steady-d.reach.lostSince))
	}
}

// askPeersForLog returns the peers that the log answers, and how many gave no answer.
func (d *Daemon) askPeersForLog(addresses []string) (through []string, silent int) {
	ctx, cancel := context.WithTimeout(d.ctx, peerTimeout)
	defer cancel()
	reached := make([]bool, len(addresses))
	answered := make([]bool, len(addresses))
	var asked sync.WaitGroup
	for i, address := range addresses {
		asked.Go(func() {
			request := &wigeonwire.PeerRequest{Body: &wigeonwire.PeerRequest_Log{Log: &wigeonwire.LogQuery{}}}
			answer, err := d.config.Peers.Call(ctx, address, request)
			answered[i], reached[i] = err == nil, err == nil && answer.GetLog().GetReached()
		})
	}
	asked.Wait()
	for i, address := range addresses {
		if reached[i] {
			through = append(through, address)
		}
		if !answered[i] {
			silent++
		}
	}
	return through, silent
}

// peersWithLog returns the peers through which records can be written while the log does not answer here. It waits for the
// first answers of the peers.
func (d *Daemon) peersWithLog(ctx context.Context) []string {
	type answer struct {
		known   bool
		through []string
	}
	for waited := time.Duration(0); waited < probePatience && ctx.Err() == nil; waited += recordDelay {
		a, ok := ask(ctx, d, func() answer { return answer{d.reach.known || !d.logLost(), d.reach.through} })
		if !ok || a.known {
			return a.through
		}
		pause(ctx, recordDelay)
	}
	return nil
}

// ownerAddresses returns the addresses of other processes that own or have owned a shard.
func (d *Daemon) ownerAddresses() []string {
	var addresses []string
	known := map[string]bool{"": true, d.config.Shard.Address: true}
	for _, sh := range d.order {
		if address := sh.replica.Owner.Address; !known[address] {
			known[address] = true
			addresses = append(addresses, address)
		}
	}
	return addresses
}
