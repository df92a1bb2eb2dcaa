package controller

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/disk"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/replica"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/submission"
)

// drivenLeader is the leader "a" of a group of two. No goroutine runs its core: the test
// calls it, and answers for the other member, so that it decides what is committed when.
// The record has a waiting task, and another one that no worker can run.
type drivenLeader struct {
	*testing.T
	core  *Core
	files disk.Files
	now   time.Time
	task  submission.TaskID
}

func newDrivenLeader(t *testing.T) *drivenLeader {
	t.Helper()
	return newDrivenLeaderOf(t, submission.Step{Count: 1, Needs: submission.Resources{CPU: 1000, Memory: 1}, Estimate: 10 * time.Second})
}

// newDrivenLeaderOf returns a leader whose waiting task is that of the step.
func newDrivenLeaderOf(t *testing.T, step submission.Step) *drivenLeader {
	t.Helper()
	files, err := disk.OpenFolder(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	l := &drivenLeader{T: t, files: files, now: clock.Now(), task: submission.TaskID{Submission: "s1"}}
	l.start()
	l.elect()
	l.commit()
	if !l.core.replica.HoldsLease(l.now) {
		t.Fatal("the controller does not lead")
	}
	l.propose(state.ReplaceQueues{Table: testQueues()})
	other := submission.Step{Count: 1, Requirement: "absent"}
	l.propose(state.Submit{Submission: submission.Submission{Spec: submission.Spec{ID: "s1", Queue: "q", Steps: []submission.Step{step, other}}}})
	l.commit()
	return l
}

// start starts the controller with what is on its disk.
func (l *drivenLeader) start() {
	l.Helper()
	c, err := NewCore(CoreConfig{
		Replica: replica.Config{
			ID: "a", InitialMembers: []replica.Member{{ID: "a"}, {ID: "b"}}, ElectionTimeout: 10 * time.Second,
			Heartbeat: time.Second, Rand: rand.New(rand.NewPCG(1, 1)),
		},
		Files: l.files, Send: func([]replica.Message) {}, SnapshotEntries: 1000, WorkerLease: 4 * time.Second, RunLease: 4 * time.Second,
	}, l.now)
	if err != nil {
		l.Fatal(err)
	}
	l.core = c
	ctx, cancel := context.WithCancel(context.Background())
	var writer sync.WaitGroup
	writer.Go(func() { c.writer.run(ctx) })
	l.Cleanup(func() {
		cancel()
		writer.Wait()
		if c.store != nil {
			_ = c.store.Close()
		}
	})
}

// restart starts the controller again from a snapshot, and elects it.
func (l *drivenLeader) restart() {
	l.Helper()
	l.core.snapshotEntries = 1
	l.answerHeartbeat()
	if l.core.snapshotIndex != l.core.lastApplied.Index {
		l.Fatal("no snapshot was written")
	}
	if err := l.core.store.Close(); err != nil {
		l.Fatal(err)
	}
	l.start()
	l.elect()
	l.commit()
}

// elect makes the controller the leader of the next term.
func (l *drivenLeader) elect() {
	l.Helper()
	l.core.replica.Tick(l.now.Add(time.Hour))
	l.answer(replica.VoteReply{PreVote: true, Granted: true})
	l.answer(replica.VoteReply{Granted: true})
	if l.core.replica.Role() != replica.Leader {
		l.Fatal("the controller was not elected")
	}
}

// run returns a run of the task.
func (l *drivenLeader) run(number uint32) submission.RunID {
	return submission.RunID{Task: l.task, Number: number}
}

// answer delivers a message of the other member and carries out what follows.
func (l *drivenLeader) answer(body replica.Body) {
	l.Helper()
	term := l.core.replica.Term()
	if v, ok := body.(replica.VoteReply); ok && v.PreVote {
		term++
	}
	if err := l.core.replica.Step(l.now, replica.Message{From: "b", To: "a", Term: term, Body: body}); err != nil {
		l.Fatal(err)
	}
	l.core.processReady()
	for l.core.writing {
		l.core.handleWriteResult(<-l.core.writeResults)
		l.core.processReady()
	}
}

// answerHeartbeat answers a heartbeat, which renews the leader's own lease.
func (l *drivenLeader) answerHeartbeat() { l.answer(replica.AppendReply{Sent: l.now}) }

// pass lets time go by. The leader keeps its own lease.
func (l *drivenLeader) pass(d time.Duration) {
	l.Helper()
	l.now = l.now.Add(d)
	l.answerHeartbeat()
}

// expireLeases lets the leases of all runs expire, and the leader propose their ends.
func (l *drivenLeader) expireLeases() {
	l.Helper()
	l.pass(time.Minute)
	l.core.endExpiredRuns(l.now)
}

// commit commits and applies all entries.
func (l *drivenLeader) commit() { l.commitUpTo(l.core.replica.LastIndex()) }

// commitUpTo commits and applies the entries up to an index.
func (l *drivenLeader) commitUpTo(index uint64) {
	l.Helper()
	l.answerHeartbeat() // all entries are written first
	l.answer(replica.AppendReply{Sent: l.now, Match: index})
}

func (l *drivenLeader) propose(cmd state.Command) {
	l.Helper()
	if err := l.core.proposeAll(l.now, []proposal{{cmd: cmd, reply: make(chan result, 1)}}); err != nil {
		l.Fatal(err)
	}
}

// attach attaches an agent whose first report is in.
func (l *drivenLeader) attach(in *pb.AgentReport) *session {
	l.Helper()
	sess := l.core.attach(l.now, in)
	if sess == nil {
		l.Fatal("the agent is turned away")
	}
	return sess
}

// startFirstRun records the first run on a worker, whose agent has attached.
func (l *drivenLeader) startFirstRun(sess *session) {
	l.Helper()
	l.propose(state.StartRuns{Starts: []submission.Start{{Run: l.run(1), Worker: sess.worker.Incarnation}}})
	l.commit()
	if starts, _ := orderedRuns(sess); len(starts) != 1 {
		l.Fatalf("the starts %v were ordered, want one", starts)
	}
}

// orderedRuns removes the session's orders and returns the runs to start and to stop.
func orderedRuns(sess *session) (starts, stops []submission.RunID) {
	orders, _ := sess.outbox.popAll()
	for _, o := range orders {
		for _, s := range o.GetStarts() {
			starts = append(starts, wire.DecodeRun(s.GetRun()))
		}
		for _, s := range o.GetStops() {
			stops = append(stops, wire.DecodeRun(s))
		}
	}
	return starts, stops
}

// activeRuns returns the active runs of the task in the record.
func (l *drivenLeader) activeRuns() []submission.Start {
	s, _ := l.core.machine.Submissions().Submission("s1")
	return s.Runs()
}
