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
// with a simple model that counts runs and records answers and versions.
type simulation struct {
	m               *state.Machine
	random          *rand.Rand
	now             time.Time
	index           uint64
	runsByKey       map[string]int    // number of runs of a claimed request, by key
	firstAnswers    map[string]string // first recorded answer, by key
	lastTokens      map[string]string // token of the last granted claim, by key
	runningAttempts map[string]uint32 // running attempt, by job
	results         map[string]string // result of a done job, by job
	highestVersions map[string]uint64 // highest version, by entry
	violation       string            // first violated invariant; empty if none
}

func newSimulation(seed uint64) *simulation {
	return &simulation{
		m: &state.Machine{}, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0).UTC(),
		runsByKey: make(map[string]int), firstAnswers: make(map[string]string), lastTokens: make(map[string]string),
		runningAttempts: make(map[string]uint32), results: make(map[string]string), highestVersions: make(map[string]uint64),
	}
}

func (sim *simulation) failf(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf(format, args...)
	}
}

// apply encodes and decodes a command, as the log does, and applies the result.
func (sim *simulation) apply(c state.Command) state.Outcome {
	data, err := wire.MarshalCommand(c)
	if err != nil {
		sim.failf("encode %T: %v", c, err)
	}
	decoded, err := wire.UnmarshalCommand(data)
	if err != nil {
		sim.failf("decode %T: %v", c, err)
		return state.Outcome{}
	}
	sim.index++
	return sim.m.Apply(sim.index, sim.now, decoded).Outcome
}

func (sim *simulation) runStep(n uint16) {
	sim.now = sim.now.Add(time.Duration(n%50) * 100 * time.Millisecond)
	if n%500 == 0 {
		sim.now = sim.now.Add(-time.Hour) // a new leader whose clock is behind
	}
	pick := int(n >> 4)
	switch n % 16 {
	case 0, 1, 2, 3:
		sim.runRequest(fmt.Sprintf("k%d", pick%6))
	case 4:
		sim.finishClaimLate(fmt.Sprintf("k%d", pick%6))
	case 5:
		sim.putEntry(pick)
	case 6:
		name := fmt.Sprintf("e%d", pick%3)
		sim.apply(state.DeleteEntry{Name: name, Base: catalogue.AnyVersion, ChangeID: fmt.Sprint("d", sim.index)})
	case 7, 8:
		sim.apply(state.SubmitJob{Job: job.Job{ID: fmt.Sprint("j", sim.index), Entry: "plans", Key: fmt.Sprint("jk", pick%20)}})
	case 9, 10:
		sim.placeJob(pick)
	case 11, 12:
		sim.endAttempt(pick)
	case 13:
		if pick%4 == 0 {
			sim.retireWorker(pick / 4)
			break
		}
		sim.registerWorker(pick)
	case 14:
		if jobs := sim.m.Jobs().Jobs(); len(jobs) > 0 {
			sim.apply(state.CancelJob{ID: jobs[pick%len(jobs)].ID})
		}
	case 15:
		switch zone := fmt.Sprintf("z%d", pick/8%3); pick % 8 {
		case 0, 1:
			sim.apply(state.StartEvacuation{Zone: zone})
			return
		case 2:
			sim.apply(state.FinishEvacuation{Zone: zone})
			return
		case 3:
			limit := int64(pick % 64)
			sim.apply(state.DropAnswers{ClaimsBefore: sim.m.Claims().AnswersBeyond(limit), JobsBefore: sim.m.Jobs().ResultsBeyond(limit)})
			return
		}
		sim.apply(state.RecordBurn{Source: "entry_1", Sequence: uint64(pick), Counts: []burn.Count{{Entry: "e1", Minute: 5, Good: 1}}})
	}
}

// runRequest simulates an agent that claims a request, runs the request and
// records the answer. The agent may crash between any two steps, and may send
// the claim twice.
func (sim *simulation) runRequest(key string) {
	token := fmt.Sprint("t", sim.index)
	begin := state.BeginClaim{Claim: claim.Claim{Entry: "e1", Key: key, Fingerprint: 7, Token: token}, Remaining: time.Second}
	o := sim.apply(begin)
	if sim.random.IntN(3) == 0 {
		o = sim.apply(begin)
	}
	if o.Err != nil {
		if sim.random.IntN(2) == 0 { // an agent that got no answer to its claim releases it
			sim.apply(state.ReleaseClaim{Entry: "e1", Key: key, Token: token})
		}
		return
	}
	if o.Claim.State == claim.Finished {
		if got := string(o.Claim.Answer.Body); o.Claim.Answer.BodyComplete && got != sim.firstAnswers[key] {
			sim.failf("%s was answered %q, the first answer was %q", key, got, sim.firstAnswers[key])
		}
		return
	}
	sim.lastTokens[key] = token
	switch sim.random.IntN(4) {
	case 0: // rejected by the target; the request did not run
		sim.apply(state.ReleaseClaim{Entry: "e1", Key: key, Token: token})
		return
	case 1: // crashes before the request runs
		return
	}
	sim.runsByKey[key]++
	if sim.runsByKey[key] > 1 {
		sim.failf("%s ran %d times", key, sim.runsByKey[key])
	}
	if sim.random.IntN(3) == 0 {
		return // crashes after the request ran
	}
	sim.finishClaim(key, token)
}

func (sim *simulation) finishClaim(key, token string) {
	answer := claim.Answer{Status: 200, Body: []byte(token), BodyComplete: true}
	if o := sim.apply(state.FinishClaim{Entry: "e1", Key: key, Token: token, Answer: answer}); o.Err == nil && sim.firstAnswers[key] == "" {
		sim.firstAnswers[key] = token
	}
}

// finishClaimLate records the answer of a run whose agent seemed to have crashed.
func (sim *simulation) finishClaimLate(key string) {
	if token := sim.lastTokens[key]; token != "" && sim.runsByKey[key] == 1 {
		sim.finishClaim(key, token)
	}
}

func (sim *simulation) putEntry(pick int) {
	s := spec(fmt.Sprintf("e%d", pick%3), catalogue.Service, 1+pick%5)
	s.Version = uint64(pick % 7)
	cmd := state.PutEntry{Spec: s, Base: catalogue.AnyVersion, ChangeID: fmt.Sprint("c", pick%40)}
	o := sim.apply(cmd)
	if o.Err != nil || o.Entry == nil {
		return
	}
	if v := o.Entry.Version(); v < sim.highestVersions[s.Name] && !o.Repeated {
		sim.failf("%s went from version %d back to %d", s.Name, sim.highestVersions[s.Name], v)
	}
	if current, ok := sim.m.Catalogue().Entry(s.Name); ok {
		if current.Version() < sim.highestVersions[s.Name] {
			sim.failf("%s reverted to version %d", s.Name, current.Version())
		}
		sim.highestVersions[s.Name] = max(sim.highestVersions[s.Name], current.Version())
	}
}

func (sim *simulation) registerWorker(pick int) {
	id := fmt.Sprintf("w%d", pick%3)
	incarnation := uint64(1 + pick/3%5)
	old, known := sim.m.Workers().Worker(id)
	o := sim.apply(state.RegisterWorker{Worker: worker.Worker{ID: id, AgentIncarnation: incarnation, Zone: "z" + id[1:], Targets: []string{"sample"}}})
	if known && incarnation < old.AgentIncarnation && o.Err == nil {
		sim.failf("%s: agent incarnation %d replaced %d", id, incarnation, old.AgentIncarnation)
	}
	if known && incarnation > old.AgentIncarnation {
		for _, j := range sim.m.Jobs().Jobs() {
			if j.State != job.Running {
				delete(sim.runningAttempts, j.ID)
			}
		}
	}
}

// retireWorker retires an agent incarnation, which may have been succeeded.
func (sim *simulation) retireWorker(pick int) {
	id := fmt.Sprintf("w%d", pick%3)
	incarnation := uint64(1 + pick/3%5)
	before := sim.m.Jobs().RunningOnWorker(id)
	o := sim.apply(state.RetireWorker{ID: id, AgentIncarnation: incarnation})
	for _, j := range before {
		after, _ := sim.m.Jobs().Job(j.ID)
		ended := after.State != job.Running
		if want := o.Err == nil && j.AgentIncarnation == incarnation; ended != want {
			sim.failf("%s on %s/%d ended: %t when %d was retired (%v)", j.ID, id, j.AgentIncarnation, ended, incarnation, o.Err)
		}
		if ended {
			delete(sim.runningAttempts, j.ID)
		}
	}
}

// checkWorkers checks that each running attempt belongs to the registered agent of its
// worker. Only that agent is told to stop it. It also checks that the workers of evacuated
// zones, and no others, count as such.
func (sim *simulation) checkWorkers() {
	for _, w := range sim.m.Workers().Workers() {
		if want := sim.m.Evacuations().IsEvacuated(w.Zone); w.Evacuated != want || want && w.AcceptsWork() {
			sim.failf("%s of zone %s is evacuated: %t, want %t", w.ID, w.Zone, w.Evacuated, want)
		}
	}
	for _, j := range sim.m.Jobs().Running() {
		if w, ok := sim.m.Workers().Worker(j.Worker); !ok || w.AgentIncarnation != j.AgentIncarnation {
			sim.failf("%s runs on %s/%d, registered is %d", j.ID, j.Worker, j.AgentIncarnation, w.AgentIncarnation)
		}
	}
}

func (sim *simulation) placeJob(pick int) {
	workers, queued := sim.m.Workers().Workers(), sim.m.Jobs().Queued()
	if len(workers) == 0 || len(queued) == 0 {
		return
	}
	wk, j := workers[pick%len(workers)], queued[pick%len(queued)]
	incarnation := wk.AgentIncarnation - uint64(pick/4%2) // sometimes of an earlier agent
	cmd := state.PlaceJob{ID: j.ID, Attempt: j.Attempt + 1, Worker: wk.ID, AgentIncarnation: incarnation}
	for range 1 + pick%2 {
		o := sim.apply(cmd)
		if o.Err != nil {
			continue
		}
		if wk.Evacuated {
			sim.failf("%s was placed on %s of an evacuated zone", j.ID, wk.ID)
		}
		if sim.runningAttempts[j.ID] != 0 {
			sim.failf("%s runs as attempt %d and %d", j.ID, sim.runningAttempts[j.ID], cmd.Attempt)
		}
		sim.runningAttempts[j.ID] = cmd.Attempt
	}
}

func (sim *simulation) endAttempt(pick int) {
	running := sim.m.Jobs().Running()
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
	o := sim.apply(state.EndAttempt{ID: j.ID, Attempt: attempt, Outcome: outcomes[pick%len(outcomes)]})
	if attempt != j.Attempt && o.Err == nil {
		sim.failf("%s: attempt %d ended while %d ran", j.ID, attempt, j.Attempt)
	}
	if o.Err != nil {
		return
	}
	delete(sim.runningAttempts, j.ID)
	if o.Job.State != job.Done {
		return
	}
	if _, ok := sim.results[j.ID]; ok {
		sim.failf("%s has two results", j.ID)
	}
	sim.results[j.ID] = string(o.Job.Result)
}

func (sim *simulation) encodeState() []byte {
	data, err := wire.MarshalState(sim.m.Contents())
	if err != nil {
		sim.failf("encode the state: %v", err)
	}
	return data
}

// simulate applies the operations to a new machine and returns the first
// violated invariant, or "".
func simulate(seed uint64, ops []uint16) string {
	sim := newSimulation(seed)
	sim.apply(state.PutEntry{Spec: spec("plans", catalogue.Batch, 1), Base: catalogue.AnyVersion})
	for _, n := range ops {
		sim.runStep(n)
		sim.checkWorkers()
		if sim.violation != "" {
			return sim.violation
		}
	}
	return ""
}

// TestMachineInvariants applies random sequences of requests, jobs, workers and
// declarations, with crashes, resends and leader clocks that go back. It guards
// against a claimed request that runs twice, a job with two running attempts or
// two results, an attempt that outlasts its agent's registration or is ended with another
// agent, and an entry or worker that reverts to an older version.
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
		sim := newSimulation(seed)
		sim.apply(state.PutEntry{Spec: spec("plans", catalogue.Batch, 1), Base: catalogue.AnyVersion})
		for _, n := range before {
			sim.runStep(n)
		}
		contents, err := wire.UnmarshalState(sim.encodeState())
		if err != nil {
			return err.Error()
		}
		original, restored := sim.m, state.Restore(contents)
		for i, n := range after {
			at := sim.now.Add(time.Duration(n) * time.Second)
			cmd := state.SubmitJob{Job: job.Job{ID: fmt.Sprint("s", i), Entry: "plans", Key: fmt.Sprint("jk", n%20)}}
			a, b := original.Apply(sim.index+uint64(i), at, cmd), restored.Apply(sim.index+uint64(i), at, cmd)
			if fault.CodeOf(a.Outcome.Err) != fault.CodeOf(b.Outcome.Err) {
				return fmt.Sprintf("step %d: %v and %v", i, a.Outcome.Err, b.Outcome.Err)
			}
		}
		sim.m = original
		want := sim.encodeState()
		sim.m = restored
		if !bytes.Equal(want, sim.encodeState()) {
			return "the states differ"
		}
		return sim.violation
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
