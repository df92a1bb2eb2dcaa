package state_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/gentianrail/gentianrail/burn"
	"github.com/gentianrail/gentianrail/catalogue"
	"github.com/gentianrail/gentianrail/claim"
	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/job"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/worker"
)

const fuzzSeed = 20260702

func spec(name string, class catalogue.Class, slots int) catalogue.Spec {
	return catalogue.Spec{
		Name: name, Owner: "workshop", Class: class, Target: "sample",
		Limits: catalogue.Limits{
			Slots: slots, Connections: 8, RequestTimeout: time.Second, MaxRunningTasks: 4,
			Deadline: time.Hour, MaxAttempts: 3,
		},
		Objective: catalogue.Objective{Ratio: 0.99, Latency: time.Second},
	}
}

// simulation drives a machine with random commands and compares the machine
// with a simple model that counts runs and remembers answers and versions.
type simulation struct {
	m               *state.Machine
	random          *rand.Rand
	now             time.Time
	index           uint64
	runsByKey       map[string]int    // number of runs of a claimed request, by key
	firstAnswers    map[string]string // first recorded answer, by key
	lastTokens      map[string]string // token of the last granted claim, by key
	liveAttempts    map[string]uint32 // running attempt, by job
	results         map[string]string
	highestVersions map[string]uint64 // highest version, by entry
	failure         string            // first violation; empty if none
}

func newSimulation(seed uint64) *simulation {
	return &simulation{
		m: &state.Machine{}, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0).UTC(),
		runsByKey: make(map[string]int), firstAnswers: make(map[string]string), lastTokens: make(map[string]string),
		liveAttempts: make(map[string]uint32), results: make(map[string]string), highestVersions: make(map[string]uint64),
	}
}

func (w *simulation) failf(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf(format, args...)
	}
}

// apply encodes and decodes a command, as the log does, and applies the result.
func (w *simulation) apply(c state.Command) state.Outcome {
	data, err := wire.MarshalCommand(c)
	if err != nil {
		w.failf("encode %T: %v", c, err)
	}
	decoded, err := wire.UnmarshalCommand(data)
	if err != nil {
		w.failf("decode %T: %v", c, err)
		return state.Outcome{}
	}
	w.index++
	return w.m.Apply(w.index, w.now, decoded).Outcome
}

func (w *simulation) runStep(n uint16) {
	w.now = w.now.Add(time.Duration(n%50) * 100 * time.Millisecond)
	if n%500 == 0 {
		w.now = w.now.Add(-time.Hour) // a new leader whose clock is behind
	}
	pick := int(n >> 4)
	switch n % 16 {
	case 0, 1, 2, 3:
		w.runRequest(fmt.Sprintf("k%d", pick%6))
	case 4:
		w.finishLate(fmt.Sprintf("k%d", pick%6))
	case 5:
		w.putEntry(pick)
	case 6:
		name := fmt.Sprintf("e%d", pick%3)
		w.apply(state.DeleteEntry{Name: name, Base: catalogue.AnyVersion, ChangeID: fmt.Sprint("d", w.index)})
	case 7, 8:
		w.apply(state.SubmitJob{Job: job.Job{ID: fmt.Sprint("j", w.index), Entry: "plans", Key: fmt.Sprint("jk", pick%20)}})
	case 9, 10:
		w.placeJob(pick)
	case 11, 12:
		w.endAttempt(pick)
	case 13:
		w.registerWorker(pick)
	case 14:
		if jobs := w.m.Jobs().Jobs(); len(jobs) > 0 {
			w.apply(state.CancelJob{ID: jobs[pick%len(jobs)].ID})
		}
	case 15:
		w.apply(state.RecordBurn{Source: "entry_1", Sequence: uint64(pick), Counts: []burn.Count{{Entry: "e1", Minute: 5, Good: 1}}})
	}
}

// runRequest plays the part of an agent that claims a request, runs the
// request and records the answer. The agent may crash between any two steps,
// and may send the claim twice.
func (w *simulation) runRequest(key string) {
	token := fmt.Sprint("t", w.index)
	begin := state.BeginClaim{Claim: claim.Claim{Entry: "e1", Key: key, Fingerprint: 7, Token: token}, Remaining: time.Second}
	o := w.apply(begin)
	if w.random.IntN(3) == 0 {
		o = w.apply(begin)
	}
	if o.Err != nil {
		return
	}
	if o.Claim.State == claim.Finished {
		if got := string(o.Claim.Answer.Body); got != w.firstAnswers[key] {
			w.failf("%s was answered %q, the first answer was %q", key, got, w.firstAnswers[key])
		}
		return
	}
	w.lastTokens[key] = token
	switch w.random.IntN(4) {
	case 0: // rejected by the target; the request did not run
		w.apply(state.ReleaseClaim{Entry: "e1", Key: key, Token: token})
		return
	case 1: // crashes before the request runs
		return
	}
	w.runsByKey[key]++
	if w.runsByKey[key] > 1 {
		w.failf("%s ran %d times", key, w.runsByKey[key])
	}
	if w.random.IntN(3) == 0 {
		return // crashes after the request ran
	}
	w.finishClaim(key, token)
}

func (w *simulation) finishClaim(key, token string) {
	answer := claim.Answer{Status: 200, Body: []byte(token), BodyComplete: true}
	if o := w.apply(state.FinishClaim{Entry: "e1", Key: key, Token: token, Answer: answer}); o.Err == nil && w.firstAnswers[key] == "" {
		w.firstAnswers[key] = token
	}
}

// finishLate records the answer of a run whose agent seemed to have crashed.
func (w *simulation) finishLate(key string) {
	if token := w.lastTokens[key]; token != "" && w.runsByKey[key] == 1 {
		w.finishClaim(key, token)
	}
}

func (w *simulation) putEntry(pick int) {
	s := spec(fmt.Sprintf("e%d", pick%3), catalogue.Service, 1+pick%5)
	s.Version = uint64(pick % 7)
	cmd := state.PutEntry{Spec: s, Base: catalogue.AnyVersion, ChangeID: fmt.Sprint("c", pick%40)}
	o := w.apply(cmd)
	if o.Err != nil || o.Entry == nil {
		return
	}
	if v := o.Entry.Version(); v < w.highestVersions[s.Name] && !o.Repeated {
		w.failf("%s went from version %d back to %d", s.Name, w.highestVersions[s.Name], v)
	}
	if current, ok := w.m.Catalogue().Entry(s.Name); ok {
		if current.Version() < w.highestVersions[s.Name] {
			w.failf("%s reverted to version %d", s.Name, current.Version())
		}
		w.highestVersions[s.Name] = max(w.highestVersions[s.Name], current.Version())
	}
}

func (w *simulation) registerWorker(pick int) {
	id := fmt.Sprintf("w%d", pick%3)
	incarnation := uint64(1 + pick/3%5)
	old, known := w.m.Workers().Worker(id)
	o := w.apply(state.RegisterWorker{Worker: worker.Worker{ID: id, Incarnation: incarnation, Targets: []string{"sample"}}})
	if known && incarnation < old.Incarnation && o.Err == nil {
		w.failf("%s: incarnation %d replaced %d", id, incarnation, old.Incarnation)
	}
	if known && incarnation > old.Incarnation {
		for _, j := range w.m.Jobs().Jobs() {
			if j.State != job.Running {
				delete(w.liveAttempts, j.ID)
			}
		}
	}
}

func (w *simulation) placeJob(pick int) {
	workers, queued := w.m.Workers().Workers(), w.m.Jobs().Queued()
	if len(workers) == 0 || len(queued) == 0 {
		return
	}
	wk, j := workers[pick%len(workers)], queued[pick%len(queued)]
	cmd := state.PlaceJob{ID: j.ID, Attempt: j.Attempt + 1, Worker: wk.ID, Incarnation: wk.Incarnation}
	for range 1 + pick%2 {
		o := w.apply(cmd)
		if o.Err != nil {
			continue
		}
		if w.liveAttempts[j.ID] != 0 {
			w.failf("%s runs as attempt %d and %d", j.ID, w.liveAttempts[j.ID], cmd.Attempt)
		}
		w.liveAttempts[j.ID] = cmd.Attempt
	}
}

func (w *simulation) endAttempt(pick int) {
	running := w.m.Jobs().Running()
	if len(running) == 0 {
		return
	}
	j := running[pick%len(running)]
	outcomes := []job.Outcome{
		job.Finished{Status: 200, Result: []byte(fmt.Sprint(j.ID, "/", j.Attempt))},
		job.AttemptFailed{Reason: "failed"},
		job.Evicted{Checkpoint: []byte("c")},
		job.Lost{},
		job.Stopped{},
	}
	attempt := j.Attempt - uint32(pick/8%2) // sometimes a past attempt
	o := w.apply(state.EndAttempt{ID: j.ID, Attempt: attempt, Outcome: outcomes[pick%len(outcomes)]})
	if attempt != j.Attempt && o.Err == nil {
		w.failf("%s: attempt %d ended while %d ran", j.ID, attempt, j.Attempt)
	}
	if o.Err != nil {
		return
	}
	delete(w.liveAttempts, j.ID)
	if o.Job.State != job.Done {
		return
	}
	if _, ok := w.results[j.ID]; ok {
		w.failf("%s has two results", j.ID)
	}
	w.results[j.ID] = string(o.Job.Result)
}

func (w *simulation) encodeState() []byte {
	data, err := wire.MarshalState(w.m.Contents())
	if err != nil {
		w.failf("encode the state: %v", err)
	}
	return data
}

func simulate(seed uint64, ops []uint16) string {
	w := newSimulation(seed)
	w.apply(state.PutEntry{Spec: spec("plans", catalogue.Batch, 1), Base: catalogue.AnyVersion})
	for _, n := range ops {
		w.runStep(n)
		if w.failure != "" {
			return w.failure
		}
	}
	return ""
}

// TestMachineInvariants applies random sequences of requests, jobs, workers and
// declarations, with crashes, resends and leader clocks that go back. It guards
// against a claimed request that runs twice, a job with two running attempts or
// two results, and an entry or worker that reverts to an older version.
func TestMachineInvariants(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(fuzzSeed)
	params.MinSuccessfulTests = 400
	props := gopter.NewProperties(params)
	props.Property("one run per request, one attempt per job, no older version", prop.ForAll(simulate, gen.UInt64(), gen.SliceOfN(250, gen.UInt16())))
	props.TestingRun(t)
}

// TestRestoredMachineMatchesOriginal guards against state that a snapshot
// omits or restores in another order: the original and the restored machine
// would then diverge on the commands that follow.
func TestRestoredMachineMatchesOriginal(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(fuzzSeed + 1)
	params.MinSuccessfulTests = 100
	props := gopter.NewProperties(params)
	props.Property("the restored machine has the same state", prop.ForAll(func(seed uint64, before, after []uint16) string {
		w := newSimulation(seed)
		w.apply(state.PutEntry{Spec: spec("plans", catalogue.Batch, 1), Base: catalogue.AnyVersion})
		for _, n := range before {
			w.runStep(n)
		}
		contents, err := wire.UnmarshalState(w.encodeState())
		if err != nil {
			return err.Error()
		}
		original, restored := w.m, state.Restore(contents)
		for i, n := range after {
			at := w.now.Add(time.Duration(n) * time.Second)
			cmd := state.SubmitJob{Job: job.Job{ID: fmt.Sprint("s", i), Entry: "plans", Key: fmt.Sprint("jk", n%20)}}
			a, b := original.Apply(w.index+uint64(i), at, cmd), restored.Apply(w.index+uint64(i), at, cmd)
			if fault.CodeOf(a.Outcome.Err) != fault.CodeOf(b.Outcome.Err) {
				return fmt.Sprintf("step %d: %v and %v", i, a.Outcome.Err, b.Outcome.Err)
			}
		}
		w.m = original
		want := w.encodeState()
		w.m = restored
		if !bytes.Equal(want, w.encodeState()) {
			return "the states differ"
		}
		return w.failure
	}, gen.UInt64(), gen.SliceOfN(150, gen.UInt16()), gen.SliceOfN(60, gen.UInt16())))
	props.TestingRun(t)
}

// TestLogTimeNeverDecreases guards against a log time that follows a new leader
// whose clock is behind that of its predecessor.
func TestLogTimeNeverDecreases(t *testing.T) {
	m := &state.Machine{}
	late, early := time.Unix(2000, 0), time.Unix(1000, 0)
	m.Apply(1, late, state.CancelJob{ID: "none"})
	m.Apply(2, early, state.CancelJob{ID: "none"})
	if !m.Now().Equal(late) {
		t.Errorf("the log time is %s, want %s", m.Now(), late)
	}
}
