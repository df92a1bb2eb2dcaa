package disk_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/evacuation"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/queue"
	"github.com/gentianrail/gentianrail/replica"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/submission"
)

// proposed is a command in the log that is not applied yet.
type proposed struct {
	term uint64
	cmd  state.Command
}

// shown is what callers, the operator and workers have been told.
type shown struct {
	version   uint64
	submitted map[string]bool
	cancelled map[string]bool
	completed map[string]bool
	ended     map[submission.RunID]bool
	zones     map[string]zoneOrder // latest acknowledged order of each zone
}

// zoneOrder is an operator's order of an availability zone.
type zoneOrder struct {
	evacuated bool
	revision  uint64
}

func (g *lostDisksGroup) apply(p *process, e replica.Entry) {
	content := fmt.Sprintf("%d/%d/%x", e.Term, e.Kind, e.Data)
	if old, ok := g.committed[e.Index]; ok && old != content {
		g.failf("%s applied another entry at index %d than others", p.id, e.Index)
	}
	g.committed[e.Index] = content
	p.lastApplied = e
	var outcome state.Outcome
	switch e.Kind {
	case replica.KindMembers:
		p.members = e.Members
	case replica.KindCommand:
		cmd, err := wire.UnmarshalCommand(e.Data)
		if err != nil {
			panic(err)
		}
		outcome = p.machine.Apply(e.Index, e.Time, cmd).Outcome
	}
	c, ok := p.pending[e.Index]
	if !ok {
		return
	}
	delete(p.pending, e.Index)
	if c.term == e.Term {
		g.acknowledge(p, c.term, c.cmd, outcome)
	}
}

// acknowledge tells the proposer of a command that it has taken effect.
func (g *lostDisksGroup) acknowledge(p *process, term uint64, cmd state.Command, o state.Outcome) {
	if o.Err != nil {
		g.failf("%T was rejected: %v", cmd, o.Err)
	}
	g.acks++
	switch cmd := cmd.(type) {
	case state.ReplaceQueues:
		g.shown.version = max(g.shown.version, cmd.Table.Version)
	case state.Submit:
		g.shown.submitted[cmd.Submission.ID] = true
	case state.CancelSubmission:
		g.shown.cancelled[cmd.ID] = true
	case state.StartRuns:
		if p.replica.Role() == replica.Leader && term == p.replica.Term() {
			g.order(p, o.Starts)
		}
	case state.EndRuns:
		for _, e := range cmd.Ends {
			g.shown.ended[e.Run] = true
		}
	case state.StartEvacuation:
		g.shown.zones[cmd.Zone] = zoneOrder{evacuated: true, revision: o.Revision}
	case state.FinishEvacuation:
		g.shown.zones[cmd.Zone] = zoneOrder{revision: o.Revision}
	}
	if g.armed {
		g.struck = p
	}
}

// order checks the orders that a leader sends to workers.
func (g *lostDisksGroup) order(p *process, starts []submission.Start) {
	for _, st := range starts {
		if worker, ok := g.ordered[st.Run]; ok {
			g.failf("run %v was ordered on %s and on %s", st.Run, worker, st.Worker)
		}
		g.ordered[st.Run] = st.Worker
	}
	term := p.replica.Term()
	if term < g.orderTerm || term == g.orderTerm && g.orderedBy != p {
		g.failf("%s sends orders of term %d after those of term %d", p.id, term, g.orderTerm)
	}
	g.orderTerm, g.orderedBy = term, p
}

// read reads all that was acknowledged, at a leader that may answer.
func (g *lostDisksGroup) read(p *process) {
	if v := p.machine.Queues().Version; v < g.shown.version {
		g.failf("%s shows version %d, %d was acknowledged", p.id, v, g.shown.version)
	}
	for name, shown := range g.shown.zones {
		zones := p.machine.Evacuations()
		i := slices.IndexFunc(zones.Zones(), func(z evacuation.Zone) bool { return z.Name == name })
		if i < 0 || zones.IsEvacuated(name) != shown.evacuated && zones.Zones()[i].Revision <= shown.revision {
			g.failf("%s shows the zones %v, the order %+v of zone %s was acknowledged", p.id, zones.Zones(), shown, name)
		}
	}
	store := p.machine.Submissions()
	for id := range g.shown.submitted {
		s, ok := store.Submission(id)
		switch {
		case !ok:
			g.failf("%s does not know %s, which was accepted", p.id, id)
		case g.shown.cancelled[id] && !s.State.Ended():
			g.failf("%s shows %s as %s, its cancellation was acknowledged", p.id, id, s.State)
		case g.shown.completed[id] && s.State != submission.Completed:
			g.failf("%s shows %s as %s, it was shown as completed", p.id, id, s.State)
		case s.State == submission.Completed && !g.shown.completed[id]:
			g.shown.completed[id] = true
			if g.armed {
				g.struck = p
			}
		}
	}
	for run := range g.shown.ended {
		if s, ok := store.Submission(run.Task.Submission); ok && !s.Task(run.Task).Done {
			g.failf("%s does not know that %v is done, its end was taken note of", p.id, run)
		}
	}
}

// propose proposes a random command.
func (g *lostDisksGroup) propose(p *process) {
	store := p.machine.Submissions()
	var cmd state.Command
	g.commands++
	unended := store.Unended()
	var s *submission.Submission
	if len(unended) > 0 {
		s = unended[g.rnd.IntN(len(unended))]
	}
	switch n := g.rnd.IntN(11); {
	case n == 0 || p.machine.Queues().Version == 0:
		cmd = state.ReplaceQueues{Table: queue.Table{
			Version:  p.machine.Queues().Version + 1,
			Queues:   []queue.Queue{{Name: "q", Host: "h", Prefix: "/", Service: "s", MaxAttempts: 3, Slack: 2, Timeout: time.Second}},
			Services: []queue.Service{{Name: "s"}},
		}}
	case n < 3 || s == nil:
		cmd = state.Submit{Submission: submission.Submission{Spec: submission.Spec{
			ID: fmt.Sprintf("s%d", g.commands), Queue: "q", Steps: []submission.Step{{Count: 2, Estimate: time.Second}},
		}}}
	case n == 3:
		cmd = state.CancelSubmission{ID: s.ID}
	case n == 10:
		cmd = state.FinishEvacuation{Zone: fmt.Sprintf("z%d", g.commands/2%2)}
		if g.commands%2 == 0 {
			cmd = state.StartEvacuation{Zone: fmt.Sprintf("z%d", g.commands/2%2)}
		}
	default:
		cmd = g.nextRunCommand(s)
	}
	data, err := wire.MarshalCommand(cmd)
	if err != nil {
		panic(err)
	}
	index, err := p.replica.Propose(g.now, g.now, [][]byte{data})
	if err != nil {
		return
	}
	if g.bug == bugAckBeforeCommit && g.rnd.IntN(2) == 0 {
		if c, ok := cmd.(state.ReplaceQueues); ok {
			g.acknowledge(p, p.replica.Term(), c, state.Outcome{})
			return
		}
	}
	p.pending[index] = proposed{term: p.replica.Term(), cmd: cmd}
}

// nextRunCommand starts the next task of a submission or ends its run.
func (g *lostDisksGroup) nextRunCommand(s *submission.Submission) state.Command {
	for i := range s.Steps[0].Count {
		task := submission.TaskID{Submission: s.ID, Index: i}
		t := s.Task(task)
		switch {
		case t.Done:
			continue
		case len(t.Runs) == 0:
			run := submission.RunID{Task: task, Number: t.LastRun + 1}
			return state.StartRuns{Starts: []submission.Start{{Run: run, Worker: fmt.Sprintf("w%d/%d", g.rnd.IntN(9), g.commands)}}}
		default:
			run := submission.RunID{Task: task, Number: t.Runs[0].Number}
			return state.EndRuns{Ends: []submission.End{{Run: run, Worker: t.Runs[0].Worker, Reason: submission.Done}}}
		}
	}
	return state.CancelSubmission{ID: s.ID}
}
