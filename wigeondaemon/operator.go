package wigeondaemon

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeontail"
)

// This file holds what follows the operator log: configurations, waves, and the readiness that depends on them.

func (d *Daemon) tailOperator(ctx context.Context) {
	tail := wigeontail.Tail{
		Log: d.config.Operator, MaxWait: operatorPollTimeout,
		Apply: func(b wigeontail.Batch) { d.post(func() { d.applyOperatorBatch(b) }) },
		OnOutage: func(err error) {
			if !d.following.Load() {
				// A standby reads no job log, which is in the same store.
				d.logAccess.readsFailing.Store(true)
			}
			d.logPeerState("operator log", err)
		},
		OnRecovery: func() {
			if !d.following.Load() {
				d.logAccess.readsFailing.Store(false)
			}
			d.logPeerState("operator log", nil)
		},
	}
	tail.Run(ctx)
}

// applyOperatorBatch applies configurations and waves from the operator log. Records that can't be decoded are skipped.
func (d *Daemon) applyOperatorBatch(b wigeontail.Batch) {
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
			d.applyConfiguration(decoded.Configuration)
		}
		if decoded.Wave != nil {
			d.waves[decoded.Wave.Number] = *decoded.Wave
			if _, known := d.waveReadAt[decoded.Wave.Number]; !known {
				d.waveReadAt[decoded.Wave.Number] = d.config.Now().Steady
			}
			d.config.Logger.Info("wave_read", zap.Int("wave", decoded.Wave.Number), zap.Int("vms", len(decoded.Wave.VMs)), zap.Int("max_count", decoded.Wave.MaxDown), zap.Duration("period", decoded.Wave.Period))
		}
	}
}

// applyConfiguration puts a configuration in force unless the current version is the same or newer.
func (d *Daemon) applyConfiguration(c *wigeonstep.Configuration) {
	if current := d.routes.Load(); current != nil && c.Version <= current.version {
		return
	}
	d.routes.Store(newRouteTable(c))
	for _, sh := range d.sortedShards {
		if sh.owner != nil {
			sh.owner.SetTeams(c.Teams)
		}
	}
	d.setLimits(d.routes.Load())
	d.config.Logger.Info("configuration_in_force", zap.Uint64("version", uint64(c.Version)), zap.Int("queues", len(c.Queues)), zap.Int("services", len(c.Services)))
	d.updateReady()
}

// updateReady makes the process ready once a configuration is in force, every service other than spare ones has
// partitions, and all replicas are loaded.
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
	if !d.allLoaded() {
		return
	}
	d.ready.Store(true)
	d.config.Logger.Info("ready")
}

// allLoaded reports whether the replicas of all followed partitions are loaded.
func (d *Daemon) allLoaded() bool {
	return !d.following.Load() || !slices.ContainsFunc(d.sortedShards, func(sh *shard) bool { return !sh.loaded })
}
