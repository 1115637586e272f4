package wigeondaemon

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// configurationQueryInterval is the period at which peers are asked for their configuration while the operator log can't
	// be read from this process.
	configurationQueryInterval = 200 * time.Millisecond
	// maxOperatorReadAge is the time without a read of the operator log after which peers are asked. Reads of a log that can be
	// reached end after operatorPollTimeout and the time for an answer, which is a quarter of a second at a slow store; those on
	// a link that drops packets fail only 0.9 s after operatorPollTimeout.
	maxOperatorReadAge = operatorPollTimeout + 400*time.Millisecond
	// configurationTimeout bounds the transfer of a configuration from a peer. One with 100,000 keys has 2.3 MB, which take 2 s
	// at 10 Mbit/s.
	configurationTimeout = 2500 * time.Millisecond
	// maxStandbyAddresses bounds the addresses of standbys that are kept.
	maxStandbyAddresses = 64
)

// configurationAccess says how long ago the version in force was known to be the newest one. The times are those of
// wigeonshard.Timestamp.Steady, 0 for never. Its methods are safe for concurrent use.
type configurationAccess struct {
	// readsFailing is set while reads of the operator log fail.
	readsFailing atomic.Bool
	// readAt is the time at which the operator log was last read to its end, and confirmedAt that or the time of the last
	// question to a peer that reads it and had no newer version.
	readAt, confirmedAt atomic.Int64
}

func (a *configurationAccess) recordRead(now time.Duration) {
	a.readAt.Store(int64(now))
	a.confirm(now)
}

func (a *configurationAccess) confirm(at time.Duration) {
	for {
		last := a.confirmedAt.Load()
		if int64(at) <= last || a.confirmedAt.CompareAndSwap(last, int64(at)) {
			return
		}
	}
}

// readsLog reports whether this process reads the operator log.
func (a *configurationAccess) readsLog(now time.Duration) bool {
	return !a.readsFailing.Load() && now-time.Duration(a.readAt.Load()) <= maxOperatorReadAge
}

// configurationOutdated reports whether calls that need a credential must be refused, because the version in force may have been
// replaced for too long.
func (d *Daemon) configurationOutdated() bool {
	return d.config.RevokeAfter > 0 && d.config.Now().Steady-time.Duration(d.configurationAccess.confirmedAt.Load()) > d.config.RevokeAfter
}

// followPeerConfigurations asks peers for their configuration while the operator log can't be read here, until ctx ends.
func (d *Daemon) followPeerConfigurations(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, configurationQueryInterval/2+rand.N(configurationQueryInterval))
		if d.configurationAccess.readsLog(d.config.Now().Steady) {
			continue
		}
		peers, ok := queryLoop(ctx, d, d.configurationPeers)
		if !ok || len(peers) == 0 {
			continue
		}
		d.updateConfigurationFrom(ctx, peers[rand.IntN(len(peers))])
	}
}

// configurationPeers returns the addresses of the other processes that are known.
func (d *Daemon) configurationPeers() []string {
	return append(d.standbys.list(), d.ownerAddresses()...)
}

// KnownPeers returns the number of processes that can be asked for their configuration.
func (d *Daemon) KnownPeers() int {
	peers, _ := queryLoop(d.ctx, d, d.configurationPeers)
	return len(peers)
}

// addressList holds the newest maxStandbyAddresses addresses that were added. The zero value is empty. It is safe for concurrent
// use, so that a call that adds an address wakes no event loop.
type addressList struct {
	mu        sync.Mutex
	addresses []string
}

func (l *addressList) add(address string) {
	if address == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addresses = slices.DeleteFunc(l.addresses, func(known string) bool { return known == address })
	l.addresses = append(l.addresses, address)
	l.addresses = l.addresses[max(0, len(l.addresses)-maxStandbyAddresses):]
}

// list returns a copy of the addresses.
func (l *addressList) list() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.addresses)
}

// updateConfigurationFrom puts the configuration of a peer in force if it is newer than the one here. It confirms the version in
// force if the peer reads the operator log and has no newer one.
func (d *Daemon) updateConfigurationFrom(ctx context.Context, peer string) {
	sent := d.config.Now().Steady
	// No version is newer than the highest one, so the peer answers without its record, which may be large.
	newest, err := d.queryConfiguration(ctx, peer, math.MaxUint64, peerTimeout)
	if err != nil {
		return
	}
	if newest.GetVersion() > uint64(d.configurationVersion()) {
		answer, err := d.queryConfiguration(ctx, peer, uint64(d.configurationVersion()), configurationTimeout)
		if err != nil {
			return
		}
		table, err := d.decodeConfiguration(answer.GetRecord())
		if err != nil {
			d.config.Logger.Warn("peer_configuration_skipped", zap.String("peer", peer), zap.Uint64("version", answer.GetVersion()), zap.Error(err))
			return
		}
		_, applied := queryLoop(ctx, d, func() bool {
			if table != nil {
				d.applyConfiguration(table, peer)
			}
			return true
		})
		if !applied {
			return
		}
	}
	if newest.GetConfirmed() && newest.GetVersion() <= uint64(d.configurationVersion()) {
		// The peer's last read, not its answer, shows that the version is the newest one.
		d.configurationAccess.confirm(sent - time.Duration(max(newest.GetAgeNanos(), 0)))
	}
}

// configurationVersion returns the version in force, 0 if there is none.
func (d *Daemon) configurationVersion() wigeonstep.ConfigVersion {
	if table := d.routes.Load(); table != nil {
		return table.version
	}
	return 0
}

// queryConfiguration asks a peer for its configuration if that is newer than the version.
func (d *Daemon) queryConfiguration(ctx context.Context, peer string, version uint64, timeout time.Duration) (*wigeonwire.ConfigurationData, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request := &wigeonwire.PeerRequest{Body: &wigeonwire.PeerRequest_Configuration{Configuration: &wigeonwire.ConfigurationQuery{Version: version}}}
	answer, err := d.config.Peers.Call(ctx, peer, request)
	if err != nil {
		d.config.Metrics.peerFailures.Inc()
		return nil, err
	}
	return answer.GetConfiguration(), nil
}

// decodeConfiguration decodes a configuration that a peer has passed on. It returns nil if the one in force is the same or newer.
// A panic counts as an error.
func (d *Daemon) decodeConfiguration(record []byte) (table *routeTable, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("panic: %v", cause)
		}
	}()
	c, err := d.config.Decoder.DecodeConfiguration(record)
	if err != nil {
		return nil, err
	}
	return d.newerConfiguration(c, record), nil
}

// answerConfigurationQuery answers a peer that can't read the operator log.
func (d *Daemon) answerConfigurationQuery(query *wigeonwire.ConfigurationQuery) *wigeonwire.PeerResponse {
	data := &wigeonwire.ConfigurationData{}
	// Whether the log is read is determined first: a version that is confirmed must not be older than the last read.
	now := d.config.Now().Steady
	if data.Confirmed = d.configurationAccess.readsLog(now); data.Confirmed {
		data.AgeNanos = int64(max(now-time.Duration(d.configurationAccess.readAt.Load()), 0))
	}
	if table := d.routes.Load(); table != nil {
		data.Version = uint64(table.version)
		if data.Version > query.GetVersion() {
			data.Record = table.record
		}
	}
	return &wigeonwire.PeerResponse{Body: &wigeonwire.PeerResponse_Configuration{Configuration: data}}
}
