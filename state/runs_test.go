package state_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/queue"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/submission"
)

// runRecord is what the test knows of one task.
type runRecord struct {
	active  []submission.Run // without the times of their starts
	lastRun uint32
	done    bool
}

// runRecords compares a machine, and one that is restored again and again, with its
// own record of the runs.
type runRecords struct {
	t                  *testing.T
	seed               uint64
	original, restored *state.Machine
	index              uint64
	now                time.Time
	tasks              map[submission.TaskID]*runRecord
	restores, ended    int
}

// apply applies a command as the log does: encoded, and to both machines.
func (p *runRecords) apply(c state.Command) state.Outcome {
	p.t.Helper()
	data, err := wire.MarshalCommand(c)
	if err != nil {
		p.t.Fatal(err)
	}
	var outcomes []state.Outcome
	p.index++
	for _, m := range []*state.Machine{p.original, p.restored} {
		decoded, err := wire.UnmarshalCommand(data)
		if err != nil {
			p.t.Fatal(err)
		}
		outcomes = append(outcomes, m.Apply(p.index, p.now, decoded).Outcome)
	}
	if !slices.Equal(outcomes[0].Starts, outcomes[1].Starts) {
		p.t.Fatalf("seed %d: %T started %v, after a restore %v", p.seed, c, outcomes[0].Starts, outcomes[1].Starts)
	}
	return outcomes[0]
}

func (p *runRecords) restore() {
	p.t.Helper()
	data, err := wire.MarshalState(p.restored.Contents())
	if err != nil {
		p.t.Fatal(err)
	}
	contents, err := wire.UnmarshalState(data)
	if err != nil {
		p.t.Fatal(err)
	}
	p.restored = state.Restore(contents)
	p.restores++
}

// start proposes starts and checks each one that was recorded.
func (p *runRecords) start(starts []submission.Start) {
	p.t.Helper()
	for _, st := range p.apply(state.StartRuns{Starts: starts}).Starts {
		r := p.tasks[st.Run.Task]
		s, _ := p.original.Submissions().Submission(st.Run.Task.Submission)
		if r == nil {
			r = &runRecord{}
			p.tasks[st.Run.Task] = r
		}
		switch step := s.Steps[st.Run.Task.Step]; {
		case r.done && !step.LongRunning:
			p.t.Fatalf("seed %d: %v started after its task was done", p.seed, st.Run)
		case len(r.active) > 0 && !step.Speculative:
			p.t.Fatalf("seed %d: %v started beside %v", p.seed, st.Run, r.active)
		case st.Run.Number <= r.lastRun:
			p.t.Fatalf("seed %d: %v started after run %d", p.seed, st.Run, r.lastRun)
		}
		r.active = append(r.active, submission.Run{Number: st.Run.Number, Worker: st.Worker})
		r.lastRun = st.Run.Number
	}
}

// end reports ends. Only an end with the number and the worker of an active run
// counts.
func (p *runRecords) end(ends []submission.End) {
	p.t.Helper()
	p.apply(state.EndRuns{Ends: ends})
	for _, e := range ends {
		r := p.tasks[e.Run.Task]
		if r == nil {
			continue
		}
		i := slices.Index(r.active, submission.Run{Number: e.Run.Number, Worker: e.Worker})
		if i < 0 {
			continue
		}
		p.ended++
		r.active = slices.Delete(r.active, i, i+1)
		if e.Reason != submission.Done {
			continue
		}
		s, _ := p.original.Submissions().Submission(e.Run.Task.Submission)
		for id, member := range p.tasks {
			if id == e.Run.Task || s.Steps[id.Step].Gang && id.Submission == s.ID && id.Step == e.Run.Task.Step {
				member.done = true
			}
		}
	}
}

// check compares the active runs and the last run numbers.
func (p *runRecords) check() {
	p.t.Helper()
	for id, r := range p.tasks {
		for name, m := range map[string]*state.Machine{"original": p.original, "restored": p.restored} {
			s, ok := m.Submissions().Submission(id.Submission)
			if !ok {
				p.t.Fatalf("seed %d: the %s machine has dropped %s", p.seed, name, id.Submission)
			}
			task := s.Task(id)
			active := slices.Clone(task.Runs)
			for i := range active {
				active[i].Started = time.Time{}
			}
			if !slices.Equal(active, r.active) || task.LastRun != r.lastRun {
				p.t.Fatalf("seed %d: the %s machine has the runs %v of %v, the last %d; want %v, %d",
					p.seed, name, active, id, task.LastRun, r.active, r.lastRun)
			}
		}
	}
}

func (p *runRecords) step(rnd *rand.Rand) {
	p.t.Helper()
	p.now = p.now.Add(time.Duration(rnd.IntN(300)) * time.Millisecond)
	task := submission.TaskID{Submission: fmt.Sprint("s", rnd.IntN(5)), Step: rnd.IntN(2), Index: rnd.IntN(3)}
	worker, last := fmt.Sprintf("w%d/%d", rnd.IntN(3), rnd.IntN(2)), uint32(0)
	holder := worker
	if r := p.tasks[task]; r != nil {
		last = r.lastRun
		if len(r.active) > 0 && rnd.IntN(2) == 0 {
			holder = r.active[0].Worker
		}
	}
	switch rnd.IntN(12) {
	case 0:
		first := submission.Step{Count: 3, Gang: rnd.IntN(4) == 0, Speculative: rnd.IntN(4) == 0}
		second := submission.Step{Count: 3, LongRunning: rnd.IntN(3) == 0}
		if rnd.IntN(2) == 0 {
			second.DependsOn = []int{0}
		}
		p.apply(state.Submit{Submission: submission.Submission{Spec: submission.Spec{
			ID: task.Submission, Queue: "q", Steps: []submission.Step{first, second},
		}}})
	case 1:
		if rnd.IntN(8) == 0 {
			p.apply(state.CancelSubmission{ID: task.Submission})
		}
	case 2:
		p.restore()
	case 3, 4, 5, 6: // the next run, a repeated one, or one that was skipped
		p.start([]submission.Start{{Run: submission.RunID{Task: task, Number: last + uint32(rnd.IntN(3))}, Worker: worker}})
	default: // the end of the latest run or of an earlier one, reported once or twice
		e := submission.End{
			Run: submission.RunID{Task: task, Number: last - min(last, uint32(rnd.IntN(2)))}, Worker: holder,
			Reason: submission.EndReason(1 + rnd.IntN(int(submission.Crashed))), Checkpoint: "c",
		}
		p.end(slices.Repeat([]submission.End{e}, 1+rnd.IntN(2)))
	}
	p.check()
}

// TestNoTaskRunsTwiceAfterRestores applies random starts, late, repeated and wrong ends,
// and restores from snapshots. It guards against an end that ends another run than its
// own, a run that a snapshot omits, and a run number that is used again.
func TestNoTaskRunsTwiceAfterRestores(t *testing.T) {
	const seeds, steps = 60, 400
	restores, ended := 0, 0
	for seed := range uint64(seeds) {
		rnd := rand.New(rand.NewPCG(seed, 5))
		p := &runRecords{
			t: t, seed: seed, original: &state.Machine{}, restored: &state.Machine{}, now: time.Unix(1_700_000_000, 0).UTC(),
			tasks: make(map[submission.TaskID]*runRecord),
		}
		table := queue.Table{Version: 1, Services: []queue.Service{{Name: "pool"}}, Queues: []queue.Queue{
			{Name: "q", Host: "h.example", Prefix: "/q", Service: "pool", MaxAttempts: 6, Timeout: time.Minute},
		}}
		if o := p.apply(state.ReplaceQueues{Table: table}); o.Err != nil {
			t.Fatal(o.Err)
		}
		for range steps {
			p.step(rnd)
		}
		a, errA := wire.MarshalState(p.original.Contents())
		b, errB := wire.MarshalState(p.restored.Contents())
		if errA != nil || errB != nil || !bytes.Equal(a, b) {
			t.Fatalf("seed %d: the restored machine differs: %v, %v", seed, errA, errB)
		}
		restores, ended = restores+p.restores, ended+p.ended
	}
	if restores < seeds || ended < seeds {
		t.Errorf("only %d restores and %d ends: the test shows little", restores, ended)
	}
	t.Logf("%d restores, %d ends that count", restores, ended)
}
