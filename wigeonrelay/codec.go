package wigeonrelay

import (
	"errors"
	"fmt"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// encodeRun and its inverse decodeRun convert the id of a run.
func encodeRun(id wigeonstep.RunID) *wigeonwire.RelayRun {
	return &wigeonwire.RelayRun{
		Job: []byte(id.Task.Job), Occurrence: uint32(id.Task.Occurrence), Step: uint32(id.Task.Step), Index: uint32(id.Task.Index), //nolint:gosec // numbers of a decoded job
		Number: uint32(id.Number),
	}
}

func decodeRun(r *wigeonwire.RelayRun) wigeonstep.RunID {
	return wigeonstep.RunID{
		Task:   wigeonstep.TaskID{Job: wigeonstep.JobID(r.GetJob()), Occurrence: int(r.GetOccurrence()), Step: int(r.GetStep()), Index: int(r.GetIndex())},
		Number: wigeonstep.RunNumber(r.GetNumber()),
	}
}

// errorByKind holds the errors whose kind a relay reports.
var errorByKind = map[wigeonwire.RelayError_Kind]error{
	wigeonwire.RelayError_KIND_UNAVAILABLE:     wigeonstep.ErrUnavailable,
	wigeonwire.RelayError_KIND_ANSWER_LOST:     wigeonstep.ErrAnswerLost,
	wigeonwire.RelayError_KIND_FENCED:          wigeonstep.ErrFenced,
	wigeonwire.RelayError_KIND_WORKER_REPLACED: wigeonstep.ErrWorkerReplaced,
	wigeonwire.RelayError_KIND_REJECTED:        wigeonstep.ErrRejected,
}

// encodeError returns nil without an error.
func encodeError(err error) *wigeonwire.RelayError {
	if err == nil {
		return nil
	}
	e := &wigeonwire.RelayError{Kind: wigeonwire.RelayError_KIND_ANSWER_LOST, ConnectionClosed: errors.Is(err, wigeonstep.ErrConnectionClosed), Message: []byte(err.Error())}
	for kind, known := range errorByKind {
		if errors.Is(err, known) {
			e.Kind = kind
		}
	}
	return e
}

func decodeError(e *wigeonwire.RelayError) error {
	if e == nil {
		return nil
	}
	kind, known := errorByKind[e.GetKind()]
	if !known {
		kind = wigeonstep.ErrAnswerLost
	}
	if e.GetConnectionClosed() {
		return fmt.Errorf("%w: %w: %s", kind, wigeonstep.ErrConnectionClosed, e.GetMessage())
	}
	return fmt.Errorf("%w: %s", kind, e.GetMessage())
}

func encodeStarted(result wigeonstep.StartResult) *wigeonwire.RelayStarted {
	s := &wigeonwire.RelayStarted{Verdict: uint32(result.Verdict), ClockMs: int64(result.Clock)} //nolint:gosec // an enumeration
	if result.Err != nil {
		s.Message = []byte(result.Err.Error())
	}
	return s
}

// decodeStarted decodes the result of a start. A result that it doesn't know counts as StartUnknown.
func decodeStarted(r *wigeonwire.RelayResult) wigeonstep.StartResult {
	s := r.GetStarted()
	verdict := wigeonstep.StartVerdict(s.GetVerdict())
	if verdict < wigeonstep.StartAccepted || verdict > wigeonstep.StartNotSent {
		return wigeonstep.StartResult{Verdict: wigeonstep.StartUnknown, Err: decodeError(r.GetError())}
	}
	result := wigeonstep.StartResult{Verdict: verdict, Clock: wigeonstep.WorkerMillis(s.GetClockMs())}
	if verdict != wigeonstep.StartAccepted {
		result.Err = errors.New(string(s.GetMessage()))
	}
	return result
}

func encodeReport(result wigeonstep.HeartbeatResult, acked bool) *wigeonwire.RelayReport {
	report := &wigeonwire.RelayReport{
		ClockMs: int64(result.Clock), StartedAtMs: int64(result.StartedAt), MoreEnded: result.MoreEnded, Acked: acked,
	}
	for _, row := range result.UndecodableRows {
		report.UndecodableRows = append(report.UndecodableRows, []byte(row))
	}
	for _, r := range result.Running {
		report.Running = append(report.Running, &wigeonwire.RelayRunning{
			Run: encodeRun(r.Run), Checkpoint: []byte(r.Checkpoint), ProgressPercent: uint32(max(r.ProgressPercent, 0)), //nolint:gosec // a percentage
			TailLatencyNs: int64(r.TailLatency), MilliCpu: int64(r.CPU),
		})
	}
	for _, e := range result.Ended {
		report.Ended = append(report.Ended, &wigeonwire.RelayEnded{Number: e.Number, Run: encodeRun(e.Run), Cause: uint32(e.Cause), Checkpoint: []byte(e.Checkpoint)}) //nolint:gosec // an enumeration
	}
	return report
}

func decodeReport(report *wigeonwire.RelayReport) wigeonstep.HeartbeatResult {
	result := wigeonstep.HeartbeatResult{
		Clock: wigeonstep.WorkerMillis(report.GetClockMs()), StartedAt: wigeonstep.UnixMillis(report.GetStartedAtMs()),
		MoreEnded: report.GetMoreEnded(),
	}
	for _, row := range report.GetUndecodableRows() {
		result.UndecodableRows = append(result.UndecodableRows, string(row))
	}
	for _, r := range report.GetRunning() {
		result.Running = append(result.Running, wigeonstep.RunningRun{
			Run: decodeRun(r.GetRun()), Checkpoint: wigeonstep.Checkpoint(r.GetCheckpoint()), ProgressPercent: int(r.GetProgressPercent()),
			TailLatency: time.Duration(r.GetTailLatencyNs()), CPU: wigeonstep.MilliCPU(r.GetMilliCpu()),
		})
	}
	for _, e := range report.GetEnded() {
		result.Ended = append(result.Ended, wigeonstep.EndedRun{
			Number: e.GetNumber(), Run: decodeRun(e.GetRun()), Cause: wigeonstep.EndCause(e.GetCause()), Checkpoint: wigeonstep.Checkpoint(e.GetCheckpoint()),
		})
	}
	return result
}
