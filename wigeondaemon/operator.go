package wigeondaemon

import (
	"context"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeontail"
)

// This file holds what follows the operator log: configurations, waves, and the readiness that depends on them.

// operatorBatch is a batch of the operator log, decoded.
type operatorBatch struct {
	// configuration is the newest one in the batch; nil if there is none that is newer than the one in force.
	configuration *routeTable
	waves         []wigeonstep.Wave
	// complete is set if no configuration before about readAt is newer than those of this and earlier batches.
	complete bool
	readAt   time.Duration
}

// operatorPoll returns the time for which a read of the operator log waits for a record. The end of a read confirms the version in
// force, so there must be several within RevokeAfter.
func (d *Daemon) operatorPoll() time.Duration {
	if d.config.RevokeAfter > 0 {
		return min(operatorPollTimeout, d.config.RevokeAfter/3)
	}
	return operatorPollTimeout
}

func (d *Daemon) tailOperator(ctx context.Context) {
	tail := wigeontail.Tail{
		Log: d.config.Operator, MaxWait: d.operatorPoll(),
		Apply: func(b wigeontail.Batch) {
			// Decoding a configuration with 100,000 keys takes too long for the event loop.
			decoded := d.decodeOperatorBatch(b)
			d.post(func() { d.applyOperatorBatch(decoded) })
		},
		OnOutage: func(err error) {
			if !d.following.Load() {
				// A standby reads no job log, which is in the same store.
				d.logAccess.readsFailing.Store(true)
			}
			d.configurationAccess.readsFailing.Store(true)
			d.logPeerState("operator log", err)
		},
		OnRecovery: func() {
			if !d.following.Load() {
				d.logAccess.readsFailing.Store(false)
			}
			d.configurationAccess.readsFailing.Store(false)
			d.logPeerState("operator log", nil)
		},
	}
	tail.Run(ctx)
}

// decodeOperatorBatch decodes the records of a batch. Records that can't be decoded are skipped.
func (d *Daemon) decodeOperatorBatch(b wigeontail.Batch) operatorBatch {
	// A listing holds the newest records of the time at which it began. The read after it waits for a record, so it doesn't end soon.
	decoded := operatorBatch{complete: b.Complete || b.Reset, readAt: d.config.Now().Steady}
	for _, record := range b.Records {
		if len(record.Value) == 0 {
			continue
		}
		table, wave, err := d.decodeOperatorRecord(record)
		if err != nil {
			d.config.Logger.Warn("operator_record_skipped", zap.String("key", record.Key), zap.Error(err))
			continue
		}
		if table != nil && (decoded.configuration == nil || table.version > decoded.configuration.version) {
			decoded.configuration = table
		}
		if wave != nil {
			decoded.waves = append(decoded.waves, *wave)
		}
	}
	return decoded
}

// decodeOperatorRecord decodes a record of the operator log. A panic skips the record like an error.
func (d *Daemon) decodeOperatorRecord(record wigeonstep.KeyedRecord) (table *routeTable, wave *wigeonstep.Wave, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("panic: %v", cause)
		}
	}()
	decoded, err := d.config.Decoder.DecodeOperator(record)
	if err != nil || decoded.Configuration == nil {
		return nil, decoded.Wave, err
	}
	return d.newerConfiguration(decoded.Configuration, record.Value), decoded.Wave, nil
}

// newerConfiguration returns the table of a configuration, or nil if the one in force is the same or newer.
func (d *Daemon) newerConfiguration(c *wigeonstep.Configuration, record []byte) *routeTable {
	if current := d.routes.Load(); current != nil && c.Version <= current.version {
		return nil
	}
	table := newRouteTable(c)
	table.record = record
	return table
}

// applyOperatorBatch applies the configuration and the waves of a batch.
func (d *Daemon) applyOperatorBatch(b operatorBatch) {
	if b.configuration != nil {
		d.applyConfiguration(b.configuration, "operator log")
	}
	if b.complete {
		d.configurationAccess.recordRead(b.readAt)
	}
	for _, wave := range b.waves {
		d.waves[wave.Number] = wave
		if _, known := d.waveReadAt[wave.Number]; !known {
			d.waveReadAt[wave.Number] = d.config.Now().Steady
		}
		d.config.Logger.Info("wave_read", zap.Int("wave", wave.Number), zap.Int("vms", len(wave.VMs)), zap.Int("max_count", wave.MaxDown), zap.Duration("period", wave.Period))
	}
}

// applyConfiguration puts a configuration in force unless the current version is the same or newer. source is the log or the
// address of the peer that it comes from.
func (d *Daemon) applyConfiguration(table *routeTable, source string) {
	current := d.routes.Load()
	if current != nil && table.version <= current.version {
		return
	}
	awaited := d.awaitsTeams()
	d.routes.Store(table)
	if awaited {
		d.restartOwners()
	}
	for _, sh := range d.sortedShards {
		if sh.owner != nil {
			sh.owner.SetTeams(table.directory.Teams())
		}
	}
	d.setLimits(table)
	queues := 0
	for _, of := range table.queuesByHost {
		queues += len(of)
	}
	d.config.Logger.Info("configuration_in_force", zap.Uint64("version", uint64(table.version)), zap.Int("queues", queues), zap.Int("services", len(table.services)), zap.Int("teams", len(table.directory.Teams())), zap.String("source", source))
	d.logTeamFaults(table)
	d.updateReady()
}

// restartOwners makes the state of the owners anew with the first configuration. They have not acted yet (awaitsTeams), and have
// taken in their jobs without the rates and limits of the teams.
func (d *Daemon) restartOwners() {
	for _, sh := range d.sortedShards {
		if sh.owner != nil {
			d.startOwner(sh, d.config.Now())
		}
	}
}

// maxTeamFaults bounds the faults of teams that are logged for one configuration.
const maxTeamFaults = 20

func (d *Daemon) logTeamFaults(table *routeTable) {
	for _, f := range table.teamFaults[:min(len(table.teamFaults), maxTeamFaults)] {
		d.config.Logger.Warn("team_fault", zap.Uint64("version", uint64(table.version)), zap.String("team", string(f.Team)), zap.String("cause", f.Cause), zap.Int("faults", len(table.teamFaults)))
	}
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
