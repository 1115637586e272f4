package wigeondaemon

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonquota"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// urgentQuotaInterval replaces reportInterval while the division, or a task, waits for a report about a team's limit.
	urgentQuotaInterval = 20 * time.Millisecond
	// quotaMetricsInterval is the time between two updates of the gauges of the teams.
	quotaMetricsInterval = time.Second
	// maxAllowanceLines bounds the lines allowance_changed in each quotaMetricsInterval.
	maxAllowanceLines = 20
)

// quotaMetrics is the state of the gauges and log lines about the teams' limits.
type quotaMetrics struct {
	updatedAt time.Duration
	// gauges holds the names of the registered gauges.
	gauges map[string]bool
	// lines counts the lines allowance_changed since updatedAt.
	lines int
}

// newDivision returns the division of the teams' limits for a new ownership of the fleet partition.
func (d *Daemon) newDivision(sh *shard, now wigeonshard.Timestamp) *wigeonquota.Division {
	var records []wigeonquota.Record
	for _, team := range slices.Sorted(maps.Keys(sh.replica.Allowances)) {
		records = append(records, sh.replica.Allowances[team])
	}
	division := wigeonquota.NewDivision(sh.fence, records, sh.replica.ShardEpochs)
	division.SetPartitions(usedPartitions(sh.replica.ServicePartitions))
	if table := d.routes.Load(); table != nil {
		division.SetLimits(now.Steady, table.version, table.directory.Teams())
	}
	return division
}

// usedPartitions returns the partitions of all services in order.
func usedPartitions(services map[wigeonstep.ServiceName][]wigeonstep.Partition) []wigeonstep.Partition {
	used := map[wigeonstep.Partition]bool{}
	for _, parts := range services {
		for _, part := range parts {
			used[part] = true
		}
	}
	return slices.Sorted(maps.Keys(used))
}

// setLimits puts the limits of the teams of the configuration in force in the owners and in the division of this process.
func (d *Daemon) setLimits(table *routeTable) {
	now := d.config.Now()
	for _, sh := range d.sortedShards {
		if sh.owner != nil {
			sh.owner.SetLimits(now, table.version, table.directory.Teams())
		}
	}
	if sh := d.shards[fleetPartition]; sh != nil && sh.owned {
		d.fleet.division.SetLimits(now.Steady, table.version, table.directory.Teams())
	}
}

// planAllowances returns the records of the allowances, and of the epochs of the shards, that are to be written now.
func (d *Daemon) planAllowances(sh *shard, now wigeonshard.Timestamp) []wigeonstep.KeyedRecord {
	division := d.fleet.division
	division.SetPartitions(usedPartitions(sh.replica.ServicePartitions))
	allowances, epochs := division.Plan(now.Steady)
	var records []wigeonstep.KeyedRecord
	failed := false
	add := func(key string, value []byte, err error) {
		if err != nil {
			d.config.Logger.Error("allowance_record_failed", zap.String("key", key), zap.Error(err))
			failed = true
			return
		}
		records = append(records, wigeonstep.KeyedRecord{Key: key, Value: value})
	}
	for _, r := range allowances {
		value, err := wigeonjob.EncodeAllowances(r)
		add(wigeonjob.Key(wigeonjob.KindAllowances, r.Team), value, err)
	}
	if epochs != nil {
		value, err := wigeonjob.EncodeShardEpochs(epochs)
		add(wigeonjob.ShardEpochsKey, value, err)
	}
	if failed {
		// The division takes all records of a plan for durable once one append is acknowledged. A new one begins with what the log
		// holds.
		d.dropShard(sh, "a record of an allowance cannot be encoded")
		sh.retryClaimAt = now.Steady + claimRetryDelay
		return nil
	}
	return records
}

// allowancesWritten takes over the records of the newest planAllowances, which are durable.
func (d *Daemon) allowancesWritten() {
	for _, c := range d.fleet.division.Written(d.config.Now().Steady) {
		if d.quotaMetrics.lines++; d.quotaMetrics.lines <= maxAllowanceLines {
			d.config.Logger.Info("allowance_changed", zap.String("team", string(c.Team)), zap.Int("partition", int(c.Partition)), zap.String("from", amountText(c.From)), zap.String("to", amountText(c.To)))
		}
	}
}

// amountText returns an amount in millicores, MB and GPUs; a resource without a bound as "-".
func amountText(r wigeonstep.Resources) string {
	text := func(n int64) string {
		if n >= wigeonquota.Unlimited {
			return "-"
		}
		return fmt.Sprint(n)
	}
	return text(int64(r.CPU)) + "/" + text(int64(r.Memory)) + "/" + text(r.GPU)
}

// divideFor takes in what a shard reports about the teams with a limit, and returns the grants for it.
func (d *Daemon) divideFor(r *wigeonwire.ShardReport, now time.Duration) []*wigeonwire.TeamGrant {
	uses := make([]wigeonquota.Use, len(r.GetTeams()))
	for i, u := range r.GetTeams() {
		uses[i] = decodeTeamUse(u)
	}
	var grants []*wigeonwire.TeamGrant
	for _, g := range d.fleet.division.Report(now, wigeonstep.Partition(r.GetPartition()), wigeonstep.FencingToken(r.GetEpoch()), uses) {
		grants = append(grants, encodeTeamGrant(g))
	}
	return grants
}

// applyGrants takes over the grants in the answer to a report. They are for the ownership that sent the report: a later one in this
// process has not been admitted by the division yet.
func (d *Daemon) applyGrants(report *wigeonwire.ShardReport, orders *wigeonwire.ShardOrders) {
	sh := d.shards[wigeonstep.Partition(report.GetPartition())]
	if sh == nil || sh.owner == nil || !orders.GetOwner() || uint64(sh.fence) != report.GetEpoch() {
		return
	}
	uses := make([]wigeonquota.Use, len(report.GetTeams()))
	for i, u := range report.GetTeams() {
		uses[i] = decodeTeamUse(u)
	}
	sh.owner.QuotaReported(wigeonstep.FencingToken(orders.GetEpoch()), uses)
	grants := make([]wigeonquota.Grant, len(orders.GetGrants()))
	for i, g := range orders.GetGrants() {
		grants[i] = decodeTeamGrant(g)
	}
	sh.owner.ApplyGrants(grants)
}

// quotaReportDue reports whether the division, or a task, waits for a report about a team's limit.
func (d *Daemon) quotaReportDue(now time.Duration) bool {
	return d.reachedFleetOwner && now-d.lastReport >= urgentQuotaInterval && slices.ContainsFunc(d.sortedShards, func(sh *shard) bool {
		return sh.owner != nil && sh.owner.QuotaReportUrgent()
	})
}

// updateQuotaMetrics sets the gauges of the teams with a limit: the limit, and what the runs of the shards of this process require
// and may require.
func (d *Daemon) updateQuotaMetrics(now time.Duration) {
	m := &d.quotaMetrics
	if now-m.updatedAt < quotaMetricsInterval {
		return
	}
	m.updatedAt, m.lines = now, 0
	table := d.routes.Load()
	if table == nil {
		return
	}
	values := map[string]float64{}
	limits := map[wigeonstep.TeamName]wigeonstep.Resources{}
	add := func(name string, team wigeonstep.TeamName, amount wigeonstep.Resources) {
		for _, f := range [...]struct {
			resource      string
			amount, limit int64
		}{
			{"milli_cpu", int64(amount.CPU), int64(limits[team].CPU)},
			{"memory_mb", int64(amount.Memory), int64(limits[team].Memory)},
			{"gpu", amount.GPU, limits[team].GPU},
		} {
			if f.limit > 0 {
				values[fmt.Sprintf(`wigeonstep_team_%s{team=%q,resource=%q}`, name, team, f.resource)] += float64(f.amount)
			}
		}
	}
	for _, t := range table.directory.Teams() {
		if _, twice := limits[t.Name]; !twice {
			limits[t.Name] = t.Limit
			add("limit", t.Name, t.Limit)
		}
	}
	for _, sh := range d.sortedShards {
		if sh.owner == nil {
			continue
		}
		for _, u := range sh.owner.QuotaUses() {
			add("use", u.Team, u.Use)
			add("allowance", u.Team, u.Cap)
		}
	}
	m.gauges = d.config.Metrics.setGauges(m.gauges, values)
}

func encodeAmount(r wigeonstep.Resources) *wigeonwire.Amount {
	if r == (wigeonstep.Resources{}) {
		return nil
	}
	return &wigeonwire.Amount{MilliCpu: int64(r.CPU), MemoryMb: int64(r.Memory), Gpu: r.GPU}
}

func decodeAmount(a *wigeonwire.Amount) wigeonstep.Resources {
	return wigeonstep.Resources{CPU: wigeonstep.MilliCPU(a.GetMilliCpu()), Memory: wigeonstep.Megabytes(a.GetMemoryMb()), GPU: a.GetGpu()}
}

func encodeTeamUses(uses []wigeonquota.Use) []*wigeonwire.TeamUse {
	var all []*wigeonwire.TeamUse
	for _, u := range uses {
		all = append(all, &wigeonwire.TeamUse{
			Team: string(u.Team), Use: encodeAmount(u.Use), Wanted: encodeAmount(u.Wanted), Next: encodeAmount(u.Next),
			Cap: wigeonjob.EncodeBound(u.Cap), GrantEpoch: uint64(u.Grant.Epoch), GrantNumber: u.Grant.Counter,
		})
	}
	return all
}

func decodeTeamUse(u *wigeonwire.TeamUse) wigeonquota.Use {
	return wigeonquota.Use{
		Team: wigeonstep.TeamName(u.GetTeam()), Use: decodeAmount(u.GetUse()), Wanted: decodeAmount(u.GetWanted()), Next: decodeAmount(u.GetNext()),
		Cap: wigeonjob.DecodeBound(u.GetCap()), Grant: wigeonquota.GrantNumber{Epoch: wigeonstep.FencingToken(u.GetGrantEpoch()), Counter: u.GetGrantNumber()},
	}
}

func encodeTeamGrant(g wigeonquota.Grant) *wigeonwire.TeamGrant {
	m := &wigeonwire.TeamGrant{
		Team: string(g.Team), Epoch: uint64(g.Number.Epoch), Number: g.Number.Counter, Version: uint64(g.Version), MayExceed: g.MayExceed,
		Allowance: wigeonjob.EncodeBound(g.Allowance), Limit: wigeonjob.EncodeBound(g.Limit),
	}
	if g.Total != g.Limit {
		m.Total = wigeonjob.EncodeBound(g.Total)
	}
	return m
}

func decodeTeamGrant(m *wigeonwire.TeamGrant) wigeonquota.Grant {
	g := wigeonquota.Grant{
		Team: wigeonstep.TeamName(m.GetTeam()), Number: wigeonquota.GrantNumber{Epoch: wigeonstep.FencingToken(m.GetEpoch()), Counter: m.GetNumber()},
		Allowance: wigeonjob.DecodeBound(m.GetAllowance()), Limit: wigeonjob.DecodeBound(m.GetLimit()),
		Version: wigeonstep.ConfigVersion(m.GetVersion()), MayExceed: m.GetMayExceed(),
	}
	g.Total = g.Limit
	if m.GetTotal() != nil {
		g.Total = wigeonjob.DecodeBound(m.GetTotal())
	}
	return g
}
