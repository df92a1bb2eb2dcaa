package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/submission"
)

const _gangMembers = 6

// failedRunsOfGang returns how many failed runs of the gang the record counts, and whether its
// submission has failed.
func (l *drivenLeader) failedRunsOfGang() (n int, failed bool) {
	s, _ := l.core.machine.Submissions().Submission("s1")
	return s.StepRecords[0][0].Tasks[0].FailedRuns, s.State == submission.OutOfAttempts
}

// playGangRun starts a common run of the gang on three machines, and lets the members end in random
// order, in reports of random size, beside changes of the leader. It returns whether one has failed.
func (l *drivenLeader) playGangRun(rnd *rand.Rand, number uint32, sent map[string]uint64) (failed bool) {
	l.Helper()
	workers := []string{"m1/w/1", "m2/w/1", "m3/w/1"}
	sessions := make(map[string]*session)
	attach := func() {
		for _, w := range workers {
			sessions[w] = l.attach(&pb.AgentReport{Worker: report(w).GetWorker()})
		}
	}
	attach()
	on := make([]string, _gangMembers)
	var starts []submission.Start
	for i := range on {
		on[i] = workers[rnd.IntN(len(workers))]
		task := l.task
		task.Index = i
		starts = append(starts, submission.Start{Run: submission.RunID{Task: task, Number: number}, Worker: on[i]})
	}
	l.propose(state.StartRuns{Starts: starts})
	l.commit()
	if n := len(l.activeRuns()); n != _gangMembers {
		l.Fatalf("%d of the gang's members have started run %d", n, number)
	}
	reports := make(map[string]*pb.AgentReport)
	for _, i := range rnd.Perm(_gangMembers) {
		how := submission.GangBroken
		if rnd.IntN(2) == 0 {
			how, failed = submission.Failed, true
		}
		w := on[i]
		if reports[w] == nil {
			reports[w] = &pb.AgentReport{}
		}
		sent[w]++
		reports[w].Ends = append(reports[w].Ends, &pb.ListedEnd{Number: sent[w], Run: wire.EncodeRun(starts[i].Run), How: uint32(how)})
		switch rnd.IntN(6) {
		case 0, 1, 2:
			l.core.handleReport(l.now, sessions[w], reports[w])
			delete(reports, w)
		case 3:
			l.commit()
		case 4:
			l.commit()
			l.restart()
			attach()
		}
	}
	for w, in := range reports {
		l.core.handleReport(l.now, sessions[w], in)
	}
	l.commit()
	return failed
}

// TestGangRunCountsOnce guards against a gang that is shown as failed after fewer common runs than
// it has attempts, since several members have failed, and against one that goes on after its last
// attempt.
func TestGangRunCountsOnce(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			l := newDrivenLeaderOf(t, submission.Step{Count: _gangMembers, Gang: true, Needs: submission.Resources{CPU: 1000, Memory: 1}})
			attempts := testQueues().Queues[0].MaxAttempts
			failedRuns, sent := 0, make(map[string]uint64)
			for number := uint32(1); failedRuns < attempts; number++ {
				if l.playGangRun(rnd, number, sent) {
					failedRuns++
				}
				if n, failed := l.failedRunsOfGang(); n != failedRuns || failed != (failedRuns == attempts) {
					t.Fatalf("after %d runs with a failed member the record counts %d, failed: %t", failedRuns, n, failed)
				}
			}
		})
	}
}

// TestFormerVersionCountsGangRunsAlike guards against copies of the record that part while
// controllers of the former version are replaced: what an entry counts follows from its reasons
// alone, which they apply as well.
func TestFormerVersionCountsGangRunsAlike(t *testing.T) {
	step := submission.Step{Count: _gangMembers, Gang: true, Needs: submission.Resources{CPU: 1000, Memory: 1}}
	ended := func(leaderIsFormer bool) int {
		l := newDrivenLeaderOf(t, step)
		sess := l.attach(report("m1/w/1"))
		in, former := &pb.AgentReport{}, state.EndRuns{}
		var starts []submission.Start
		for i := range _gangMembers {
			run := l.run(1)
			run.Task.Index = i
			starts = append(starts, submission.Start{Run: run, Worker: "m1/w/1"})
			former.Ends = append(former.Ends, submission.End{Run: run, Worker: "m1/w/1", Reason: submission.Failed})
			in.Ends = append(in.Ends, &pb.ListedEnd{Number: uint64(i) + 1, Run: wire.EncodeRun(run), How: uint32(submission.Failed)})
		}
		l.propose(state.StartRuns{Starts: starts})
		l.commit()
		if leaderIsFormer {
			l.propose(former)
		} else {
			l.core.handleReport(l.now, sess, in)
		}
		l.commit()
		n, _ := l.failedRunsOfGang()
		return n
	}
	if n := ended(true); n != _gangMembers {
		t.Errorf("of a former leader's entry %d ends count, and %d with the former version", n, _gangMembers)
	}
	if n := ended(false); n != 1 {
		t.Errorf("of this version's entry %d ends count, want 1", n)
	}
}
