package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/submission"
)

// _simRound is the time between the scheduling rounds of a rackSim.
const _simRound = 50 * time.Millisecond

// rackSim plays work that prefers racks against a scheduler, in virtual time. A run takes
// penalty times as long away from the rack of its data, or if the runs of its rack-local
// step are on several racks when it starts.
type rackSim struct {
	rnd       *rand.Rand
	s         *Scheduler
	store     submission.Store
	workers   []Worker
	down      map[string]bool    // racks without workers
	slow      map[string]float64 // factor by which runs on a rack take longer
	penalty   float64
	now       time.Time
	work      map[string][]time.Duration // true run time of a task on its rack, by submission and step
	ends      map[submission.RunID]time.Time
	workerOf  map[submission.RunID]string
	orderedAt map[submission.RunID]time.Time
	started   int
	remote    int                         // runs away from their rack
	cpuTime   float64                     // core-seconds that runs reserve
	latest    []submission.Start          // of the latest round
	onSubmit  func(submission.Submission) // called before each submission; nil for none

	forecast   Forecast // of the submission forecastOf
	forecastOf string
}

func newRackSim(seed uint64, workers []Worker, penalty float64) *rackSim {
	m := &rackSim{
		rnd: rand.New(rand.NewPCG(seed, 11)), workers: workers, penalty: penalty, now: testNow, s: &Scheduler{},
		down: make(map[string]bool), slow: make(map[string]float64), work: make(map[string][]time.Duration), ends: make(map[submission.RunID]time.Time),
		workerOf: make(map[submission.RunID]string), orderedAt: make(map[submission.RunID]time.Time),
	}
	m.s.SetRemotePenalty(penalty)
	m.s.setWorkers(&m.store, workers)
	return m
}

// rackWorkers returns racks of workers, in which the sizes repeat.
func rackWorkers(racks, perRack int, cores ...int64) []Worker {
	var out []Worker
	for i := range racks * perRack {
		cpu := 1000 * cores[i%len(cores)]
		out = append(out, Worker{
			Incarnation: fmt.Sprintf("w%04d", i), Service: "s", Rack: fmt.Sprint("r", i/perRack), Labels: []string{"a"},
			Capacity: submission.Resources{CPU: cpu, Memory: 4 * cpu}, Schedulable: true,
		})
	}
	return out
}

// submit submits steps whose true run times differ from the declared estimates by a factor
// with the given deviation.
func (m *rackSim) submit(id string, priority int, slack float64, base time.Duration, deviation float64, steps ...submission.Step) {
	work := make([]time.Duration, len(steps))
	for i := range steps {
		work[i] = time.Duration(float64(steps[i].Estimate) * math.Exp(deviation*m.rnd.NormFloat64()))
	}
	m.work[id] = work
	sub := submission.Submission{
		Spec:    submission.Spec{ID: id, Queue: fmt.Sprint("q", priority), Steps: steps},
		Service: "s", Priority: priority, MaxAttempts: 3, Slack: slack, BaseObjective: base,
	}
	if m.onSubmit != nil {
		m.onSubmit(sub)
	}
	m.store.Submit(sub, m.now)
}

// endRuns records the runs that have ended, those of a worker that is gone as lost.
func (m *rackSim) endRuns(lost func(incarnation string) bool) {
	var ended []submission.RunID
	for id, at := range m.ends {
		if !at.After(m.now) || lost(m.workerOf[id]) {
			ended = append(ended, id)
		}
	}
	slices.SortFunc(ended, compareRuns)
	for _, id := range ended {
		e := submission.End{Run: id, Worker: m.workerOf[id], Reason: submission.Done}
		if lost(e.Worker) {
			e.Reason = submission.Lost
		}
		m.s.recordEnd(&m.store, m.now, e, m.now.Sub(m.orderedAt[id]))
		delete(m.ends, id)
		// The other members of a gang do not go on alone.
		if s, ok := m.store.Submission(id.Task.Submission); ok && e.Reason == submission.Lost && s.Steps[id.Task.Step].Gang {
			for other := range m.ends {
				if t := other.Task; t.Submission == id.Task.Submission && t.Step == id.Task.Step {
					m.ends[other] = m.now
				}
			}
		}
	}
}

// round runs a scheduling round and starts its runs.
func (m *rackSim) round() []submission.Start {
	starts := m.store.Start(m.s.Starts(clocksAt(m.now), &m.store), m.now)
	for _, st := range starts {
		m.s.RecordStart(m.now, &m.store, st)
	}
	for _, st := range starts {
		m.start(st)
	}
	m.latest = starts
	return starts
}

func (m *rackSim) start(st submission.Start) {
	sub, _ := m.store.Submission(st.Run.Task.Submission)
	step, rack := &sub.Steps[st.Run.Task.Step], m.rackOf(st.Worker)
	remote := step.DataRack != "" && step.DataRack != rack
	if step.RackLocal {
		for _, t := range sub.StepRecords[0][st.Run.Task.Step].Tasks {
			for _, r := range t.Runs {
				remote = remote || m.rackOf(r.Worker) != rack
			}
		}
	}
	took := float64(step.Estimate)
	if work := m.work[sub.ID]; work != nil {
		took = float64(work[st.Run.Task.Step])
	}
	took *= max(m.slow[rack], 1)
	m.started++
	if remote {
		m.remote++
		took *= m.penalty
	}
	m.workerOf[st.Run], m.orderedAt[st.Run] = st.Worker, m.now
	m.ends[st.Run] = testNow.Add(1000 * time.Hour)
	if !step.LongRunning {
		m.ends[st.Run] = m.now.Add(time.Duration(took))
		m.cpuTime += float64(step.Needs.CPU) / 1000 * took / float64(time.Second)
	}
}

func (m *rackSim) rackOf(incarnation string) string {
	i := slices.IndexFunc(m.workers, func(w Worker) bool { return w.Incarnation == incarnation })
	return m.workers[i].Rack
}
