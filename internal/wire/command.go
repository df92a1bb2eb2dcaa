package wire

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/gentianrail/gentianrail/burn"
	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/job"
	"github.com/gentianrail/gentianrail/silence"
	"github.com/gentianrail/gentianrail/state"
)

// Values of EndAttempt.outcome.
const (
	_outcomeFinished uint32 = iota + 1
	_outcomeFailed
	_outcomeEvicted
	_outcomeLost
	_outcomeStopped
)

// EncodeCommand returns the message of a command.
func EncodeCommand(c state.Command) *pb.Command {
	switch c := c.(type) {
	case state.PutEntry:
		return &pb.Command{Kind: &pb.Command_PutEntry{PutEntry: &pb.PutEntry{
			Entry: encodeEntrySpec(c.Spec), BaseVersion: c.Base, ChangeId: c.ChangeID,
		}}}
	case state.DeleteEntry:
		return &pb.Command{Kind: &pb.Command_DeleteEntry{DeleteEntry: &pb.DeleteEntry{
			Name: c.Name, BaseVersion: c.Base, ChangeId: c.ChangeID,
		}}}
	case state.RegisterWorker:
		return &pb.Command{Kind: &pb.Command_RegisterWorker{RegisterWorker: &pb.RegisterWorker{
			Worker: EncodeWorker(c.Worker),
		}}}
	case state.RetireWorker:
		return &pb.Command{Kind: &pb.Command_RetireWorker{RetireWorker: &pb.RetireWorker{
			Id: c.ID, Incarnation: c.AgentIncarnation,
		}}}
	case state.DrainWorker:
		return &pb.Command{Kind: &pb.Command_DrainWorker{DrainWorker: &pb.DrainWorker{
			Id: c.ID, Drained: c.Drained,
		}}}
	case state.SubmitJob:
		return &pb.Command{Kind: &pb.Command_SubmitJob{SubmitJob: &pb.SubmitJob{Job: EncodeJob(c.Job)}}}
	case state.CancelJob:
		return &pb.Command{Kind: &pb.Command_CancelJob{CancelJob: &pb.CancelJob{Id: c.ID}}}
	case state.PlaceJob:
		return &pb.Command{Kind: &pb.Command_PlaceJob{PlaceJob: &pb.PlaceJob{
			Id: c.ID, Attempt: c.Attempt, Worker: c.Worker, Incarnation: c.AgentIncarnation,
		}}}
	case state.EndAttempt:
		return &pb.Command{Kind: &pb.Command_EndAttempt{EndAttempt: encodeEndAttempt(c)}}
	case state.FailJob:
		return &pb.Command{Kind: &pb.Command_FailJob{FailJob: &pb.FailJob{Id: c.ID, Reason: c.Reason}}}
	case state.BeginClaim:
		return &pb.Command{Kind: &pb.Command_BeginClaim{BeginClaim: &pb.BeginClaim{
			Claim: EncodeClaim(c.Claim), Remaining: int64(c.Remaining),
		}}}
	case state.FinishClaim:
		return &pb.Command{Kind: &pb.Command_FinishClaim{FinishClaim: &pb.FinishClaim{
			Entry: c.Entry, Key: c.Key, Token: c.Token, Answer: EncodeAnswer(c.Answer),
		}}}
	case state.ReleaseClaim:
		return &pb.Command{Kind: &pb.Command_ReleaseClaim{ReleaseClaim: &pb.ReleaseClaim{
			Entry: c.Entry, Key: c.Key, Token: c.Token,
		}}}
	case state.ReplaceQueues:
		return &pb.Command{Kind: &pb.Command_ReplaceQueues{ReplaceQueues: &pb.ReplaceQueues{Table: EncodeQueueTable(c.Table)}}}
	case state.Submit:
		return &pb.Command{Kind: &pb.Command_Submit{Submit: &pb.Submit{Submission: EncodeSubmission(&c.Submission)}}}
	case state.CancelSubmission:
		return &pb.Command{Kind: &pb.Command_CancelSubmission{CancelSubmission: &pb.CancelSubmission{Id: c.ID}}}
	case state.StartRuns:
		return &pb.Command{Kind: &pb.Command_StartRuns{StartRuns: encodeStartRuns(c.Starts)}}
	case state.EndRuns:
		return &pb.Command{Kind: &pb.Command_EndRuns{EndRuns: encodeEndRuns(c.Ends)}}
	case state.SettleRuns:
		return &pb.Command{Kind: &pb.Command_EndRuns{EndRuns: encodeSettleRuns(c)}}
	case state.RecordLateRuns: // as the next one
		return &pb.Command{Kind: &pb.Command_EndRuns{EndRuns: &pb.EndRuns{Late: encodeEndRuns(c.Runs).GetEnds()}}}
	case state.RecordSilence: // controllers of earlier versions take it for a command that ends no runs
		return &pb.Command{Kind: &pb.Command_EndRuns{EndRuns: &pb.EndRuns{Silence: encodeSilence(c.Change)}}}
	case state.StartEvacuation:
		return &pb.Command{Kind: &pb.Command_StartEvacuation{StartEvacuation: &pb.StartEvacuation{Zone: c.Zone}}}
	case state.DropAnswers:
		return &pb.Command{Kind: &pb.Command_DropAnswers{DropAnswers: &pb.DropAnswers{
			ClaimsBefore: encodeTime(c.ClaimsBefore), JobsBefore: encodeTime(c.JobsBefore),
		}}}
	case state.FinishEvacuation:
		return &pb.Command{Kind: &pb.Command_FinishEvacuation{FinishEvacuation: &pb.FinishEvacuation{Zone: c.Zone}}}
	case state.RecordBurn:
		return &pb.Command{Kind: &pb.Command_RecordBurn{RecordBurn: encodeRecordBurn(c)}}
	default:
		panic(fmt.Sprintf("wire: unexpected command %T", c))
	}
}

func encodeRecordBurn(c state.RecordBurn) *pb.RecordBurn {
	m := &pb.RecordBurn{Source: c.Source, Sequence: c.Sequence}
	for _, count := range c.Counts {
		m.Counts = append(m.Counts, EncodeBurnCount(count))
	}
	return m
}

func encodeEndAttempt(c state.EndAttempt) *pb.EndAttempt {
	m := &pb.EndAttempt{Id: c.ID, Attempt: c.Attempt}
	switch o := c.Outcome.(type) {
	case job.Finished:
		m.Outcome, m.Status, m.Body = _outcomeFinished, int32(o.Status), o.Result
	case job.AttemptFailed:
		m.Outcome, m.Reason = _outcomeFailed, o.Reason
	case job.Evicted:
		m.Outcome, m.Body, m.Reason = _outcomeEvicted, o.Checkpoint, o.Reason
	case job.Lost:
		m.Outcome, m.Reason = _outcomeLost, o.Reason
	case job.Stopped:
		m.Outcome = _outcomeStopped
	default:
		panic(fmt.Sprintf("wire: unexpected outcome %T", o))
	}
	return m
}

func decodeEndAttempt(m *pb.EndAttempt) (state.EndAttempt, error) {
	c := state.EndAttempt{ID: m.GetId(), Attempt: m.GetAttempt()}
	switch m.GetOutcome() {
	case _outcomeFinished:
		c.Outcome = job.Finished{Status: int(m.GetStatus()), Result: m.GetBody()}
	case _outcomeFailed:
		c.Outcome = job.AttemptFailed{Reason: m.GetReason()}
	case _outcomeEvicted:
		c.Outcome = job.Evicted{Checkpoint: m.GetBody(), Reason: m.GetReason()}
	case _outcomeLost:
		c.Outcome = job.Lost{Reason: m.GetReason()}
	case _outcomeStopped:
		c.Outcome = job.Stopped{}
	default:
		return c, fault.New(fault.BadRequest, "unknown outcome %d of a job's attempt", m.GetOutcome())
	}
	return c, nil
}

// DecodeCommand returns the command of a message.
func DecodeCommand(m *pb.Command) (state.Command, error) {
	switch k := m.GetKind().(type) {
	case *pb.Command_PutEntry:
		return state.PutEntry{
			Spec: decodeEntrySpec(k.PutEntry.GetEntry()), Base: k.PutEntry.GetBaseVersion(), ChangeID: k.PutEntry.GetChangeId(),
		}, nil
	case *pb.Command_DeleteEntry:
		return state.DeleteEntry{
			Name: k.DeleteEntry.GetName(), Base: k.DeleteEntry.GetBaseVersion(), ChangeID: k.DeleteEntry.GetChangeId(),
		}, nil
	case *pb.Command_RegisterWorker:
		return state.RegisterWorker{Worker: DecodeWorker(k.RegisterWorker.GetWorker())}, nil
	case *pb.Command_RetireWorker:
		return state.RetireWorker{ID: k.RetireWorker.GetId(), AgentIncarnation: k.RetireWorker.GetIncarnation()}, nil
	case *pb.Command_DrainWorker:
		return state.DrainWorker{ID: k.DrainWorker.GetId(), Drained: k.DrainWorker.GetDrained()}, nil
	case *pb.Command_SubmitJob:
		return state.SubmitJob{Job: DecodeJob(k.SubmitJob.GetJob())}, nil
	case *pb.Command_CancelJob:
		return state.CancelJob{ID: k.CancelJob.GetId()}, nil
	case *pb.Command_PlaceJob:
		return state.PlaceJob{
			ID: k.PlaceJob.GetId(), Attempt: k.PlaceJob.GetAttempt(),
			Worker: k.PlaceJob.GetWorker(), AgentIncarnation: k.PlaceJob.GetIncarnation(),
		}, nil
	case *pb.Command_EndAttempt:
		return decodeEndAttempt(k.EndAttempt)
	case *pb.Command_FailJob:
		return state.FailJob{ID: k.FailJob.GetId(), Reason: k.FailJob.GetReason()}, nil
	case *pb.Command_BeginClaim:
		return state.BeginClaim{
			Claim: DecodeClaim(k.BeginClaim.GetClaim()), Remaining: decodeDuration(k.BeginClaim.GetRemaining()),
		}, nil
	case *pb.Command_FinishClaim:
		return state.FinishClaim{
			Entry: k.FinishClaim.GetEntry(), Key: k.FinishClaim.GetKey(),
			Token: k.FinishClaim.GetToken(), Answer: DecodeAnswer(k.FinishClaim.GetAnswer()),
		}, nil
	case *pb.Command_ReleaseClaim:
		return state.ReleaseClaim{
			Entry: k.ReleaseClaim.GetEntry(), Key: k.ReleaseClaim.GetKey(), Token: k.ReleaseClaim.GetToken(),
		}, nil
	case *pb.Command_ReplaceQueues:
		return state.ReplaceQueues{Table: DecodeQueueTable(k.ReplaceQueues.GetTable())}, nil
	case *pb.Command_Submit:
		s, err := DecodeSubmission(k.Submit.GetSubmission())
		if err != nil {
			return nil, err
		}
		return state.Submit{Submission: *s}, nil
	case *pb.Command_CancelSubmission:
		return state.CancelSubmission{ID: k.CancelSubmission.GetId()}, nil
	case *pb.Command_StartRuns:
		return state.StartRuns{Starts: decodeStartRuns(k.StartRuns)}, nil
	case *pb.Command_EndRuns:
		if len(k.EndRuns.GetLate()) > 0 {
			return state.RecordLateRuns{Runs: decodeEndRuns(&pb.EndRuns{Ends: k.EndRuns.GetLate()})}, nil
		}
		if k.EndRuns.GetSilence() != nil {
			return state.RecordSilence{Change: decodeSilence(k.EndRuns.GetSilence())}, nil
		}
		if len(k.EndRuns.GetSettled())+len(k.EndRuns.GetUnsettled()) > 0 {
			return decodeSettleRuns(k.EndRuns)
		}
		return state.EndRuns{Ends: decodeEndRuns(k.EndRuns)}, nil
	case *pb.Command_StartEvacuation:
		return state.StartEvacuation{Zone: k.StartEvacuation.GetZone()}, nil
	case *pb.Command_DropAnswers:
		return state.DropAnswers{
			ClaimsBefore: decodeTime(k.DropAnswers.GetClaimsBefore()), JobsBefore: decodeTime(k.DropAnswers.GetJobsBefore()),
		}, nil
	case *pb.Command_FinishEvacuation:
		return state.FinishEvacuation{Zone: k.FinishEvacuation.GetZone()}, nil
	case *pb.Command_RecordBurn:
		return state.RecordBurn{
			Source: k.RecordBurn.GetSource(), Sequence: k.RecordBurn.GetSequence(), Counts: decodeBurnCounts(k.RecordBurn.GetCounts()),
		}, nil
	default:
		return nil, fault.New(fault.BadRequest, "unknown command %T", k)
	}
}

// encodeSettleRuns encodes the command as one that ends no runs, which is what controllers
// of earlier versions take it for.
func encodeSettleRuns(c state.SettleRuns) *pb.EndRuns {
	m := &pb.EndRuns{}
	for _, run := range c.Runs {
		if c.Settled {
			m.Settled = append(m.Settled, EncodeRun(run))
		} else {
			m.Unsettled = append(m.Unsettled, EncodeRun(run))
		}
	}
	return m
}

func decodeSettleRuns(m *pb.EndRuns) (state.SettleRuns, error) {
	c, runs := state.SettleRuns{Settled: len(m.GetSettled()) > 0}, m.GetUnsettled()
	if c.Settled {
		runs = m.GetSettled()
	}
	if len(m.GetEnds()) > 0 || len(runs) < len(m.GetSettled())+len(m.GetUnsettled()) {
		return c, fault.New(fault.BadRequest, "a command ends or settles runs, and also settles others")
	}
	for _, run := range runs {
		c.Runs = append(c.Runs, DecodeRun(run))
	}
	return c, nil
}

func encodeSilence(c silence.Change) *pb.SilenceChange {
	m := &pb.SilenceChange{Term: c.Term, Removed: c.Removed}
	for _, s := range c.Silent {
		m.Silent = append(m.Silent, &pb.SilentMachine{Name: s.Name, For: int64(s.For)})
	}
	return m
}

func decodeSilence(m *pb.SilenceChange) silence.Change {
	c := silence.Change{Term: m.GetTerm(), Removed: m.GetRemoved()}
	for _, s := range m.GetSilent() {
		c.Silent = append(c.Silent, silence.Machine{Name: s.GetName(), For: decodeDuration(s.GetFor())})
	}
	return c
}

func decodeBurnCounts(ms []*pb.BurnCount) []burn.Count {
	out := make([]burn.Count, 0, len(ms))
	for _, m := range ms {
		out = append(out, DecodeBurnCount(m))
	}
	return out
}

// MarshalCommand returns the bytes of a command in a log entry.
func MarshalCommand(c state.Command) ([]byte, error) { return proto.Marshal(EncodeCommand(c)) }

// UnmarshalCommand returns the command of a log entry.
func UnmarshalCommand(data []byte) (state.Command, error) {
	var m pb.Command
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, fault.Wrap(fault.DataDamaged, err, "decode a command")
	}
	return DecodeCommand(&m)
}

// EncodeOutcome returns the message of an outcome.
func EncodeOutcome(o state.Outcome) *pb.Outcome {
	m := &pb.Outcome{Revision: o.Revision, RepeatedChange: o.Repeated, Code: int32(fault.OK)}
	if o.Entry != nil {
		m.Entry = EncodeEntry(*o.Entry)
	}
	if o.Job != nil {
		m.Job = EncodeJob(*o.Job)
	}
	if o.Claim != nil {
		m.Claim = EncodeClaim(*o.Claim)
	}
	if o.Err != nil {
		f := fault.From(o.Err)
		m.Code = int32(f.Code())
		m.Message = f.Message()
		m.RetryAfter = int64(f.RetryAfter())
	}
	return m
}

// DecodeOutcome returns the outcome of a message.
func DecodeOutcome(m *pb.Outcome) state.Outcome {
	o := state.Outcome{Revision: m.GetRevision(), Repeated: m.GetRepeatedChange()}
	if m.GetEntry() != nil {
		e := DecodeEntry(m.GetEntry())
		o.Entry = &e
	}
	if m.GetJob() != nil {
		j := DecodeJob(m.GetJob())
		o.Job = &j
	}
	if m.GetClaim() != nil {
		c := DecodeClaim(m.GetClaim())
		o.Claim = &c
	}
	if code := fault.Code(m.GetCode()); code != fault.OK {
		o.Err = fault.New(code, "%s", m.GetMessage()).WithRetryAfter(decodeDuration(m.GetRetryAfter()))
	}
	return o
}
