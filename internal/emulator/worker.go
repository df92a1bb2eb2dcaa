package emulator

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/interference"
	"github.com/gentianrail/gentianrail/pacing"
	"github.com/gentianrail/gentianrail/submission"
)

// Constants of the workers.
const (
	_idleTailPercent  = 20 // tail latency of an idle service task, in percent of its target
	_maxPercent       = 2000
	_backlogPercent   = 400                    // percent of the target that a backlog of one second adds
	_statsPeriod      = 500 * time.Millisecond // that usage statistics cover
	_listInterval     = 250 * time.Millisecond
	_reportInterval   = 400 * time.Millisecond
	_paceDelay        = 100 * time.Millisecond
	_restoreTime      = 600 * time.Millisecond // to resume from a checkpoint
	_checkpointPeriod = 2 * time.Second        // of work between two checkpoints
	_fullShare        = 100
	_latencyNoise     = 0.05 // relative standard deviation of a listed tail latency
)

// pairs holds the true interference coefficients.
type pairs map[interference.Pair]float64

// drawPairs draws the resources that images use and are sensitive to.
func drawPairs(im *Images, rnd *rand.Rand, serviceImages, batchImages []string) pairs {
	sensitive := make([][]bool, len(serviceImages))
	for i := range sensitive {
		sensitive[i] = make([]bool, im.Resources)
		sensitive[i][rnd.IntN(im.Resources)] = true
		if rnd.IntN(4) == 0 {
			sensitive[i][rnd.IntN(im.Resources)] = true
		}
	}
	out := make(pairs)
	for _, b := range batchImages {
		used, strength := -1, 0.0
		if rnd.Float64() < im.HeavyShare {
			used, strength = rnd.IntN(im.Resources), im.Strength*(0.6+0.8*rnd.Float64())
		}
		for i, s := range serviceImages {
			c := 0.6 * rnd.Float64() * rnd.Float64()
			if used >= 0 && sensitive[i][used] {
				c += strength * (0.8 + 0.4*rnd.Float64())
			}
			out[interference.Pair{Batch: b, Service: s}] = c
		}
	}
	return out
}

// run is a task that runs on a worker.
type run struct {
	id       submission.RunID
	request  *request
	step     *submission.Step
	worker   *worker
	began    time.Duration // when it starts to work
	done     time.Duration // work done at full speed, including the checkpoint
	saved    time.Duration // work of the latest checkpoint
	failAt   time.Duration // work at which the run fails; 0 for never
	stopAt   time.Duration // when an ordered stop takes effect; 0 for none
	share    int           // percent, in force
	newShare int           // percent, in force from paceAt on
	paceAt   time.Duration
	percent  float64       // tail latency of a service task, in percent of the target
	backlog  float64       // of a service task, in seconds
	samples  []float64     // tail latencies of the latest _statsPeriod
	used     float64       // CPU in use, thousandths of a core
	caused   bool          // a service task misses its target because of batch tasks
	missed   time.Duration // for which it has missed its target on end because of batch tasks
}

// worker is one worker of the pool.
type worker struct {
	index       int
	incarnation string
	life        int
	rack        string
	capacity    submission.Resources
	lostUntil   time.Duration
	before      []string           // ended incarnations whose runs are not yet recorded as lost
	endsAt      time.Duration      // when they are recorded
	lateUntil   time.Duration      // when late orders arrive
	late        []submission.Start // orders on their way
	runs        []*run
	pacer       pacing.Pacer
	nextList    time.Duration
	nextReport  time.Duration
	latencies   []interference.TailLatency // as reported last
	loads       []interference.Load
	sent        interference.Coefficients // as the agent knows them
}

// demand returns a service's demand at a time.
func (r *request) demand(s *Services, at time.Duration) float64 {
	return s.Demand * (1 + s.Swing*math.Sin(2*math.Pi*at.Seconds()/s.SwingPeriod.Seconds()+r.phase))
}

// step advances the worker's runs by dt up to the time now.
func (w *worker) step(s *Scenario, truth pairs, now, dt time.Duration) {
	idle := float64(w.capacity.CPU)
	wanted := 0.0
	for _, r := range w.runs {
		if now >= r.paceAt {
			r.share = r.newShare
		}
		r.used = 0
		if now < r.began {
			continue
		}
		switch {
		case r.step.LongRunning:
			r.used = float64(r.step.Needs.CPU) * r.request.demand(&s.Services, now)
		case r.step.UnreservedCPU:
			wanted += float64(r.step.Needs.CPU) * float64(r.share) / _fullShare
			continue
		default:
			r.used = float64(r.step.Needs.CPU)
		}
		idle -= r.used
	}
	rate := 1.0
	if wanted > 0 {
		rate = min(max(idle, 0)/wanted, 1)
	}
	for _, r := range w.runs {
		if now < r.began {
			continue
		}
		switch {
		case r.step.LongRunning:
		case r.step.UnreservedCPU:
			share := rate * float64(r.share) / _fullShare
			r.used = float64(r.step.Needs.CPU) * share
			r.work(time.Duration(share * float64(dt)))
		default:
			r.work(dt)
		}
	}
	w.updateLatencies(s, truth, now, dt)
}

func (r *run) work(d time.Duration) {
	r.done += d
	if r.step.Checkpointing {
		r.saved = max(r.saved, r.done/_checkpointPeriod*_checkpointPeriod)
	}
}

// updateLatencies updates the tail latencies of the service tasks.
func (w *worker) updateLatencies(s *Scenario, truth pairs, now, dt time.Duration) {
	for _, r := range w.runs {
		if !r.step.LongRunning || now < r.began {
			continue
		}
		pressure := 0.0
		for _, b := range w.runs {
			if b.step.Image != "" && !b.step.LongRunning {
				pressure += truth[interference.Pair{Batch: b.step.Image, Service: r.step.Image}] * b.used / float64(w.capacity.CPU)
			}
		}
		demand := r.request.demand(&s.Services, now)
		utilization := demand * (1 + pressure)
		r.backlog = max(r.backlog+(utilization-1)*dt.Seconds(), 0)
		r.percent = min(_idleTailPercent/(1-min(utilization, 0.97))+_backlogPercent*r.backlog, _maxPercent)
		r.caused = r.percent > 100 && (pressure > 0 || r.backlog > 0)
		r.samples = append(r.samples, r.percent)
		if n := int(_statsPeriod / dt); len(r.samples) > n {
			r.samples = r.samples[len(r.samples)-n:]
		}
	}
}

// measured returns the mean tail latency of the statistics period, in percent of
// the target.
func (r *run) measured() float64 {
	if len(r.samples) == 0 {
		return 0
	}
	sum := 0.0
	for _, v := range r.samples {
		sum += v
	}
	return sum / float64(len(r.samples))
}

// list lets the agent read the usage statistics and pace the batch tasks.
func (w *worker) list(rnd *rand.Rand, now time.Duration, at time.Time) {
	tasks := make([]pacing.Task, 0, len(w.runs))
	listed := make([]*run, 0, len(w.runs))
	stats := usageStats{capacity: float64(w.capacity.CPU)}
	for _, r := range w.runs {
		if now < r.began {
			continue
		}
		t := pacing.Task{IsService: r.step.IsService(), IsBatch: r.step.IsBatch(), Image: r.step.Image, TailTarget: r.step.TailTarget, Share: r.newShare}
		switch {
		case t.IsService:
			percent := r.measured() * (1 + _latencyNoise*rnd.NormFloat64())
			t.Measurement = int64(percent * float64(r.step.TailTarget.Milliseconds()) / 100)
			stats.addLatency(r, percent)
		case t.IsBatch:
			t.Measurement = int64(r.used)
			stats.addLoad(r)
		}
		tasks, listed = append(tasks, t), append(listed, r)
	}
	for _, d := range w.pacer.Decide(at, tasks, w.sent) {
		listed[d.Index].newShare, listed[d.Index].paceAt = d.Share, now+_paceDelay
	}
	w.latencies, w.loads = stats.latencies, stats.loads
	for i, n := range stats.counts {
		w.latencies[i].Percent /= n
	}
}

// usageStats sums up a listing by step and by image.
type usageStats struct {
	capacity  float64
	latencies []interference.TailLatency // with the sum of the percents
	counts    []int                      // tasks of each of the latencies
	loads     []interference.Load
}

func (u *usageStats) addLatency(r *run, percent float64) {
	i := slices.IndexFunc(u.latencies, func(l interference.TailLatency) bool { return l.Step == r.id.Task.Submission })
	if i < 0 {
		i = len(u.latencies)
		u.latencies, u.counts = append(u.latencies, interference.TailLatency{Step: r.id.Task.Submission, Image: r.step.Image}), append(u.counts, 0)
	}
	u.latencies[i].Percent += int(percent)
	u.counts[i]++
}

func (u *usageStats) addLoad(r *run) {
	i := slices.IndexFunc(u.loads, func(l interference.Load) bool { return l.Image == r.step.Image })
	if i < 0 {
		i = len(u.loads)
		u.loads = append(u.loads, interference.Load{Image: r.step.Image})
	}
	u.loads[i].Share += r.used / u.capacity
}
