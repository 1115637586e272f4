package wigeonjob

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// EncodeJob returns the record of a job.
func EncodeJob(j *Job) ([]byte, error) {
	r := &wigeonwire.JobRecord{
		Queue:          string(j.Queue),
		Service:        string(j.Service),
		Team:           string(j.Team),
		Spec:           j.Spec,
		Repeats:        uint32(j.Repeats),
		StartUnixMs:    int64(j.StartAt),
		IntervalMs:     j.Interval.Milliseconds(),
		AcceptedUnixMs: int64(j.Accepted),
		Attempts:       uint32(j.Policy.MaxAttempts),
		Priority:       uint32(j.Policy.Priority),
		Stretch:        j.Policy.ObjectiveFactor,
		TargetMs:       j.Policy.ObjectiveBase.Milliseconds(),
	}
	if a := j.Policy.Advice; a != nil {
		r.Advice = &wigeonwire.AdvicePolicy{DecideMs: a.DecideTime.Milliseconds(), EachMs: a.PerWorkerTime.Milliseconds(), ValidMs: a.TicketTTL.Milliseconds()}
	}
	for i := range j.Steps {
		r.Steps = append(r.Steps, encodeStep(&j.Steps[i]))
	}
	return encode(r)
}

func encodeStep(s *Step) *wigeonwire.StepRecord {
	r := &wigeonwire.StepRecord{
		Count:          uint32(s.Count),
		MilliCpu:       int64(s.Required.CPU),
		MemoryMb:       int64(s.Required.Memory),
		Gpu:            s.Required.GPU,
		EstimateMs:     s.Estimate.Milliseconds(),
		SavesProgress:  s.SavesProgress,
		Gang:           s.Gang,
		SameRack:       s.SameRack,
		RequiredLabel:  string(s.RequiredLabel),
		DataRack:       string(s.DataRack),
		MaxPerWorker:   uint32(s.MaxPerWorker),
		Speculative:    s.Speculative,
		LongRunning:    s.LongRunning,
		Image:          string(s.Image),
		TargetMs:       s.Target.Milliseconds(),
		BestEffort:     s.BestEffort,
		MaxUnavailable: uint32(s.MaxUnavailable),
	}
	for _, before := range s.After {
		r.After = append(r.After, uint32(before))
	}
	return r
}

// DecodeJob decodes the record of a job and checks the job.
func DecodeJob(id wigeonstep.JobID, value []byte) (*Job, error) {
	var r wigeonwire.JobRecord
	if err := proto.Unmarshal(value, &r); err != nil {
		return nil, fmt.Errorf("decode record of job %s: %w", id, err)
	}
	j := &Job{
		ID:       id,
		Queue:    wigeonstep.QueueName(r.GetQueue()),
		Service:  wigeonstep.ServiceName(r.GetService()),
		Team:     wigeonstep.TeamName(r.GetTeam()),
		Spec:     r.GetSpec(),
		Repeats:  int(r.GetRepeats()),
		StartAt:  wigeonstep.UnixMillis(r.GetStartUnixMs()),
		Interval: milliseconds(r.GetIntervalMs()),
		Accepted: wigeonstep.UnixMillis(r.GetAcceptedUnixMs()),
		Policy: wigeonstep.QueuePolicy{
			MaxAttempts:     int(r.GetAttempts()),
			Priority:        int(r.GetPriority()),
			ObjectiveFactor: r.GetStretch(),
			ObjectiveBase:   milliseconds(r.GetTargetMs()),
		},
	}
	if a := r.GetAdvice(); a != nil {
		j.Policy.Advice = &wigeonstep.AdvicePolicy{DecideTime: milliseconds(a.GetDecideMs()), PerWorkerTime: milliseconds(a.GetEachMs()), TicketTTL: milliseconds(a.GetValidMs())}
	}
	for _, s := range r.GetSteps() {
		j.Steps = append(j.Steps, decodeStep(s))
	}
	if err := j.Validate(); err != nil {
		return nil, fmt.Errorf("decode record of job %s: %w", id, err)
	}
	return j, nil
}

func decodeStep(r *wigeonwire.StepRecord) Step {
	s := Step{
		Count:          int(r.GetCount()),
		Required:       wigeonstep.Resources{CPU: wigeonstep.MilliCPU(r.GetMilliCpu()), Memory: wigeonstep.Megabytes(r.GetMemoryMb()), GPU: r.GetGpu()},
		Estimate:       milliseconds(r.GetEstimateMs()),
		SavesProgress:  r.GetSavesProgress(),
		Gang:           r.GetGang(),
		SameRack:       r.GetSameRack(),
		RequiredLabel:  wigeonstep.Label(r.GetRequiredLabel()),
		DataRack:       wigeonstep.Label(r.GetDataRack()),
		MaxPerWorker:   int(r.GetMaxPerWorker()),
		Speculative:    r.GetSpeculative(),
		LongRunning:    r.GetLongRunning(),
		Image:          wigeonstep.ImageName(r.GetImage()),
		Target:         milliseconds(r.GetTargetMs()),
		BestEffort:     r.GetBestEffort(),
		MaxUnavailable: int(r.GetMaxUnavailable()),
	}
	for _, before := range r.GetAfter() {
		s.After = append(s.After, int(before))
	}
	return s
}

// EncodeProgress returns the record of a job's progress.
func EncodeProgress(p *Progress) ([]byte, error) {
	r := &wigeonwire.ProgressRecord{State: wigeonwire.ProgressState(p.State), EndedUnixMs: int64(p.Ended), Cause: p.Cause, Holder: uint32(p.Holder)} //nolint:gosec // a partition number is small
	for _, k := range p.Finished {
		r.Finished = append(r.Finished, uint32(k))
	}
	for i := range p.Tasks {
		r.Tasks = append(r.Tasks, encodeTask(&p.Tasks[i]))
	}
	return encode(r)
}

// EncodeTasks returns a record of KindTasks.
func EncodeTasks(tasks []TaskProgress) ([]byte, error) {
	r := &wigeonwire.TasksRecord{}
	for i := range tasks {
		r.Tasks = append(r.Tasks, encodeTask(&tasks[i]))
	}
	return encode(r)
}

// DecodeTasks decodes a record of KindTasks and the id in its key.
func DecodeTasks(id string, value []byte) (TasksID, []TaskProgress, error) {
	tasksID, ok := ParseTasksID(id)
	if !ok {
		return TasksID{}, nil, fmt.Errorf("decode record of tasks: invalid id %q", id)
	}
	var r wigeonwire.TasksRecord
	if err := proto.Unmarshal(value, &r); err != nil {
		return TasksID{}, nil, fmt.Errorf("decode record of tasks %s: %w", id, err)
	}
	var tasks []TaskProgress
	for _, t := range r.GetTasks() {
		tasks = append(tasks, decodeTask(t))
	}
	return tasksID, tasks, nil
}

func encodeTask(t *TaskProgress) *wigeonwire.TaskProgress {
	task := &wigeonwire.TaskProgress{
		Occurrence: uint32(t.Occurrence),
		Step:       uint32(t.Step),
		Index:      uint32(t.Index),
		LastRun:    uint32(t.LastRun),
		Failures:   uint32(t.Failures),
		Done:       t.Done,
		Checkpoint: string(t.Checkpoint),
		GivenUp:    t.GivenUp,
	}
	for _, run := range t.Runs {
		task.Runs = append(task.Runs, &wigeonwire.RunProgress{
			Run: uint32(run.Number), Worker: string(run.Worker),
			PlannedUnixMs: int64(run.PlannedAt), UnansweredUnixMs: int64(run.UnansweredAt), Begun: run.Begun,
		})
	}
	for _, number := range t.LostRuns {
		task.LostRuns = append(task.LostRuns, uint32(number))
	}
	for _, c := range t.Crashes {
		task.Crashes = append(task.Crashes, encodeCrash(c))
	}
	return task
}

func encodeCrash(c WorkerCrash) *wigeonwire.WorkerCrash {
	return &wigeonwire.WorkerCrash{
		Run: uint32(c.Run), Worker: string(c.Worker), RunAgeMs: c.RunAge.Milliseconds(), Ended: c.Ended, Likely: c.Likely, Sole: c.Sole, Explained: c.Explained,
	}
}

func decodeCrash(r *wigeonwire.WorkerCrash) WorkerCrash {
	return WorkerCrash{
		Run: wigeonstep.RunNumber(r.GetRun()), Worker: wigeonstep.WorkerID(r.GetWorker()), RunAge: milliseconds(r.GetRunAgeMs()),
		Ended: r.GetEnded(), Likely: r.GetLikely(), Sole: r.GetSole(), Explained: r.GetExplained(),
	}
}

// DecodeProgress decodes the record of a job's progress.
func DecodeProgress(value []byte) (*Progress, error) {
	var r wigeonwire.ProgressRecord
	if err := proto.Unmarshal(value, &r); err != nil {
		return nil, fmt.Errorf("decode record of a job's progress: %w", err)
	}
	p := &Progress{State: State(r.GetState()), Ended: wigeonstep.UnixMillis(r.GetEndedUnixMs()), Cause: r.GetCause(), Holder: wigeonstep.Partition(r.GetHolder())}
	for _, k := range r.GetFinished() {
		p.Finished = append(p.Finished, int(k))
	}
	for _, t := range r.GetTasks() {
		p.Tasks = append(p.Tasks, decodeTask(t))
	}
	return p, nil
}

func decodeTask(t *wigeonwire.TaskProgress) TaskProgress {
	task := TaskProgress{
		Occurrence: int(t.GetOccurrence()),
		Step:       int(t.GetStep()),
		Index:      int(t.GetIndex()),
		LastRun:    wigeonstep.RunNumber(t.GetLastRun()),
		Failures:   int(t.GetFailures()),
		Done:       t.GetDone(),
		Checkpoint: wigeonstep.Checkpoint(t.GetCheckpoint()),
		GivenUp:    t.GetGivenUp(),
	}
	for _, run := range t.GetRuns() {
		task.Runs = append(task.Runs, LiveRun{
			Number: wigeonstep.RunNumber(run.GetRun()), Worker: wigeonstep.WorkerID(run.GetWorker()),
			PlannedAt: wigeonstep.UnixMillis(run.GetPlannedUnixMs()), UnansweredAt: wigeonstep.UnixMillis(run.GetUnansweredUnixMs()),
			Begun: run.GetBegun(),
		})
	}
	for _, number := range t.GetLostRuns() {
		task.LostRuns = append(task.LostRuns, wigeonstep.RunNumber(number))
	}
	for _, c := range t.GetCrashes() {
		task.Crashes = append(task.Crashes, decodeCrash(c))
	}
	return task
}

// EncodeCancel returns the record of a cancellation.
func EncodeCancel(at wigeonstep.UnixMillis) ([]byte, error) {
	return encode(&wigeonwire.CancelRecord{CancelledUnixMs: int64(at)})
}

// EncodeOwner returns the record of an owner.
func EncodeOwner(o OwnerRecord) ([]byte, error) {
	r := &wigeonwire.OwnerRecord{Epoch: uint64(o.Epoch), Address: o.Address}
	for _, l := range o.Lapses {
		r.Lapses = append(r.Lapses, &wigeonwire.Lapse{Worker: string(l.Worker), UnixMs: int64(l.At)})
	}
	return encode(r)
}

// DecodeOwner decodes the record of an owner.
func DecodeOwner(value []byte) (OwnerRecord, error) {
	var r wigeonwire.OwnerRecord
	if err := proto.Unmarshal(value, &r); err != nil {
		return OwnerRecord{}, fmt.Errorf("decode record of the owner: %w", err)
	}
	o := OwnerRecord{Epoch: wigeonstep.FencingToken(r.GetEpoch()), Address: r.GetAddress()}
	for _, l := range r.GetLapses() {
		o.Lapses = append(o.Lapses, Lapse{Worker: wigeonstep.WorkerID(l.GetWorker()), At: wigeonstep.UnixMillis(l.GetUnixMs())})
	}
	return o, nil
}

// EncodeMaintenance returns the record of a maintenance order.
func EncodeMaintenance(o MaintenanceOrder) ([]byte, error) {
	r := &wigeonwire.UpkeepRecord{Wave: uint32(o.Wave), Worker: string(o.Worker), Phase: wigeonwire.UpkeepRecord_Phase(o.Phase)}
	for _, wave := range o.DoneWaves {
		r.DoneWaves = append(r.DoneWaves, uint32(wave))
	}
	return encode(r)
}

// DecodeMaintenance decodes the record of the maintenance order for a VM.
func DecodeMaintenance(vm wigeonstep.VMID, value []byte) (MaintenanceOrder, error) {
	var r wigeonwire.UpkeepRecord
	if err := proto.Unmarshal(value, &r); err != nil {
		return MaintenanceOrder{}, fmt.Errorf("decode record of the maintenance order for VM %s: %w", vm, err)
	}
	o := MaintenanceOrder{VM: vm, Wave: int(r.GetWave()), Worker: wigeonstep.WorkerID(r.GetWorker()), Phase: OrderPhase(r.GetPhase())}
	for _, wave := range r.GetDoneWaves() {
		o.DoneWaves = append(o.DoneWaves, int(wave))
	}
	return o, nil
}

// EncodeMove returns the record of a move order.
func EncodeMove(o MoveOrder) ([]byte, error) {
	return encode(&wigeonwire.MoveRecord{Pool: string(o.Pool), From: string(o.From), Worker: string(o.Worker), Phase: wigeonwire.UpkeepRecord_Phase(o.Phase)})
}

// DecodeMove decodes the record of the move order for a VM.
func DecodeMove(vm wigeonstep.VMID, value []byte) (MoveOrder, error) {
	var r wigeonwire.MoveRecord
	if err := proto.Unmarshal(value, &r); err != nil {
		return MoveOrder{}, fmt.Errorf("decode record of the move order for VM %s: %w", vm, err)
	}
	return MoveOrder{
		VM: vm, From: wigeonstep.PoolName(r.GetFrom()), Pool: wigeonstep.PoolName(r.GetPool()),
		Worker: wigeonstep.WorkerID(r.GetWorker()), Phase: OrderPhase(r.GetPhase()),
	}, nil
}

// EncodePartitions returns the record of the partitions of a service.
func EncodePartitions(parts []wigeonstep.Partition) ([]byte, error) {
	r := &wigeonwire.SplitRecord{}
	for _, part := range parts {
		r.Partitions = append(r.Partitions, uint32(part))
	}
	return encode(r)
}

// DecodePartitions decodes the record of the partitions of a service.
func DecodePartitions(value []byte) ([]wigeonstep.Partition, error) {
	var r wigeonwire.SplitRecord
	if err := proto.Unmarshal(value, &r); err != nil {
		return nil, fmt.Errorf("decode record of a service's partitions: %w", err)
	}
	var parts []wigeonstep.Partition
	for _, part := range r.GetPartitions() {
		parts = append(parts, wigeonstep.Partition(part))
	}
	return parts, nil
}

// EncodeRelease returns the record of a release.
func EncodeRelease(r Release) ([]byte, error) {
	return encode(&wigeonwire.ReleaseRecord{Vm: string(r.VM), Epoch: uint64(r.Epoch)})
}

// DecodeRelease decodes the record of the release of a worker.
func DecodeRelease(worker wigeonstep.WorkerID, value []byte) (Release, error) {
	var r wigeonwire.ReleaseRecord
	if err := proto.Unmarshal(value, &r); err != nil {
		return Release{}, fmt.Errorf("decode record of the release of worker %s: %w", worker, err)
	}
	return Release{Worker: worker, VM: wigeonstep.VMID(r.GetVm()), Epoch: wigeonstep.FencingToken(r.GetEpoch())}, nil
}

func encode(message proto.Message) ([]byte, error) {
	value, err := proto.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", message.ProtoReflect().Descriptor().Name(), err)
	}
	return value, nil
}

func milliseconds(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
