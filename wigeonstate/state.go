package wigeonstate

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// maxFoldTimeStep bounds how far one batch advances the fold time, so that a process with a wrong clock cannot expire
	// the whole state with a single batch.
	maxFoldTimeStep = 5 * time.Second
	// retentionCheckInterval is the interval, in fold time, at which removeExpired runs.
	retentionCheckInterval = time.Minute

	// The retentions are in fold time. That of a key starts with its last intent, that of a session, job or wave with
	// its end.
	keyRetention           = 24 * time.Hour
	endedJobRetention      = 24 * time.Hour
	changeVerdictRetention = 24 * time.Hour
	endedSessionRetention  = 24 * time.Hour
	// operatorSessionRetention is shorter than endedSessionRetention, because each change of a document opens a session:
	// 14,000 a day at the target size, which every view would hold. The retention only has to cover a late duplicate of
	// one of the session's batches, which arrives within minutes.
	operatorSessionRetention = 10 * time.Minute
	endedWaveRetention       = 7 * 24 * time.Hour
	goneVMRetention          = 7 * 24 * time.Hour
)

// State is the fleet state after the records applied so far. It is not safe for concurrent use; other goroutines read the
// views that View returns. The zero value is the state before the first record.
type State struct {
	// nextOffset is the offset of the first record that is not applied yet.
	nextOffset wigeonstep.Offset
	// foldTimeMS is the fold time in Unix milliseconds: the clock of the state, which only the times written in batches
	// advance, so that it is the same in every process at the same offset. It never decreases.
	foldTimeMS int64

	sessions       map[wigeonstep.SessionID]*session
	services       map[wigeonstep.ServiceName]*service
	changeVerdicts map[wigeonstep.ChangeID]*wigeonwire.ChangeVerdict
	// vms and poolMembers hold the same VMs. A VM that changes is replaced and never modified, because views share the VMs.
	vms         map[wigeonstep.VMID]*VM
	poolMembers map[wigeonstep.PoolName][]*VM
	// goneAtMS maps each VM that left the fleet to the fold time at which it left. The process of a session on such a VM
	// cannot be running any more, so the session is closed instead of expired.
	goneAtMS map[wigeonstep.VMID]int64
	// listedPools holds the names of the pools that the platform lists, sorted.
	listedPools       []string
	keys              keyTable
	jobs              map[wigeonstep.JobID]*wigeonwire.Job
	waves             map[wigeonstep.WaveID]*wigeonwire.Wave
	decisionHistories map[subject]*decisionHistory

	unreadableRecords uint64
	duplicateBatches  uint64

	phases          *phaseMachine
	partitionOwners [Partitions]wigeonstep.SessionID
	// view is the last view that View returned, nil before the first call.
	view  *View
	stale staleParts
}

// staleParts marks the parts of the last view that are out of date and have to be rebuilt for the next one.
type staleParts struct {
	sessions, partitionOwners, vms, services, waves bool
}

// Verdict is the result of applying one entry of a batch: accepted, or refused with a reason. A refused entry adds
// at most a decision and the verdict on a document change to the state.
type Verdict struct {
	// Session and Sequence identify the batch.
	Session  wigeonstep.SessionID
	Sequence uint64
	// Index is the position of the entry in its batch, from 0.
	Index    int
	Entry    *wigeonwire.Entry
	Accepted bool
	// Reason is empty for an accepted entry.
	Reason string
}

// recordContext identifies the record whose entries are applied, and its session.
type recordContext struct {
	// offset is the offset of the record in the log.
	offset wigeonstep.Offset
	// session is the session that appended the record, nil when it is unknown and no entry has opened it yet.
	session *session
}

// Apply applies the record at the offset and returns a verdict for each of its entries. A duplicate batch and a record that
// cannot be decoded have no verdicts; they only count in SkippedRecords.
//
// A record below NextOffset was applied before and is ignored.
func (s *State) Apply(offset wigeonstep.Offset, payload []byte) []Verdict {
	if offset < s.nextOffset {
		return nil
	}
	s.init()
	s.nextOffset = offset + 1
	var batch wigeonwire.Batch
	if err := proto.Unmarshal(payload, &batch); err != nil || batch.GetSession() == 0 || len(batch.GetEntries()) == 0 {
		s.unreadableRecords++
		return nil
	}
	author := s.sessions[wigeonstep.SessionID(batch.GetSession())]
	if author != nil {
		if batch.GetSequence() <= author.lastSequence {
			s.duplicateBatches++
			return nil
		}
		author.lastSequence = batch.GetSequence()
	}
	if author.open() || (author == nil && batch.GetEntries()[0].GetSessionOpen() != nil) {
		s.advanceFoldTime(batch.GetAtUnixMs())
	}
	return s.applyBatch(&batch, recordContext{offset: offset, session: author})
}

// applyBatch applies the entries of the batch in order and returns a verdict for each of them.
func (s *State) applyBatch(batch *wigeonwire.Batch, r recordContext) []Verdict {
	verdicts := make([]Verdict, 0, len(batch.GetEntries()))
	for i, entry := range batch.GetEntries() {
		reason := ""
		if open := entry.GetSessionOpen(); open != nil {
			reason = s.openSession(batch, open, &r)
		} else if !r.session.open() {
			reason = "the session is not open"
		} else {
			reason = s.applyEntry(entry, r)
		}
		verdicts = append(verdicts, Verdict{
			Session:  wigeonstep.SessionID(batch.GetSession()),
			Sequence: batch.GetSequence(),
			Index:    i,
			Entry:    entry,
			Accepted: reason == "",
			Reason:   reason,
		})
	}
	return verdicts
}

// applyEntry applies an entry of an open session. It returns the reason of a refusal, or "" when the entry is accepted.
func (s *State) applyEntry(entry *wigeonwire.Entry, r recordContext) string {
	switch body := entry.GetBody().(type) {
	case *wigeonwire.Entry_SessionRenew:
		return s.renewSession(body.SessionRenew, r)
	case *wigeonwire.Entry_SessionExpire:
		return s.expireSession(body.SessionExpire)
	case *wigeonwire.Entry_SessionClose:
		return s.endSession(r.session, wigeonwire.SessionStatus_SESSION_STATUS_CLOSED)
	case *wigeonwire.Entry_DocumentChange:
		return s.changeDocument(body.DocumentChange, r)
	case *wigeonwire.Entry_Intent:
		return s.acceptIntent(body.Intent, r)
	case *wigeonwire.Entry_KeyOutcome:
		return s.recordKeyOutcome(body.KeyOutcome, r)
	case *wigeonwire.Entry_JobAccept:
		return s.acceptJob(body.JobAccept, r)
	case *wigeonwire.Entry_JobStart:
		return s.startJob(body.JobStart, r)
	case *wigeonwire.Entry_JobEnd:
		return s.endJob(body.JobEnd, r)
	case *wigeonwire.Entry_JobCancel:
		return s.cancelJob(body.JobCancel, r)
	case *wigeonwire.Entry_VmObserve:
		return s.observeVM(body.VmObserve, r)
	case *wigeonwire.Entry_VmTransition:
		return s.transitionVM(body.VmTransition, r)
	case *wigeonwire.Entry_PoolObserve:
		return s.observePools(body.PoolObserve, r)
	case *wigeonwire.Entry_WaveStart:
		return s.startWave(body.WaveStart, r)
	case *wigeonwire.Entry_WaveEnd:
		return s.endWave(body.WaveEnd, r)
	case *wigeonwire.Entry_Decision:
		return s.recordDecision(body.Decision, r)
	default:
		return "the entry has no known body"
	}
}

func (s *State) init() {
	if s.sessions != nil {
		return
	}
	s.sessions = make(map[wigeonstep.SessionID]*session)
	s.services = make(map[wigeonstep.ServiceName]*service)
	s.changeVerdicts = make(map[wigeonstep.ChangeID]*wigeonwire.ChangeVerdict)
	s.vms = make(map[wigeonstep.VMID]*VM)
	s.poolMembers = make(map[wigeonstep.PoolName][]*VM)
	s.goneAtMS = make(map[wigeonstep.VMID]int64)
	s.jobs = make(map[wigeonstep.JobID]*wigeonwire.Job)
	s.waves = make(map[wigeonstep.WaveID]*wigeonwire.Wave)
	s.decisionHistories = make(map[subject]*decisionHistory)
	s.phases = newPhaseMachine()
	s.stale = staleParts{sessions: true, partitionOwners: true, vms: true, services: true, waves: true}
}

// advanceFoldTime advances the fold time to the time of a batch, by at most maxFoldTimeStep, and expires old state.
// The first batch sets the fold time without that limit. A batch with an earlier time changes nothing.
func (s *State) advanceFoldTime(atMS int64) {
	before := s.foldTimeMS
	switch {
	case before == 0:
		s.foldTimeMS = max(atMS, 1)
	case atMS > before:
		s.foldTimeMS = min(atMS, before+maxFoldTimeStep.Milliseconds())
	default:
		return
	}
	s.keys.expire(s.foldTimeMS/1000 - int64(keyRetention/time.Second))
	if interval := retentionCheckInterval.Milliseconds(); s.foldTimeMS/interval != before/interval {
		s.removeExpired()
	}
}

// removeExpired deletes ended sessions, jobs and waves, change verdicts, decisions and departed VMs whose retention has
// passed. Like every rule it depends on the fold time and not on the local clock, so that all processes delete the same.
func (s *State) removeExpired() {
	expired := func(atMS int64, retention time.Duration) bool { return s.foldTimeMS-atMS > retention.Milliseconds() }
	for id, session := range s.sessions {
		// The process of an expired entry session may still be running, so the session blocks drains and is kept until
		// it is closed.
		blocksDrains := session.status == wigeonwire.SessionStatus_SESSION_STATUS_EXPIRED && session.view.Role == wigeonwire.Role_ROLE_ENTRY
		retention := endedSessionRetention
		if session.view.Role == wigeonwire.Role_ROLE_OPERATOR {
			retention = operatorSessionRetention
		}
		if !session.open() && !blocksDrains && expired(session.endedAtMS, retention) {
			delete(s.sessions, id)
			s.stale.sessions = true
		}
	}
	for id, job := range s.jobs {
		if job.GetEndedUnixMs() != 0 && expired(job.GetEndedUnixMs(), endedJobRetention) {
			delete(s.jobs, id)
		}
	}
	for id, change := range s.changeVerdicts {
		if expired(change.GetAtUnixMs(), changeVerdictRetention) {
			delete(s.changeVerdicts, id)
		}
	}
	for id, atMS := range s.goneAtMS {
		if expired(atMS, goneVMRetention) {
			delete(s.goneAtMS, id)
		}
	}
	for id, wave := range s.waves {
		if wave.GetEnded() && expired(wave.GetEndedUnixMs(), endedWaveRetention) {
			delete(s.waves, id)
		}
	}
	for subject, history := range s.decisionHistories {
		history.expire(s.foldTimeMS)
		if history.count == 0 {
			delete(s.decisionHistories, subject)
		}
	}
}

// SkippedRecords returns the number of records that could not be decoded and the number of duplicate batches, both
// since the first record of the log.
func (s *State) SkippedRecords() (unreadableRecords, duplicateBatches uint64) {
	return s.unreadableRecords, s.duplicateBatches
}

// NextOffset returns the offset of the first record that is not applied yet.
func (s *State) NextOffset() wigeonstep.Offset { return s.nextOffset }
