package dispatch

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// newOneWorkerSim simulates a pool in which only the first worker may run the submission
// "s", which has one task.
func newOneWorkerSim(t *testing.T) *crashSim {
	sim := newCrashSim(t, 10)
	sim.workers[0].Labels = append(sim.workers[0].Labels, "b")
	sim.s.SetWorker(&sim.store, sim.workers[0])
	sim.submit("s", 0, submission.Step{Count: 1, Needs: submission.Resources{CPU: 7000, Memory: 13000}, Estimate: 2700 * time.Millisecond, Requirement: "b"})
	return sim
}

// TestTaskOnFlappingWorkerIsNotGivenUp guards against a submission that counts as failed
// because the only worker that may run its task goes down again and again by itself.
func TestTaskOnFlappingWorkerIsNotGivenUp(t *testing.T) {
	for _, up := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, 1100 * time.Millisecond, 1400 * time.Millisecond} {
		t.Run(up.String(), func(t *testing.T) {
			sim := newOneWorkerSim(t)
			for range 6 {
				sim.run(up)
				sim.crash(0)
				sim.run(_simDowntime)
			}
			sim.run(10 * time.Second)
			if got := sim.state("s"); got != submission.Completed {
				t.Errorf("the submission is %s, want completed", got)
			}
		})
	}
}

// TestTaskThatCrashesItsOnlyWorkerIsGivenUp guards against a task that takes down the only
// worker that may run it without end.
func TestTaskThatCrashesItsOnlyWorkerIsGivenUp(t *testing.T) {
	sim := newOneWorkerSim(t)
	id := submission.TaskID{Submission: "s"}
	sim.crashers[id] = _simCrashDelay
	sim.run(60 * time.Second)
	if got := sim.state("s"); got != submission.OutOfAttempts || sim.starts[id] > _simMaxStarts {
		t.Errorf("the submission is %s after %d starts, want failed after at most %d", got, sim.starts[id], _simMaxStarts)
	}
}
