package wigeonstate

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// maxTimeStep bounds how far one batch advances the fold time, so that one wrong clock cannot expire state at once.
	maxTimeStep = 5 * time.Second
	// sweepInterval is how often, in fold time, ended records are checked for their age.
	sweepInterval = time.Minute

	keyLifetime     = 24 * time.Hour
	jobLifetime     = 24 * time.Hour
	changeLifetime  = 24 * time.Hour
	sessionLifetime = 24 * time.Hour
	// operatorLifetime is shorter, because each change of a document opens a session: 14,000 a day at the target size, which
	// every view would hold. A duplicate of such a session's batch can come minutes late at most.
	operatorLifetime = 10 * time.Minute
	waveLifetime     = 7 * 24 * time.Hour
	goneLifetime     = 7 * 24 * time.Hour
)

// State is the folded state. One goroutine applies records; the zero value is the state before the first record.
type State struct {
	next   wigeonstep.Offset
	timeMS int64

	sessions map[wigeonstep.SessionID]*session
	services map[wigeonstep.ServiceName]*service
	changes  map[wigeonstep.ChangeID]*wigeonwire.ChangeVerdict
	// vms and members hold the same VMs; both replace a VM that changes and never write to one, because views share them.
	vms     map[wigeonstep.VMID]*VM
	members map[wigeonstep.PoolName][]*VM
	// gone maps each VM that left the fleet to the fold time at which it left, so that its sessions are known to be gone too.
	gone map[wigeonstep.VMID]int64
	// listed are the pools that the platform lists, sorted.
	listed    []string
	keys      keyTable
	jobs      map[wigeonstep.JobID]*wigeonwire.Job
	waves     map[wigeonstep.WaveID]*wigeonwire.Wave
	histories map[subject]*history

	unreadable uint64
	duplicates uint64

	phases *phaseMachine
	owners [Partitions]wigeonstep.SessionID
	view   *View
	stale  staleParts
}

// staleParts names the parts of the last view that the state has changed since.
type staleParts struct {
	sessions, owners, vms, services, waves bool
}

// Verdict is how the fold judged one entry of a batch.
type Verdict struct {
	Session  wigeonstep.SessionID
	Sequence uint64
	// Index is the position of the entry in its batch.
	Index    int
	Entry    *wigeonwire.Entry
	Accepted bool
	// Reason is empty for an accepted entry.
	Reason string
}

// record is what the rules know of the record that is being folded.
type record struct {
	offset  wigeonstep.Offset
	session *session
}

// Apply folds the record at the offset and returns a verdict for each entry; a duplicate batch and an unreadable record have none.
//
// A record below the next offset was folded before and changes nothing.
func (s *State) Apply(offset wigeonstep.Offset, payload []byte) []Verdict {
	if offset < s.next {
		return nil
	}
	s.init()
	s.next = offset + 1
	var batch wigeonwire.Batch
	if err := proto.Unmarshal(payload, &batch); err != nil || batch.GetSession() == 0 || len(batch.GetEntries()) == 0 {
		s.unreadable++
		return nil
	}
	author := s.sessions[wigeonstep.SessionID(batch.GetSession())]
	if author != nil {
		if batch.GetSequence() <= author.sequence {
			s.duplicates++
			return nil
		}
		author.sequence = batch.GetSequence()
	}
	if author.open() || (author == nil && batch.GetEntries()[0].GetSessionOpen() != nil) {
		s.advance(batch.GetAtUnixMs())
	}
	return s.judgeBatch(&batch, record{offset: offset, session: author})
}

func (s *State) judgeBatch(batch *wigeonwire.Batch, r record) []Verdict {
	verdicts := make([]Verdict, 0, len(batch.GetEntries()))
	for i, entry := range batch.GetEntries() {
		reason := ""
		if open := entry.GetSessionOpen(); open != nil {
			reason = s.openSession(batch, open, &r)
		} else if !r.session.open() {
			reason = "the session is not open"
		} else {
			reason = s.judge(entry, r)
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

// judge applies one entry of an open session and returns the reason of a refusal.
func (s *State) judge(entry *wigeonwire.Entry, r record) string {
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
		return s.endKey(body.KeyOutcome, r)
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
		return s.decide(body.Decision, r)
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
	s.changes = make(map[wigeonstep.ChangeID]*wigeonwire.ChangeVerdict)
	s.vms = make(map[wigeonstep.VMID]*VM)
	s.members = make(map[wigeonstep.PoolName][]*VM)
	s.gone = make(map[wigeonstep.VMID]int64)
	s.jobs = make(map[wigeonstep.JobID]*wigeonwire.Job)
	s.waves = make(map[wigeonstep.WaveID]*wigeonwire.Wave)
	s.histories = make(map[subject]*history)
	s.phases = newPhaseMachine()
	s.stale = staleParts{sessions: true, owners: true, vms: true, services: true, waves: true}
}

// advance moves the fold time towards the author's time. The first time seen is taken as it is.
func (s *State) advance(atMS int64) {
	before := s.timeMS
	switch {
	case before == 0:
		s.timeMS = max(atMS, 1)
	case atMS > before:
		s.timeMS = min(atMS, before+maxTimeStep.Milliseconds())
	default:
		return
	}
	s.keys.expire(s.timeMS/1000 - int64(keyLifetime/time.Second))
	if interval := sweepInterval.Milliseconds(); s.timeMS/interval != before/interval {
		s.sweep()
	}
}

// sweep drops ended records that are older than their lifetime. It depends on the fold time only, as every rule does.
func (s *State) sweep() {
	old := func(atMS int64, lifetime time.Duration) bool { return s.timeMS-atMS > lifetime.Milliseconds() }
	for id, session := range s.sessions {
		// An expired entry session may still run, and it blocks drains until it is known to be gone.
		blocks := session.status == wigeonwire.SessionStatus_SESSION_STATUS_EXPIRED && session.view.Role == wigeonwire.Role_ROLE_ENTRY
		lifetime := sessionLifetime
		if session.view.Role == wigeonwire.Role_ROLE_OPERATOR {
			lifetime = operatorLifetime
		}
		if !session.open() && !blocks && old(session.endedMS, lifetime) {
			delete(s.sessions, id)
			s.stale.sessions = true
		}
	}
	for id, job := range s.jobs {
		if job.GetEndedUnixMs() != 0 && old(job.GetEndedUnixMs(), jobLifetime) {
			delete(s.jobs, id)
		}
	}
	for id, change := range s.changes {
		if old(change.GetAtUnixMs(), changeLifetime) {
			delete(s.changes, id)
		}
	}
	for id, atMS := range s.gone {
		if old(atMS, goneLifetime) {
			delete(s.gone, id)
		}
	}
	for id, wave := range s.waves {
		if wave.GetEnded() && old(wave.GetEndedUnixMs(), waveLifetime) {
			delete(s.waves, id)
		}
	}
	for subject, history := range s.histories {
		history.expire(s.timeMS)
		if history.count == 0 {
			delete(s.histories, subject)
		}
	}
}

// Counters returns how many records could not be decoded and how many batches were duplicates.
func (s *State) Counters() (unreadable, duplicates uint64) { return s.unreadable, s.duplicates }

// Next returns the offset of the first record that is not folded yet.
func (s *State) Next() wigeonstep.Offset { return s.next }
