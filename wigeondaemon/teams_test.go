package wigeondaemon

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
	"github.com/wigeonstep/wigeonstep/wigeontail"
	"github.com/wigeonstep/wigeonstep/wigeonteam"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// teamsConfiguration returns a configuration of two teams, each with the key "key-NAME", and of one whose key is that of team two.
func teamsConfiguration(version wigeonstep.ConfigVersion) *wigeonstep.Configuration {
	digest := func(key string) wigeonstep.CredentialDigest { return wigeonstep.DigestCredential([]byte(key)) }
	return &wigeonstep.Configuration{Version: version, Teams: []wigeonstep.Team{
		{Name: "one", Credentials: []wigeonstep.CredentialDigest{digest("key-one"), digest("shared")}},
		{Name: "two", Credentials: []wigeonstep.CredentialDigest{digest("key-two"), digest("shared")}},
	}}
}

// teamStep is a step of a job in these tests.
var teamStep = wigeonjob.Step{Count: 1, Required: wigeonstep.Resources{CPU: 1000, Memory: 1000}, Estimate: time.Second}

// newTeamDaemon returns a running daemon with teams that owns its shard, which holds a job of team one. The function returns the
// number of appends.
func newTeamDaemon(c *qt.C, t *testing.T, ended bool) (*Daemon, func() int) {
	t.Helper()
	appends := make(chan wigeonstep.Partition, 100)
	log := &jobLogStub{
		read:   func(from wigeonstep.Offset) wigeonstep.KeyedRead { return wigeonstep.KeyedRead{Next: from, End: from} },
		append: func(part wigeonstep.Partition) { appends <- part },
	}
	d, sh := newListingDaemon(log)
	d.routes.Store(newRouteTable(teamsConfiguration(1)))
	value, err := wigeonjob.EncodeJob(&wigeonjob.Job{ID: listedJob, Team: "one", Queue: listedQueue.Name, Service: listedQueue.Service, Accepted: 1_700_000_000_000, Steps: []wigeonjob.Step{teamStep}})
	c.Assert(err, qt.IsNil)
	records := []wigeonstep.KeyedRecord{{Key: wigeonjob.Key(wigeonjob.KindJob, listedJob), Value: value}}
	if ended {
		records = append(records, completedRecord(c))
	}
	d.applyShardBatch(sh, wigeontail.Batch{Records: records, Next: 2, Complete: true})
	sh.owned = true
	d.startOwnership(sh)
	runEvents(t, d)
	return d, func() int { return len(appends) }
}

// Guards against a job that another team sees, cancels or replaces, or that its own team loses, while it waits, after it has ended
// and while the log is listed anew.
func TestJobBelongsToItsTeam(t *testing.T) {
	one, two := wigeonteam.Caller{Team: "one"}, wigeonteam.Caller{Team: "two"}
	public, otherPublic := wigeonteam.Caller{PublicQueue: listedQueue.Name}, wigeonteam.Caller{PublicQueue: "other"}
	for _, tc := range []struct {
		name           string
		ended, listing bool
	}{{"waiting", false, false}, {"ended", true, false}, {"listing", false, true}, {"ended, listing", true, true}} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			d, appends := newTeamDaemon(c, t, tc.ended)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			if tc.listing {
				queryLoop(ctx, d, func() bool {
					d.applyShardBatch(d.shards[listedPartition], wigeontail.Batch{Reset: true, Next: 2})
					return true
				})
			}
			for caller, want := range map[wigeonteam.Caller]int{one: 200, two: 410, public: 200, otherPublic: 410, {}: 410} {
				_, response := d.Status(ctx, listedJob, listedQueue, caller)
				c.Check(response.Status, qt.Equals, want, qt.Commentf("%+v", caller))
			}
			_, missing := d.Status(ctx, "00000000000000ff", listedQueue, two)
			_, foreign := d.Status(ctx, listedJob, listedQueue, two)
			c.Assert(foreign, qt.DeepEquals, missing)
			c.Assert(d.Cancel(ctx, listedJob, listedQueue, two), qt.DeepEquals, missing)
			job := func() *wigeonjob.Job { return &wigeonjob.Job{ID: listedJob, Steps: []wigeonjob.Step{teamStep}} }
			response := d.Submit(ctx, job(), listedQueue, two)
			c.Assert(response.Status, qt.Equals, http.StatusConflict)
			c.Assert(response.Outcome, qt.Equals, wigeonstep.OutcomeNotRun)
			c.Assert(d.Submit(ctx, job(), listedQueue, one).Status, qt.Equals, http.StatusOK)
			c.Assert(appends(), qt.Equals, 0)
			answer := d.HandlePeer(ctx, &wigeonwire.PeerRequest{Body: &wigeonwire.PeerRequest_Job{Job: &wigeonwire.JobQuery{Partition: uint32(listedPartition), Job: string(listedJob)}}})
			c.Assert(answer.GetJob().GetTeam(), qt.Equals, "one")
			c.Assert(answer.GetJob().GetQueue(), qt.Equals, string(listedQueue.Name))
			if !tc.ended {
				c.Assert(d.Cancel(ctx, listedJob, listedQueue, one).Status, qt.Equals, http.StatusOK)
				c.Assert(appends(), qt.Equals, 1)
			}
		})
	}
}

// Guards against two teams whose jobs get one id because they are submitted before the record of either is read: the second record
// would replace the first.
func TestIDOfUnreadJobIsTaken(t *testing.T) {
	c := qt.New(t)
	d, appends := newTeamDaemon(c, t, false)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	reserve := func(team string) *wigeonwire.JobStatus {
		query := &wigeonwire.JobQuery{Partition: uint32(listedPartition), Job: "00000000000000aa", Reserve: true, Team: team}
		return d.HandlePeer(ctx, &wigeonwire.PeerRequest{Body: &wigeonwire.PeerRequest_Job{Job: query}}).GetJob()
	}
	c.Assert(reserve("one").GetTeam(), qt.Equals, "one")
	c.Assert(reserve("two").GetTeam(), qt.Equals, "one")
	c.Assert(reserve("two").GetReserved(), qt.IsTrue)
	submit := func(caller wigeonteam.Caller) int {
		return d.Submit(ctx, &wigeonjob.Job{ID: "00000000000000aa", Steps: []wigeonjob.Step{teamStep}}, listedQueue, caller).Status
	}
	c.Assert(submit(wigeonteam.Caller{Team: "two"}), qt.Equals, http.StatusConflict)
	c.Assert(submit(wigeonteam.Caller{PublicQueue: "other"}), qt.Equals, http.StatusConflict)
	c.Assert(appends(), qt.Equals, 0)
	c.Assert(submit(wigeonteam.Caller{Team: "one"}), qt.Equals, http.StatusOK)
	c.Assert(submit(wigeonteam.Caller{Team: "one"}), qt.Equals, http.StatusOK)
	c.Assert(appends(), qt.Equals, 2)
}

// Guards against a call that is let through without a valid key, a key in a log line, and a public queue or a deployment without
// teams that asks for keys.
func TestAuthenticateOnQueues(t *testing.T) {
	c := qt.New(t)
	core, logs := observer.New(zap.DebugLevel)
	set := metrics.NewSet()
	d := New(Config{Logger: zap.New(core), Metrics: NewMetrics(set), Now: func() wigeonshard.Timestamp { return wigeonshard.Timestamp{Steady: time.Hour} }})
	check := func(queue wigeonstep.Queue, want int, keys ...string) {
		c.Helper()
		var credentials [][]byte
		for _, key := range keys {
			credentials = append(credentials, []byte(key))
		}
		_, refusal, ok := d.Authenticate(queue, credentials)
		c.Check(ok, qt.Equals, want == http.StatusOK)
		if !ok {
			c.Check(refusal.Status, qt.Equals, want)
			c.Check(refusal.Outcome, qt.Equals, wigeonstep.OutcomeNotRun)
		}
	}
	public := wigeonstep.Queue{Name: "open", Public: true}
	check(listedQueue, http.StatusServiceUnavailable, "key-one")
	d.applyConfiguration(newRouteTable(&wigeonstep.Configuration{Version: 1}), "test")
	check(listedQueue, http.StatusOK)
	d.config.RequireCredentials = true
	check(listedQueue, http.StatusUnauthorized)
	check(public, http.StatusOK)
	d.config.RequireCredentials = false
	d.applyConfiguration(newRouteTable(teamsConfiguration(2)), "test")
	check(listedQueue, http.StatusOK, "key-one")
	check(listedQueue, http.StatusUnauthorized)
	check(listedQueue, http.StatusUnauthorized, "key-three")
	check(listedQueue, http.StatusUnauthorized, "shared")
	check(listedQueue, http.StatusUnauthorized, "key-one", "key-one")
	check(public, http.StatusOK, "key-three")
	caller, _, _ := d.Authenticate(listedQueue, [][]byte{[]byte("key-two")})
	c.Assert(caller, qt.Equals, wigeonteam.Caller{Team: "two"})
	caller, _, _ = d.Authenticate(public, [][]byte{[]byte("key-two")})
	c.Assert(caller, qt.Equals, wigeonteam.Caller{PublicQueue: "open"})
	// A configuration whose only team is invalid lists teams all the same.
	d.applyConfiguration(newRouteTable(&wigeonstep.Configuration{Version: 3, Teams: []wigeonstep.Team{{}}}), "test")
	check(listedQueue, http.StatusUnauthorized, "key-one")
	// An older configuration changes nothing.
	d.applyConfiguration(newRouteTable(teamsConfiguration(2)), "test")
	check(listedQueue, http.StatusUnauthorized, "key-one")

	var exported bytes.Buffer
	set.WritePrometheus(&exported)
	for reason, want := range map[string]string{"missing": "2", "unknown": "3", "ambiguous": "1", "malformed": "1"} {
		c.Check(strings.Contains(exported.String(), `wigeonstep_unauthorized_total{reason="`+reason+`"} `+want), qt.IsTrue, qt.Commentf("%s", reason))
	}
	c.Assert(logs.FilterMessage("unauthorized").Len(), qt.Equals, 7)
	c.Assert(logs.FilterMessage("team_fault").Len(), qt.Equals, 2)
	for _, line := range logs.All() {
		for name, field := range line.ContextMap() {
			text, _ := field.(string)
			c.Check(strings.Contains(text, "key-") || text == "shared", qt.IsFalse, qt.Commentf("%s %s=%s", line.Message, name, text))
		}
	}
}

// Guards against a process that goes on with keys that may have been withdrawn although the settings forbid it, and against one that
// refuses calls although its version is confirmed or the settings allow it to go on.
func TestOutdatedConfigurationIsRefused(t *testing.T) {
	c := qt.New(t)
	now := time.Hour
	d := New(Config{Logger: zap.NewNop(), Metrics: NewMetrics(metrics.NewSet()), Now: func() wigeonshard.Timestamp { return wigeonshard.Timestamp{Steady: now} }})
	status := func(queue wigeonstep.Queue) int {
		_, refusal, ok := d.Authenticate(queue, [][]byte{[]byte("key-one")})
		if ok {
			return http.StatusOK
		}
		c.Assert(refusal.RetryAfter > 0, qt.IsTrue)
		return refusal.Status
	}
	d.applyOperatorBatch(operatorBatch{configuration: newRouteTable(teamsConfiguration(1)), complete: true, readAt: now})
	now += time.Hour
	c.Assert(status(listedQueue), qt.Equals, http.StatusOK)
	d.config.RevokeAfter = 4 * time.Second
	c.Assert(status(listedQueue), qt.Equals, http.StatusServiceUnavailable)
	c.Assert(status(wigeonstep.Queue{Public: true}), qt.Equals, http.StatusOK)
	d.applyOperatorBatch(operatorBatch{complete: true, readAt: now})
	now += 4 * time.Second
	c.Assert(status(listedQueue), qt.Equals, http.StatusOK)
	now++
	c.Assert(status(listedQueue), qt.Equals, http.StatusServiceUnavailable)
	d.applyOperatorBatch(operatorBatch{readAt: now})
	c.Assert(status(listedQueue), qt.Equals, http.StatusServiceUnavailable)
	d.configurationAccess.confirm(now)
	c.Assert(status(listedQueue), qt.Equals, http.StatusOK)
	now += time.Minute
	// A process that starts is ready after a listing.
	d.applyOperatorBatch(d.decodeOperatorBatch(wigeontail.Batch{Reset: true}))
	c.Assert(status(listedQueue), qt.Equals, http.StatusOK)
}

// Guards against a job that is lost, or belongs to another team, in processes that start later: a second record of another team
// replaces that of the job in the log, and the owner has to write the first one again.
func TestReplacedRecordIsRestored(t *testing.T) {
	for _, ended := range []bool{false, true} {
		c := qt.New(t)
		written := make(chan wigeonstep.KeyedRecord, 10)
		d, sh := newListingDaemon(&recordingLog{written: written})
		record := func(team wigeonstep.TeamName) wigeonstep.KeyedRecord {
			value, err := wigeonjob.EncodeJob(&wigeonjob.Job{ID: listedJob, Team: team, Queue: listedQueue.Name, Service: listedQueue.Service, Accepted: 1_700_000_000_000, Steps: []wigeonjob.Step{teamStep}})
			c.Assert(err, qt.IsNil)
			return wigeonstep.KeyedRecord{Key: wigeonjob.Key(wigeonjob.KindJob, listedJob), Value: value}
		}
		records := []wigeonstep.KeyedRecord{record("one")}
		if ended {
			records = append(records, completedRecord(c))
		}
		d.applyShardBatch(sh, wigeontail.Batch{Records: records, Next: 2, Complete: true})
		sh.owned = true
		d.startOwnership(sh)
		// A second record of the same team is a retry.
		d.applyShardBatch(sh, wigeontail.Batch{Records: []wigeonstep.KeyedRecord{record("one"), record("two")}, From: 2, Next: 4, Complete: true})
		runEvents(t, d)
		var restored wigeonstep.KeyedRecord
		select {
		case restored = <-written:
		case <-time.After(10 * time.Second):
			c.Fatal("the record is not restored")
		}
		c.Assert(restored.Key, qt.Equals, records[0].Key)
		job, err := wigeonjob.DecodeJob(listedJob, restored.Value)
		c.Assert(err, qt.IsNil)
		c.Assert(job.Team, qt.Equals, wigeonstep.TeamName("one"))
		if !ended {
			c.Assert(restored.Value, qt.DeepEquals, records[0].Value)
		}
		queryLoop(t.Context(), d, func() bool {
			d.applyShardBatch(sh, wigeontail.Batch{Records: []wigeonstep.KeyedRecord{restored}, From: 4, Next: 5, Complete: true})
			return true
		})
		_, response := d.Status(t.Context(), listedJob, listedQueue, wigeonteam.Caller{Team: "one"})
		c.Assert(response.Status, qt.Equals, http.StatusOK)
		c.Assert(written, qt.HasLen, 0)
	}
}

// recordingLog is a job log that keeps the records of appends.
type recordingLog struct {
	wigeonstep.JobLog
	written chan wigeonstep.KeyedRecord
}

func (l *recordingLog) Append(_ context.Context, _ wigeonstep.Partition, records []wigeonstep.KeyedRecord, _ *wigeonstep.AppendFence) (wigeonstep.Offset, error) {
	for _, record := range records {
		l.written <- record
	}
	return 0, nil
}
