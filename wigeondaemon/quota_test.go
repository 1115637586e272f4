package wigeondaemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonquota"
	"github.com/wigeonstep/wigeonstep/wigeonreplica"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const quotaTestTeam = wigeonstep.TeamName("bakers")

// newQuotaDaemon returns a daemon that owns the fleet partition and the shard of partition 1, with a configuration that limits
// quotaTestTeam to 10 cores.
func newQuotaDaemon(now *time.Duration) *Daemon {
	d := New(Config{
		Logger: zap.NewNop(), Metrics: NewMetrics(metrics.NewSet()),
		Now: func() wigeonshard.Timestamp { return wigeonshard.Timestamp{Steady: *now} },
	})
	d.routes.Store(newRouteTable(&wigeonstep.Configuration{
		Version: 1, Teams: []wigeonstep.Team{{Name: quotaTestTeam, Limit: wigeonstep.Resources{CPU: 10_000}}},
	}))
	fleet := d.addShard(fleetPartition)
	fleet.owned, fleet.fence = true, 3
	fleet.replica = &wigeonreplica.Replica{ServicePartitions: map[wigeonstep.ServiceName][]wigeonstep.Partition{"orders": {1}}}
	d.fleet.division = d.newDivision(fleet, d.config.Now())
	d.addQuotaOwner(d.addShard(1), 5)
	return d
}

func (d *Daemon) addQuotaOwner(sh *shard, fence wigeonstep.FencingToken) {
	table := d.routes.Load()
	sh.owned, sh.fence = true, fence
	sh.owner = wigeonshard.NewOwner(d.config.Shard, fence, d.config.Now(), wigeonjob.OwnerRecord{})
	sh.owner.SetTeams(table.directory.Teams())
	sh.owner.SetLimits(d.config.Now(), table.version, table.directory.Teams())
}

// writeAllowances applies the records that the division wants to write to the replica.
func (d *Daemon) writeAllowances(c *qt.C) (written int) {
	sh := d.shards[fleetPartition]
	for _, record := range d.planAllowances(sh, d.config.Now()) {
		c.Assert(sh.replica.Apply(record), qt.IsNil)
		written++
	}
	d.allowancesWritten()
	return written
}

func (d *Daemon) quotaCap() wigeonstep.MilliCPU { return d.shards[1].owner.QuotaUses()[0].Cap.CPU }

// exchangeReport delivers a report of partition 1 and the answer to it.
func (d *Daemon) exchangeReport() {
	report := d.shardReport(d.shards[1], d.config.Now())
	d.applyOrders(report, d.handleReport(report))
}

// Guards against a shard that gets no allowance, or gets it before the log holds the epoch of its owner, and against an answer to a
// former ownership in the same process that a later one applies.
func TestAllowanceOfNewOwner(t *testing.T) {
	c := qt.New(t)
	now := time.Hour
	d := newQuotaDaemon(&now)
	d.exchangeReport()
	c.Assert(d.quotaCap(), qt.Equals, wigeonstep.MilliCPU(0))
	c.Assert(d.writeAllowances(c), qt.Equals, 2)
	late := d.shardReport(d.shards[1], d.config.Now())
	lateAnswer := d.handleReport(late)
	d.exchangeReport()
	c.Assert(d.quotaCap(), qt.Equals, wigeonstep.MilliCPU(10_000))

	d.addQuotaOwner(d.shards[1], 6)
	d.applyOrders(late, lateAnswer)
	d.exchangeReport()
	c.Assert(d.quotaCap(), qt.Equals, wigeonstep.MilliCPU(0))
	c.Assert(d.writeAllowances(c), qt.Equals, 1)
	c.Assert(d.shards[fleetPartition].replica.ShardEpochs[1], qt.Equals, wigeonstep.FencingToken(6))
	d.exchangeReport()
	c.Assert(d.quotaCap(), qt.Equals, wigeonstep.MilliCPU(10_000))

	// A new division goes on from the log, and a limit that the configuration lowers binds at once.
	sh := d.shards[fleetPartition]
	sh.fence = 4
	d.fleet.division = d.newDivision(sh, d.config.Now())
	d.applyConfiguration(newRouteTable(&wigeonstep.Configuration{Version: 2, Teams: []wigeonstep.Team{{Name: quotaTestTeam, Limit: wigeonstep.Resources{CPU: 4000}}}}), "test")
	c.Assert(d.quotaCap(), qt.Equals, wigeonstep.MilliCPU(4000))
	for range 3 {
		now += reportInterval
		d.exchangeReport()
	}
	c.Assert(d.quotaCap(), qt.Equals, wigeonstep.MilliCPU(4000))
	d.updateQuotaMetrics(now)
	c.Assert(d.quotaMetrics.gauges, qt.HasLen, 3)
	d.applyConfiguration(newRouteTable(&wigeonstep.Configuration{Version: 3}), "test")
	now += time.Second
	d.updateQuotaMetrics(now)
	c.Assert(d.quotaMetrics.gauges, qt.HasLen, 0)
}

// Guards against records and grants in deployments without limits.
func TestNoLimitsNoRecords(t *testing.T) {
	c := qt.New(t)
	now := time.Hour
	d := newQuotaDaemon(&now)
	d.routes.Store(newRouteTable(&wigeonstep.Configuration{Version: 1, Teams: []wigeonstep.Team{{Name: quotaTestTeam}}}))
	d.fleet.division = d.newDivision(d.shards[fleetPartition], d.config.Now())
	d.addQuotaOwner(d.shards[1], 5)
	report := d.shardReport(d.shards[1], d.config.Now())
	c.Assert(report.GetTeams(), qt.HasLen, 0)
	c.Assert(d.handleReport(report).GetGrants(), qt.HasLen, 0)
	c.Assert(d.writeAllowances(c), qt.Equals, 0)
}

// Guards against grants and uses that another process reads differently.
func TestQuotaMessages(t *testing.T) {
	c := qt.New(t)
	limit := wigeonstep.Resources{CPU: 10, Memory: wigeonquota.Unlimited, GPU: 0}
	for _, total := range []wigeonstep.Resources{limit, {CPU: 20, Memory: wigeonquota.Unlimited, GPU: 1}} {
		g := wigeonquota.Grant{Team: "t", Number: wigeonquota.GrantNumber{Epoch: 3, Counter: 4}, Allowance: wigeonstep.Resources{Memory: 7}, Limit: limit, Total: total, Version: 9, MayExceed: true}
		c.Assert(decodeTeamGrant(encodeTeamGrant(g)), qt.Equals, g)
	}
	u := wigeonquota.Use{Team: "t", Use: wigeonstep.Resources{CPU: 1}, Wanted: wigeonstep.Resources{Memory: 2}, Next: wigeonstep.Resources{GPU: 3}, Cap: limit, Grant: wigeonquota.GrantNumber{Epoch: 1, Counter: 2}}
	c.Assert(decodeTeamUse(encodeTeamUses([]wigeonquota.Use{u})[0]), qt.Equals, u)
}

// BenchmarkQuotaReport measures the handling of a report of one of 24 shards by the division, with 12 changed teams, for several
// numbers of teams. The ratio to 20 teams is reported, because absolute times differ between computers.
func BenchmarkQuotaReport(b *testing.B) {
	var base float64
	for _, count := range []int{20, 97, 1000} {
		b.Run(fmt.Sprintf("teams=%d", count), func(b *testing.B) {
			var teams []wigeonstep.Team
			for i := range count {
				teams = append(teams, wigeonstep.Team{Name: wigeonstep.TeamName(fmt.Sprintf("team-%d", i)), Limit: wigeonstep.Resources{CPU: 100_000}})
			}
			var parts []wigeonstep.Partition
			for part := range 24 {
				parts = append(parts, wigeonstep.Partition(part+1))
			}
			division := wigeonquota.NewDivision(1, nil, nil)
			division.SetPartitions(parts)
			division.SetLimits(0, 1, teams)
			now, i := time.Duration(0), 0
			for b.Loop() {
				now += 60 * time.Millisecond / 24
				i++
				uses := make([]*wigeonwire.TeamUse, 12)
				for n := range uses {
					use := wigeonstep.Resources{CPU: wigeonstep.MilliCPU(1000 * (1 + (i+n)%30))}
					uses[n] = encodeTeamUses([]wigeonquota.Use{{Team: teams[(i+n)%count].Name, Use: use, Wanted: use.Add(use), Next: wigeonstep.Resources{CPU: 1000}}})[0]
				}
				decoded := make([]wigeonquota.Use, len(uses))
				for n, u := range uses {
					decoded[n] = decodeTeamUse(u)
				}
				division.Report(now, parts[i%len(parts)], 1, decoded)
				if division.Plan(now); i%10 == 0 {
					division.Written(now)
				}
			}
			per := float64(b.Elapsed().Nanoseconds()) / float64(b.N)
			if base == 0 {
				base = per
			}
			b.ReportMetric(per/base, "ratio")
		})
	}
}
