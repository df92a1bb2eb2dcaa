package wire

import (
	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/queue"
	"github.com/gentianrail/gentianrail/replica"
	"github.com/gentianrail/gentianrail/submission"
)

// EncodeQueueTable returns the message of a table of queues.
func EncodeQueueTable(t queue.Table) *pb.QueueTable {
	m := &pb.QueueTable{Version: t.Version, Document: t.Document}
	for _, q := range t.Queues {
		e := &pb.Queue{
			Name: q.Name, Host: q.Host, Prefix: q.Prefix, Service: q.Service,
			Priority: int32(q.Priority), Attempts: int32(q.MaxAttempts), Slack: q.Slack,
			Target: int64(q.BaseObjective), Timeout: int64(q.Timeout),
		}
		if a := q.Advice; a != nil {
			e.Advice = &pb.Advice{Latency: int64(a.Latency), PerWorker: int64(a.PerWorker), Validity: int64(a.Validity)}
		}
		m.Queues = append(m.Queues, e)
	}
	for _, s := range t.Services {
		m.Services = append(m.Services, &pb.PoolService{Name: s.Name, Guards: s.ChecksCapacity, Standby: s.Standby})
	}
	return m
}

// DecodeQueueTable returns the table of queues of a message.
func DecodeQueueTable(m *pb.QueueTable) queue.Table {
	t := queue.Table{Version: m.GetVersion(), Document: m.GetDocument()}
	for _, e := range m.GetQueues() {
		q := queue.Queue{
			Name: e.GetName(), Host: e.GetHost(), Prefix: e.GetPrefix(), Service: e.GetService(),
			Priority: int(e.GetPriority()), MaxAttempts: int(e.GetAttempts()), Slack: e.GetSlack(),
			BaseObjective: decodeDuration(e.GetTarget()), Timeout: decodeDuration(e.GetTimeout()),
		}
		if a := e.GetAdvice(); a != nil {
			q.Advice = &queue.AdviceService{
				Latency: decodeDuration(a.GetLatency()), PerWorker: decodeDuration(a.GetPerWorker()), Validity: decodeDuration(a.GetValidity()),
			}
		}
		t.Queues = append(t.Queues, q)
	}
	for _, s := range m.GetServices() {
		t.Services = append(t.Services, queue.Service{Name: s.GetName(), ChecksCapacity: s.GetGuards(), Standby: s.GetStandby()})
	}
	return t
}

// EncodeResources returns the message of resources.
func EncodeResources(r submission.Resources) *pb.Resources {
	return &pb.Resources{Cpu: r.CPU, Memory: r.Memory, Gpu: r.GPU}
}

// DecodeResources returns the resources of a message.
func DecodeResources(m *pb.Resources) submission.Resources {
	return submission.Resources{CPU: m.GetCpu(), Memory: m.GetMemory(), GPU: m.GetGpu()}
}

// EncodeSubmissionSpec returns the message of a submission's specification.
func EncodeSubmissionSpec(s submission.Spec) *pb.SubmissionSpec {
	m := &pb.SubmissionSpec{
		Id: s.ID, Queue: s.Queue, Text: s.Text, Repeat: int32(s.Repeat), StartAt: encodeTime(s.StartAt), Interval: int64(s.Interval),
	}
	for i := range s.Steps {
		m.Steps = append(m.Steps, encodeStep(&s.Steps[i]))
	}
	return m
}

func encodeStep(s *submission.Step) *pb.Step {
	m := &pb.Step{
		Count: int32(s.Count), Needs: EncodeResources(s.Needs), Estimate: int64(s.Estimate),
		Checkpointing: s.Checkpointing, Gang: s.Gang, RackLocal: s.RackLocal, Speculative: s.Speculative,
		LongRunning: s.LongRunning, Leftover: s.UnreservedCPU, Requirement: s.Requirement, DataRack: s.DataRack,
		MostPerWorker: int32(s.MaxPerWorker), Image: s.Image, TailTarget: int64(s.TailTarget),
		MaxUnavailable: int32(s.MaxUnavailable),
	}
	for _, d := range s.DependsOn {
		m.DependsOn = append(m.DependsOn, int32(d))
	}
	return m
}

// DecodeSubmissionSpec returns the submission's specification of a message.
func DecodeSubmissionSpec(m *pb.SubmissionSpec) submission.Spec {
	s := submission.Spec{
		ID: m.GetId(), Queue: m.GetQueue(), Text: m.GetText(), Repeat: int(m.GetRepeat()),
		StartAt: decodeTime(m.GetStartAt()), Interval: decodeDuration(m.GetInterval()),
	}
	for _, e := range m.GetSteps() {
		s.Steps = append(s.Steps, decodeStep(e))
	}
	return s
}

func decodeStep(m *pb.Step) submission.Step {
	s := submission.Step{
		Count: int(m.GetCount()), Needs: DecodeResources(m.GetNeeds()), Estimate: decodeDuration(m.GetEstimate()),
		Checkpointing: m.GetCheckpointing(), Gang: m.GetGang(), RackLocal: m.GetRackLocal(), Speculative: m.GetSpeculative(),
		LongRunning: m.GetLongRunning(), UnreservedCPU: m.GetLeftover(), Requirement: m.GetRequirement(), DataRack: m.GetDataRack(),
		MaxPerWorker: int(m.GetMostPerWorker()), Image: m.GetImage(), TailTarget: decodeDuration(m.GetTailTarget()),
		MaxUnavailable: int(m.GetMaxUnavailable()),
	}
	for _, d := range m.GetDependsOn() {
		s.DependsOn = append(s.DependsOn, int(d))
	}
	return s
}

// EncodeSubmission returns the message of a submission with its progress.
func EncodeSubmission(s *submission.Submission) *pb.Submission {
	m := &pb.Submission{
		Spec: EncodeSubmissionSpec(s.Spec), Service: s.Service, Priority: int32(s.Priority), Attempts: int32(s.MaxAttempts),
		Slack: s.Slack, Target: int64(s.BaseObjective), Advised: s.NeedsAdvice, Accepted: encodeTime(s.Accepted), Sequence: s.Sequence,
		State: uint32(s.State), EndedAt: encodeTime(s.EndedAt),
	}
	for _, steps := range s.StepRecords {
		for i := range steps {
			m.Progress = append(m.Progress, encodeStepRecord(&steps[i]))
		}
	}
	return m
}

func encodeStepRecord(rec *submission.StepRecord) *pb.StepRecord {
	m := &pb.StepRecord{}
	for _, t := range rec.Tasks {
		r := &pb.TaskRecord{Last: t.LastRun, Failed: int32(t.FailedRuns), Done: t.Done, Saved: t.Checkpoint, Counted: t.CountedRuns}
		for _, run := range t.Runs {
			r.Runs = append(r.Runs, &pb.ActiveRun{Number: run.Number, Worker: run.Worker, Started: encodeTime(run.Started), Settled: run.Settled})
		}
		for _, c := range t.Crashes {
			r.Crashes = append(r.Crashes, &pb.Crash{Ran: int64(c.Ran), Alone: c.Alone})
		}
		for _, l := range t.LateRuns {
			r.LateRuns = append(r.LateRuns, &pb.LateRun{Number: l.Number, Worker: l.Worker, For: int64(l.For)})
		}
		m.Tasks = append(m.Tasks, r)
	}
	return m
}

// DecodeSubmission returns the submission of a message.
func DecodeSubmission(m *pb.Submission) (*submission.Submission, error) {
	s := &submission.Submission{
		Spec: DecodeSubmissionSpec(m.GetSpec()), Service: m.GetService(), Priority: int(m.GetPriority()),
		MaxAttempts: int(m.GetAttempts()), Slack: m.GetSlack(), BaseObjective: decodeDuration(m.GetTarget()), NeedsAdvice: m.GetAdvised(),
		Accepted: decodeTime(m.GetAccepted()), Sequence: m.GetSequence(), State: submission.State(m.GetState()),
		EndedAt: decodeTime(m.GetEndedAt()),
	}
	if len(m.GetProgress()) == 0 {
		return s, nil
	}
	steps := len(s.Steps)
	if len(m.GetProgress()) != steps*s.Occurrences() {
		return nil, fault.New(fault.DataDamaged, "submission %q has an unexpected number of progress records: %d", s.ID, len(m.GetProgress()))
	}
	for k := range s.Occurrences() {
		row := make([]submission.StepRecord, steps)
		for i := range steps {
			rec, err := decodeStepRecord(s, i, m.GetProgress()[k*steps+i])
			if err != nil {
				return nil, err
			}
			row[i] = rec
		}
		s.StepRecords = append(s.StepRecords, row)
	}
	return s, nil
}

func decodeStepRecord(s *submission.Submission, step int, m *pb.StepRecord) (submission.StepRecord, error) {
	var rec submission.StepRecord
	if len(m.GetTasks()) != s.Steps[step].Count {
		return rec, fault.New(fault.DataDamaged, "submission %q has an unexpected number of task records: %d in step %d", s.ID, len(m.GetTasks()), step)
	}
	for _, r := range m.GetTasks() {
		t := submission.Task{LastRun: r.GetLast(), FailedRuns: int(r.GetFailed()), Done: r.GetDone(), Checkpoint: r.GetSaved(), CountedRuns: r.GetCounted()}
		for _, run := range r.GetRuns() {
			t.Runs = append(t.Runs, submission.Run{
				Number: run.GetNumber(), Worker: run.GetWorker(), Started: decodeTime(run.GetStarted()), Settled: run.GetSettled(),
			})
		}
		for _, c := range r.GetCrashes() {
			t.Crashes = append(t.Crashes, submission.Crash{Ran: decodeDuration(c.GetRan()), Alone: c.GetAlone()})
		}
		for _, l := range r.GetLateRuns() {
			t.LateRuns = append(t.LateRuns, submission.LateRun{Number: l.GetNumber(), Worker: l.GetWorker(), For: decodeDuration(l.GetFor())})
		}
		if t.Done {
			rec.DoneTasks++
		}
		rec.Tasks = append(rec.Tasks, t)
	}
	return rec, nil
}

// EncodeRun returns the message of a run.
func EncodeRun(r submission.RunID) *pb.Run {
	return &pb.Run{
		Submission: r.Task.Submission, Occurrence: int32(r.Task.Occurrence), Step: int32(r.Task.Step),
		Index: int32(r.Task.Index), Number: r.Number,
	}
}

// DecodeRun returns the run of a message.
func DecodeRun(m *pb.Run) submission.RunID {
	return submission.RunID{
		Task: submission.TaskID{
			Submission: m.GetSubmission(), Occurrence: int(m.GetOccurrence()), Step: int(m.GetStep()), Index: int(m.GetIndex()),
		},
		Number: m.GetNumber(),
	}
}

// EncodeRunEnd returns the message of a run's end.
func EncodeRunEnd(e submission.End) *pb.RunEnd {
	return &pb.RunEnd{Run: EncodeRun(e.Run), Worker: e.Worker, How: uint32(e.Reason), Saved: e.Checkpoint, Ran: int64(e.Ran), LateFor: int64(e.LateFor), Told: uint32(e.Told)}
}

// DecodeRunEnd returns the run's end of a message.
func DecodeRunEnd(m *pb.RunEnd) submission.End {
	return submission.End{
		Run: DecodeRun(m.GetRun()), Worker: m.GetWorker(), Reason: submission.EndReason(m.GetHow()), Checkpoint: m.GetSaved(),
		Ran: decodeDuration(m.GetRan()), LateFor: decodeDuration(m.GetLateFor()), Told: submission.EndReason(m.GetTold()),
	}
}

func encodeStartRuns(starts []submission.Start) *pb.StartRuns {
	m := &pb.StartRuns{}
	for _, s := range starts {
		m.Starts = append(m.Starts, &pb.RunStart{Run: EncodeRun(s.Run), Worker: s.Worker})
	}
	return m
}

func decodeStartRuns(m *pb.StartRuns) []submission.Start {
	out := make([]submission.Start, 0, len(m.GetStarts()))
	for _, s := range m.GetStarts() {
		out = append(out, submission.Start{Run: DecodeRun(s.GetRun()), Worker: s.GetWorker()})
	}
	return out
}

func encodeEndRuns(ends []submission.End) *pb.EndRuns {
	m := &pb.EndRuns{}
	for _, e := range ends {
		m.Ends = append(m.Ends, EncodeRunEnd(e))
	}
	return m
}

func decodeEndRuns(m *pb.EndRuns) []submission.End {
	out := make([]submission.End, 0, len(m.GetEnds()))
	for _, e := range m.GetEnds() {
		out = append(out, DecodeRunEnd(e))
	}
	return out
}

func encodeMembers(members []replica.Member) []*pb.Member {
	var out []*pb.Member
	for _, m := range members {
		out = append(out, &pb.Member{Id: string(m.ID), Address: m.Address, Learner: m.Learner})
	}
	return out
}

func decodeMembers(ms []*pb.Member) []replica.Member {
	var out []replica.Member
	for _, m := range ms {
		out = append(out, replica.Member{ID: replica.ID(m.GetId()), Address: m.GetAddress(), Learner: m.GetLearner()})
	}
	return out
}
