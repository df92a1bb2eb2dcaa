package controller

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/internal/runner"
	"github.com/gentianrail/gentianrail/replica"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/submission"
)

var (
	_seeds     = flag.Uint64("seeds", 10, "seeds of the test that plays faults beside running tasks")
	_soakTime  = flag.Duration("soak-time", 20*time.Second, "time that each of them plays")
	_unheard   = flag.Bool("unheard", false, "let late calls be carried out by an incarnation that no agent has sent a token yet")
	_firstSeed = flag.Uint64("first-seed", 1, "first of these seeds")
)

const _soakAtOnce = 40 // groups that play at the same time

// TestTaskRunsOnceBesideFaults guards against two runs of a task at the same time, and
// against a start after a recorded end, whatever happens to workers, agents and leaders.
func TestTaskRunsOnceBesideFaults(t *testing.T) {
	t.Parallel()
	slots := make(chan struct{}, _soakAtOnce)
	var groups sync.WaitGroup
	for seed := *_firstSeed; seed < *_firstSeed+*_seeds; seed++ {
		slots <- struct{}{}
		dir := t.TempDir()
		groups.Go(func() {
			defer func() { <-slots }()
			s := newSoak(seed, dir)
			s.play(*_soakTime)
			t.Logf("seed %d: %d starts of %d tasks, %d ends acknowledged as done", seed, s.startCount(), len(s.starts), len(s.doneEnds))
			if s.startCount() == 0 {
				t.Errorf("seed %d: no task was started", seed)
			}
			for _, v := range s.violations[:min(len(s.violations), 3)] {
				t.Errorf("seed %d: %s: %s", seed, v.cause, v.text)
			}
		})
	}
	groups.Wait()
}

// playAgent brings faults upon the agent.
func (a *soakAgent) playAgent(rnd *rand.Rand, sleep func(time.Duration) bool) {
	for sleep(a.calm * between(rnd, time.Second, 8*time.Second)) {
		switch k := rnd.IntN(12); {
		case k < 4:
			a.replace(between(rnd, 10*time.Millisecond, time.Second), sleep)
		case k < 7:
			a.hold(&a.frozen, "is frozen", between(rnd, time.Second, 6*time.Second), sleep)
		case k < 8:
			a.hold(&a.cutOff, "is cut off", between(rnd, time.Second, 6*time.Second), sleep)
		case k < 9:
			a.note("%s agent's stream breaks", a.worker.machine)
			a.mu.Lock()
			close(a.broken)
			a.broken = make(chan struct{})
			a.mu.Unlock()
		case k < 10: // killed while it is frozen
			var frozen sync.WaitGroup
			frozen.Go(func() { a.hold(&a.frozen, "is frozen", between(rnd, 100*time.Millisecond, 3*time.Second), sleep) })
			sleep(a.calm * 50 * time.Millisecond)
			a.stop()
			frozen.Wait()
			a.replace(between(rnd, 10*time.Millisecond, time.Second), sleep)
		default:
			a.replace(between(rnd, 4*time.Second, 12*time.Second), sleep)
		}
	}
}

// replace stops the agent and starts the next one after d.
func (a *soakAgent) replace(d time.Duration, sleep func(time.Duration) bool) {
	a.acting.Lock()
	defer a.acting.Unlock()
	a.stop()
	sleep(d)
	a.start()
}

// confuse has many calls carried out late or left without an answer while the agent is
// lost, the worker starts again, or both.
func (a *soakAgent) confuse(rnd *rand.Rand, sleep func(time.Duration) bool) {
	w := a.worker
	lasts, drains := between(rnd, 500*time.Millisecond, 4*time.Second), rnd.IntN(5) == 0
	w.mu.Lock()
	w.logf("%s leaves calls unanswered for %s, drains %t", w.name(), lasts, drains)
	w.odds, w.oddUntil, w.draining = 25+rnd.IntN(30), time.Now().Add(lasts), drains
	if rnd.IntN(3) == 0 {
		w.sickUntil = w.oddUntil
	}
	w.mu.Unlock()
	sleep(between(rnd, 50*time.Millisecond, time.Second))
	away := between(rnd, 10*time.Millisecond, 300*time.Millisecond)
	if rnd.IntN(2) == 0 {
		away = between(rnd, time.Second, 7*time.Second)
	}
	var losing sync.WaitGroup
	switch rnd.IntN(4) {
	case 0:
		losing.Go(func() { a.hold(&a.frozen, "is frozen", away, sleep) })
	case 1, 2:
		losing.Go(func() { a.replace(away, sleep) })
	}
	if rnd.IntN(3) > 0 {
		sleep(between(rnd, time.Millisecond, 500*time.Millisecond))
		a.restartWorker(rnd, true, sleep)
	}
	losing.Wait()
	w.mu.Lock()
	w.draining = false
	w.mu.Unlock()
}

// restartWorker lets the worker crash and return, under an identifier that it had or a new
// one.
func (a *soakAgent) restartWorker(rnd *rand.Rand, sameID bool, sleep func(time.Duration) bool) {
	w := a.worker
	id := fmt.Sprintf("i-%s-%d", w.machine, len(w.ids))
	if sameID {
		id = w.ids[max(0, len(w.ids)-1-rnd.IntN(5)/3)]
	}
	w.mu.Lock()
	w.silent = rnd.IntN(3) == 0
	w.halt("crashes")
	w.mu.Unlock()
	if rnd.IntN(3) > 0 {
		sleep(between(rnd, time.Millisecond, 300*time.Millisecond))
	} else {
		sleep(between(rnd, 300*time.Millisecond, 6*time.Second))
	}
	w.mu.Lock()
	w.boot(id)
	w.mu.Unlock()
}

// drainWorker lets the worker leave, and another one come.
func (a *soakAgent) drainWorker(rnd *rand.Rand, sleep func(time.Duration) bool) {
	w := a.worker
	w.mu.Lock()
	w.draining = true
	w.logf("%s drains", w.name())
	incarnation := runner.Incarnation{ID: w.id(), StartTimeMS: w.startedMS}
	w.mu.Unlock()
	sleep(between(rnd, 2*time.Second, 4*time.Second))
	w.mu.Lock()
	w.halt("leaves")
	w.mu.Unlock()
	a.tell(func(r *runner.Runner) { r.HandleDeparture(incarnation) })
	sleep(between(rnd, 100*time.Millisecond, 2*time.Second))
	w.mu.Lock()
	w.boot(fmt.Sprintf("i-%s-%d", w.machine, len(w.ids)))
	w.mu.Unlock()
}

// between draws a duration.
func between(rnd *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rnd.Int64N(int64(high-low)))
}

// playWorker brings faults upon the worker.
func (a *soakAgent) playWorker(rnd *rand.Rand, sleep func(time.Duration) bool) {
	w := a.worker
	for sleep(a.calm * between(rnd, 300*time.Millisecond, 3*time.Second)) {
		until := time.Now().Add(between(rnd, 500*time.Millisecond, 5*time.Second))
		switch k := rnd.IntN(24); {
		case k < 10:
			a.confuse(rnd, sleep)
		case k < 14:
			a.restartWorker(rnd, true, sleep)
		case k < 16:
			a.restartWorker(rnd, false, sleep)
		case k < 18:
			a.drainWorker(rnd, sleep)
		default:
			w.mu.Lock()
			switch {
			case k < 19:
				w.logf("%s hangs for a while", w.name())
				w.hungUntil = until
			case k < 20:
				w.sickUntil = until
			default:
				w.logf("%s is slow to carry out calls for a while", w.name())
				w.odds, w.oddUntil = 10+rnd.IntN(40), until
			}
			w.mu.Unlock()
		}
	}
}

// playLeader changes the leader now and then.
func (s *soak) playLeader(rnd *rand.Rand, sleep func(time.Duration) bool) {
	for sleep(s.calm * between(rnd, 2*time.Second, 12*time.Second)) {
		n := rnd.IntN(len(s.members))
		id := s.members[n].ID
		pause := between(rnd, 10*time.Millisecond, 2*time.Second)
		s.groupMu.Lock()
		nodes := maps.Clone(s.nodes)
		s.groupMu.Unlock()
		for i, m := range s.members {
			leads := false
			_ = nodes[m.ID].core.Do(context.Background(), func(c *Core, _ time.Time) { leads = c.replica.Role() == replica.Leader })
			if leads {
				n, id = i, m.ID
			}
		}
		switch rnd.IntN(3) {
		case 0:
			s.note("controller %s restarts", id)
			s.stopNode(id)
			sleep(pause)
			s.startNode(n)
		case 1:
			s.note("controller %s is cut off", id)
			s.groupMu.Lock()
			s.cut = id
			s.groupMu.Unlock()
			sleep(pause + time.Second)
			s.groupMu.Lock()
			s.cut = ""
			s.groupMu.Unlock()
		default:
			s.note("controller %s hands over", id)
			_ = nodes[id].core.Do(context.Background(), func(c *Core, now time.Time) { _ = c.replica.TransferLeadership(now) })
		}
	}
}

// submit submits tasks and cancels some of them.
func (s *soak) submit(ctx context.Context, rnd *rand.Rand, sleep func(time.Duration) bool) {
	addresses := make([]string, 0, len(s.members))
	for _, m := range s.members {
		addresses = append(addresses, m.Address)
	}
	client := control.NewClient(addresses)
	defer client.Close()
	propose := func(cmd state.Command) {
		for ctx.Err() == nil {
			callCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
			_, err := client.Propose(callCtx, cmd)
			cancel()
			if err == nil {
				return
			}
			sleep(50 * time.Millisecond)
		}
	}
	propose(state.ReplaceQueues{Table: testQueues()})
	var cancels sync.WaitGroup
	defer cancels.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		spec := submission.Spec{ID: fmt.Sprintf("s%d", n), Queue: "q"}
		lasts := n%8 == 3
		if lasts {
			spec.Text = _modelLongText
		}
		for step := range 1 + rnd.IntN(2) {
			if lasts && step > 0 {
				break
			}
			st := submission.Step{
				Count: 1 + rnd.IntN(8), Needs: submission.Resources{CPU: _modelTaskCPU, Memory: 1}, Estimate: time.Second, LongRunning: lasts,
			}
			if lasts {
				st.Count = 1 + rnd.IntN(3)
			}
			if step > 0 {
				st.DependsOn = []int{0}
			}
			spec.Steps = append(spec.Steps, st)
		}
		propose(state.Submit{Submission: submission.Submission{Spec: spec}})
		if lasts || rnd.IntN(8) == 0 {
			after := between(rnd, 0, 3*time.Second)
			if lasts {
				after *= 6
			}
			cancels.Go(func() {
				if sleep(after) {
					propose(state.CancelSubmission{ID: spec.ID})
				}
			})
		}
		sleep(between(rnd, 100*time.Millisecond, 600*time.Millisecond))
	}
}

// play plays load and faults for a time and stops the group.
func (s *soak) play(d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	sleep := func(d time.Duration) bool { return clock.Sleep(ctx, d) }
	var accepting sync.WaitGroup
	for n := range s.members {
		s.startNode(n)
		accepting.Go(func() { s.accept(n) })
	}
	for _, a := range s.agents {
		a.worker.mu.Lock()
		a.worker.boot("i-" + a.worker.machine)
		a.worker.mu.Unlock()
		a.start()
	}
	var playing sync.WaitGroup
	begin := func(stream uint64, f func(*rand.Rand)) {
		playing.Go(func() { f(rand.New(rand.NewPCG(s.seed, 100+stream))) })
	}
	begin(0, func(rnd *rand.Rand) { s.submit(ctx, rnd, sleep) })
	begin(1, func(rnd *rand.Rand) { s.playLeader(rnd, sleep) })
	if s.playMore != nil {
		begin(99, func(rnd *rand.Rand) { s.playMore(rnd, sleep) })
	}
	if s.pressed() {
		begin(98, func(rnd *rand.Rand) { s.press(ctx, rnd, sleep) })
	}
	for i, a := range s.agents {
		playing.Go(func() { a.announce(sleep) })
		begin(uint64(2+2*i), func(rnd *rand.Rand) { a.playAgent(rnd, sleep) })
		begin(uint64(3+2*i), func(rnd *rand.Rand) { a.playWorker(rnd, sleep) })
	}
	playing.Wait()
	for _, a := range s.agents {
		a.stop()
	}
	for _, m := range s.members {
		s.stopNode(m.ID)
	}
	for _, l := range s.listeners {
		_ = l.Close()
	}
	accepting.Wait()
	close(s.closing)
	s.pending.Wait()
}
