package wire

import (
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/gentianrail/gentianrail/catalogue"
	"github.com/gentianrail/gentianrail/claim"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/job"
	"github.com/gentianrail/gentianrail/queue"
	"github.com/gentianrail/gentianrail/replica"
	"github.com/gentianrail/gentianrail/silence"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/submission"
	"github.com/gentianrail/gentianrail/worker"
)

// sampleCommands returns one command of each type. In this order most of them are
// accepted.
func sampleCommands() []state.Command {
	spec := submission.Spec{ID: "s1", Queue: "q", Repeat: 2, Interval: time.Second, Steps: []submission.Step{
		{Count: 2, Needs: submission.Resources{CPU: 1000}, Estimate: time.Second, Gang: true},
		{Count: 1, Needs: submission.Resources{CPU: 1000}, Estimate: time.Second, DependsOn: []int{0}},
	}}
	run := submission.RunID{Task: submission.TaskID{Submission: "s1"}, Number: 1}
	return []state.Command{
		state.ReplaceQueues{Table: queue.Table{
			Version: 1, Services: []queue.Service{{Name: "pool"}},
			Queues: []queue.Queue{{Name: "q", Host: "h.example", Prefix: "/", Service: "pool", MaxAttempts: 3, Slack: 1, Timeout: time.Minute}},
		}},
		state.Submit{Submission: submission.Submission{Spec: spec}},
		state.StartRuns{Starts: []submission.Start{{Run: run, Worker: "w1/1"}}},
		state.EndRuns{Ends: []submission.End{{Run: run, Worker: "w1/1", Reason: submission.Done, Checkpoint: "c"}}},
		state.EndRuns{Ends: []submission.End{{Run: run, Worker: "w1/1", Reason: submission.Failed, LateFor: time.Second}}},
		state.SettleRuns{Runs: []submission.RunID{run}, Settled: true},
		state.SettleRuns{Runs: []submission.RunID{run}},
		state.RecordLateRuns{Runs: []submission.End{{Run: run, Worker: "w1/1", Reason: submission.Lost, LateFor: time.Second}}},
		state.RecordSilence{Change: silence.Change{Term: 3, Silent: []silence.Machine{{Name: "m1", For: time.Second}}, Removed: []string{"m2"}}},
		state.CancelSubmission{ID: "s1"},
		state.StartEvacuation{Zone: "z"},
		state.FinishEvacuation{Zone: "z"},
		state.DropAnswers{ClaimsBefore: time.Unix(1000, 1), JobsBefore: time.Unix(2000, 0)},
		state.PutEntry{Spec: catalogue.Spec{Name: "entry", Class: catalogue.Batch, Owner: "o", Target: "t"}, ChangeID: "c1"},
		state.RegisterWorker{Worker: worker.Worker{ID: "w1", AgentIncarnation: 1, Address: "a", Zone: "z", Targets: []string{"t"}}},
		state.SubmitJob{Job: job.Job{ID: "j1", Entry: "entry"}},
		state.PlaceJob{ID: "j1", Attempt: 1, Worker: "w1", AgentIncarnation: 1},
		state.EndAttempt{ID: "j1", Attempt: 1, Outcome: job.Lost{Reason: "r"}},
		state.FailJob{ID: "j1", Reason: "r"},
		state.BeginClaim{Claim: claim.Claim{Entry: "entry", Key: "k"}, Remaining: time.Second},
		state.ReleaseClaim{Entry: "entry", Key: "k", Token: "1"},
		state.RetireWorker{ID: "w1", AgentIncarnation: 1},
		state.DeleteEntry{Name: "entry", ChangeID: "c2"},
	}
}

// FuzzApply applies decoded commands as a replica does with its log. A command that
// panicked there would stop each controller again after each restart.
func FuzzApply(f *testing.F) {
	for _, c := range sampleCommands() {
		data, err := MarshalCommand(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		cmd, err := UnmarshalCommand(data)
		if err != nil {
			return
		}
		var m state.Machine
		for i, c := range sampleCommands() {
			m.Apply(uint64(2*i+1), time.Unix(int64(i), 0), c)
			EncodeOutcome(m.Apply(uint64(2*i+2), time.Unix(int64(i), 0), cmd).Outcome)
		}
		if _, err := MarshalState(m.Contents()); err != nil {
			t.Error(err)
		}
	})
}

// A submission that no entry accepts is rejected when it is applied as well: the
// command may come from any process.
func TestInvalidSubmissionIsNotApplied(t *testing.T) {
	for _, tc := range []struct {
		name string
		spec submission.Spec
	}{
		{name: "no steps", spec: submission.Spec{ID: "x", Queue: "q"}},
		{name: "negative number of tasks", spec: submission.Spec{ID: "x", Queue: "q", Steps: []submission.Step{{Count: -1}}}},
		{name: "dependency on a later step", spec: submission.Spec{ID: "x", Queue: "q", Steps: []submission.Step{{Count: 1, DependsOn: []int{7}}}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var m state.Machine
			commands := sampleCommands()
			m.Apply(1, time.Unix(1, 0), commands[0])
			if o := m.Apply(2, time.Unix(1, 0), state.Submit{Submission: submission.Submission{Spec: tc.spec}}).Outcome; o.Err == nil {
				t.Error("the submission was accepted")
			}
			if o := m.Apply(3, time.Unix(1, 0), commands[1]).Outcome; o.Err != nil {
				t.Errorf("a valid submission was rejected: %v", o.Err)
			}
		})
	}
}

// sampleMessages returns one message of each type from "r1" to "r2".
func sampleMessages() []replica.Message {
	entry := replica.Entry{Index: 1, Term: 1, Kind: replica.KindCommand, Data: []byte("c")}
	members := replica.Entry{Index: 2, Term: 1, Kind: replica.KindMembers, Members: []replica.Member{{ID: "r1"}, {ID: "r2"}, {ID: "r3"}}}
	var out []replica.Message
	for _, body := range []replica.Body{
		replica.Append{Commit: 1, Entries: []replica.Entry{entry, members}},
		replica.InstallSnapshot{Index: 5, Term: 1, Last: true, Data: []byte("s")},
		replica.VoteRequest{PreVote: true, LastIndex: 9, LastTerm: 1},
		replica.SnapshotProgress{Index: 3, Received: 4},
		replica.TimeoutNow{},
		replica.VoteReply{Granted: true},
		replica.AppendReply{Match: 1},
	} {
		out = append(out, replica.Message{From: "r1", To: "r2", Term: 1, Body: body})
	}
	return out
}

// FuzzStep passes decoded messages to a replica, before and after each message of a
// correct one.
func FuzzStep(f *testing.F) {
	for _, m := range sampleMessages() {
		data, err := proto.Marshal(EncodeReplicaMessage(m))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var in pb.ReplicaMessage
		if proto.Unmarshal(data, &in) != nil {
			return
		}
		m, err := DecodeReplicaMessage(&in)
		if err != nil {
			return
		}
		now := time.Unix(1000, 0)
		r := replica.New(replica.Config{
			ID: "r2", InitialVoters: []replica.ID{"r1", "r2", "r3"}, ElectionTimeout: time.Second, Heartbeat: 100 * time.Millisecond,
			Rand: rand.New(rand.NewPCG(1, 1)),
		}, replica.RestoredState{}, func() replica.Snapshot { return replica.Snapshot{} }, now)
		for _, valid := range sampleMessages() {
			valid.Term = max(valid.Term, r.Term())
			for _, next := range []replica.Message{m, valid, m} {
				_ = r.Step(now, next) // may be refused
				ready := r.Ready()
				r.RecordSynced(ready.DurableWrite())
				now = now.Add(50 * time.Millisecond)
				r.Tick(now)
			}
		}
	})
}
