package disk_test

import (
	cryptorand "crypto/rand"
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/disk"
	"github.com/gentianrail/gentianrail/internal/identity"
	"github.com/gentianrail/gentianrail/internal/settings"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/membership"
	"github.com/gentianrail/gentianrail/queue"
	"github.com/gentianrail/gentianrail/replica"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/submission"
)

var lostDisksSeeds = flag.Int("lost-disks-seeds", 16, "number of seeds of TestAcknowledgedSurvivesLostDisks")

// Sizes and times of the simulated group.
const (
	groupSize       = 5
	toleratedDisks  = 2
	groupElection   = 500 * time.Millisecond
	groupHeartbeat  = 100 * time.Millisecond
	groupStep       = 5 * time.Millisecond
	joinInterval    = 200 * time.Millisecond
	joinDelay       = time.Second
	snapshotEntries = 60
	retainedEntries = 20
	syncTimeout     = 4 * time.Second  // after its return until a machine no longer counts as lost
	recoveryTime    = 12 * time.Second // after the return of all machines until the group works again
	strikes         = 4                // losses of disks in one run

	replacementDelay = time.Second // from the removal of a machine to the start of its successor
)

// groupBug is a deliberately injected fault that the test must detect.
type groupBug int

const (
	noGroupBug groupBug = iota
	bugAckBeforeCommit
	bugKeepIdentity
	bugFoundAgain
)

// machine is a controller machine. Its disk may be lost, its address stays.
type machine struct {
	address   string
	files     *disk.MemoryFiles
	wipedAt   time.Time // latest loss of its disk
	bootstrap bool
	startAt   time.Time // when it starts; only while it is down
	p         *process  // nil while it is down
	isolated  bool
	slowUntil time.Time // its disk is slow
}

// process is a running controller, with the parts of the core that decide.
type process struct {
	on            *machine
	id            replica.ID
	store         *disk.Store
	replica       *replica.Replica
	machine       *state.Machine
	members       []replica.Member // as of the last entry that was applied
	snapshot      replica.Snapshot
	hardState     replica.HardState
	lastApplied   replica.Entry
	pending       map[uint64]proposed
	write         func() error // in progress; nil for none
	writeDone     func()
	writeDoneAt   time.Time
	applicants    []membership.Applicant
	nextJoin      time.Time
	leaderContact time.Time
	joined        bool
	nextOp        time.Time
}

// proposed is a command in the log that is not applied yet.
type proposed struct {
	term uint64
	cmd  state.Command
}

type envelope struct {
	deliverAt time.Time
	m         replica.Message
}

// shown is what callers, the operator and workers have been told.
type shown struct {
	version   uint64
	submitted map[string]bool
	cancelled map[string]bool
	completed map[string]bool
	ended     map[submission.RunID]bool
}

// lostDisksGroup is a group of controllers in virtual time, whose replicas, state
// machines and stores are real.
type lostDisksGroup struct {
	now      time.Time
	rnd      *rand.Rand
	machines []*machine
	network  []envelope
	bug      groupBug

	leaders   map[uint64]replica.ID
	committed map[uint64]string
	shown     shown
	ordered   map[submission.RunID]string // worker of each run that was ordered
	orderTerm uint64                      // of the latest order
	orderedBy *process
	commands  int

	armed     bool // the next acknowledgement is followed by the loss
	struck    *process
	acks      int
	replaced  int // machines that were replaced at another address
	violation string
}

func newLostDisksGroup(seed uint64, bug groupBug) *lostDisksGroup {
	var key [32]byte
	binary.LittleEndian.PutUint64(key[:], seed)
	cryptorand.Reader = rand.NewChaCha8(key) // for the identifiers of replicas
	g := &lostDisksGroup{
		now: time.Unix(1_000_000, 0), rnd: rand.New(rand.NewPCG(seed, 40)), bug: bug,
		leaders: make(map[uint64]replica.ID), committed: make(map[uint64]string), ordered: make(map[submission.RunID]string),
		shown: shown{
			submitted: make(map[string]bool), cancelled: make(map[string]bool), completed: make(map[string]bool),
			ended: make(map[submission.RunID]bool),
		},
	}
	for i := range groupSize {
		m := &machine{address: fmt.Sprintf("a%d", i), files: disk.NewMemoryFiles(), bootstrap: true, startAt: g.now.Add(g.duration(300 * time.Millisecond))}
		g.machines = append(g.machines, m)
	}
	return g
}

func (g *lostDisksGroup) duration(limit time.Duration) time.Duration {
	return time.Duration(g.rnd.Int64N(int64(limit)))
}

func (g *lostDisksGroup) failf(format string, args ...any) {
	if g.violation == "" {
		g.violation = fmt.Sprintf(format, args...)
	}
}

func (g *lostDisksGroup) start(m *machine) {
	cfg := &settings.Controller{Address: m.address, Replicas: groupSize, Seeds: []string{"a0", "a1", "a2"}, Bootstrap: m.bootstrap}
	id, initial, err := identity.LoadOrCreate(m.files, cfg)
	if err != nil {
		g.failf("%s: identity: %v", m.address, err)
		return
	}
	if g.bug == bugKeepIdentity {
		id = replica.ID(m.address)
	}
	store, restored, _, err := disk.Open(m.files)
	if err != nil {
		g.failf("%s does not start: %v", m.address, err)
		return
	}
	p := &process{
		on: m, id: id, store: store, snapshot: restored.Snapshot, hardState: restored.State, pending: make(map[uint64]proposed),
		leaderContact: g.now,
	}
	p.load(restored.Snapshot)
	p.replica = replica.New(replica.Config{
		ID: id, InitialMembers: initial, ElectionTimeout: groupElection, Heartbeat: groupHeartbeat, Rand: rand.New(rand.NewPCG(g.rnd.Uint64(), 2)),
	}, restored, func() replica.Snapshot { return p.snapshot }, g.now)
	m.p = p
}

func (p *process) load(s replica.Snapshot) {
	p.machine, p.members = &state.Machine{}, s.Members
	if s.Index == 0 {
		return
	}
	contents, err := wire.UnmarshalState(s.Data)
	if err != nil {
		panic(err)
	}
	p.machine = state.Restore(contents)
	p.lastApplied = replica.Entry{Index: s.Index, Term: s.Term}
}

// kill ends a machine's process at a random point of its write. The power may be lost too.
func (g *lostDisksGroup) kill(m *machine, power bool, down time.Duration) {
	if p := m.p; p != nil && p.write != nil {
		m.files.StopAfter(g.rnd.IntN(2 + g.rnd.IntN(10)))
		_ = p.write() // fails unless it was about to end
		m.files.StopAfter(-1)
	}
	if power {
		m.files = m.files.AfterPowerLoss(g.rnd)
	}
	m.p, m.startAt, m.bootstrap = nil, g.now.Add(down), g.bug == bugFoundAgain
}

func (g *lostDisksGroup) wipe(m *machine, down time.Duration) {
	g.kill(m, false, down)
	m.files, m.wipedAt = disk.NewMemoryFiles(), g.now
}

// advance moves virtual time on, and returns early when the loss is due.
func (g *lostDisksGroup) advance(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end) && g.violation == "" && g.struck == nil; {
		g.now = g.now.Add(groupStep)
		g.deliver()
		for _, m := range g.machines {
			if m.p == nil && !g.now.Before(m.startAt) {
				g.start(m)
			}
			if m.p != nil && g.struck == nil && g.violation == "" {
				g.tick(m.p)
			}
		}
	}
}

func (g *lostDisksGroup) tick(p *process) {
	p.replica.Tick(g.now)
	g.process(p)
	g.join(p)
	if g.struck != nil || !p.replica.HoldsLease(g.now) {
		return
	}
	group := membership.Group{
		Self: p.id, DesiredVoters: groupSize, Members: p.replica.Members(), Progress: p.replica.Progress(),
		LastIndex: p.replica.LastIndex(), Applicants: p.applicants,
	}
	if next := group.NextMembers(g.now); next != nil {
		_ = p.replica.ProposeMembers(g.now, next) // fails while a change is uncommitted
	}
	g.process(p)
	if g.struck == nil && !g.now.Before(p.nextOp) && p.replica.HoldsLease(g.now) {
		p.nextOp = g.now.Add(g.duration(60 * time.Millisecond))
		g.read(p)
		g.propose(p)
		g.process(p)
	}
}

// join does what a controller does that is not a member or has no leader.
func (g *lostDisksGroup) join(p *process) {
	if p.replica.HasRecentContact(g.now) {
		p.leaderContact = g.now
	}
	p.joined = p.joined || slices.ContainsFunc(p.replica.Members(), func(m replica.Member) bool { return m.ID == p.id })
	if p.joined && g.now.Sub(p.leaderContact) < joinDelay || g.now.Before(p.nextJoin) || p.on.isolated {
		return
	}
	p.nextJoin = g.now.Add(joinInterval)
	for _, m := range g.machines {
		if l := m.p; l != nil && !m.isolated && l.replica.HoldsLease(g.now) {
			l.applicants = slices.DeleteFunc(l.applicants, func(a membership.Applicant) bool { return a.ID == p.id })
			l.applicants = append(l.applicants, membership.Applicant{ID: p.id, Address: p.on.address, LastRequest: g.now})
		}
	}
}

func (g *lostDisksGroup) send(from *process, ms []replica.Message) {
	for _, m := range ms {
		if from.on.isolated || g.rnd.IntN(100) < 2 {
			continue
		}
		d := g.duration(12 * time.Millisecond)
		if g.rnd.IntN(300) == 0 {
			d += groupElection
		}
		g.network = append(g.network, envelope{deliverAt: g.now.Add(d), m: m})
	}
}

func (g *lostDisksGroup) deliver() {
	slices.SortStableFunc(g.network, func(a, b envelope) int { return a.deliverAt.Compare(b.deliverAt) })
	for len(g.network) > 0 && !g.network[0].deliverAt.After(g.now) && g.struck == nil && g.violation == "" {
		m := g.network[0].m
		g.network = g.network[1:]
		for _, to := range g.machines {
			if to.p == nil || to.isolated || to.p.id != m.To {
				continue
			}
			if err := to.p.replica.Step(g.now, m); err != nil {
				g.failf("%s: %v", to.p.id, err)
			}
			g.process(to.p)
		}
	}
}

// process does what the controllers' core does with Ready.
func (g *lostDisksGroup) process(p *process) {
	for p.on.p == p && g.struck == nil && g.violation == "" {
		if p.write != nil && !g.now.Before(p.writeDoneAt) {
			if err := p.write(); err != nil {
				panic(err) // the disk only fails in kill
			}
			done := p.writeDone
			p.write, p.writeDone = nil, nil
			done()
		}
		next := p.replica.ReadyDuringWrite
		if p.write == nil {
			next = p.replica.Ready
		}
		ready := next()
		if ready.Empty() {
			if p.write == nil && p.lastApplied.Index >= p.snapshot.Index+snapshotEntries {
				g.saveSnapshot(p)
				continue
			}
			break
		}
		g.send(p, ready.Immediate)
		g.persist(p, ready)
		for _, e := range ready.Committed {
			if g.struck == nil {
				g.apply(p, e)
			}
		}
	}
	if p.replica.Role() == replica.Leader {
		if other, ok := g.leaders[p.replica.Term()]; ok && other != p.id {
			g.failf("%s and %s both lead term %d", other, p.id, p.replica.Term())
		}
		g.leaders[p.replica.Term()] = p.id
	}
}

func (g *lostDisksGroup) persist(p *process, ready replica.Ready) {
	if ready.State != nil {
		p.hardState = *ready.State
	}
	synced := func() {
		g.send(p, ready.AfterSync)
		p.replica.RecordSynced(ready.DurableWrite())
	}
	switch {
	case ready.Snapshot != nil:
		if err := p.store.SaveSnapshot(*ready.Snapshot, p.hardState, ready.Entries); err != nil {
			panic(err)
		}
		p.load(*ready.Snapshot)
		p.snapshot = *ready.Snapshot
		synced()
	case ready.State != nil || len(ready.Entries) > 0:
		g.beginWrite(p, func() error { return p.store.Save(ready.LogRecord()) }, synced)
	default:
		g.send(p, ready.AfterSync)
	}
}

func (g *lostDisksGroup) beginWrite(p *process, write func() error, done func()) {
	took := g.duration(4 * time.Millisecond)
	if g.now.Before(p.on.slowUntil) {
		took = g.duration(time.Second)
	}
	p.write, p.writeDone, p.writeDoneAt = write, done, g.now.Add(took)
}

func (g *lostDisksGroup) saveSnapshot(p *process) {
	data, err := wire.MarshalState(p.machine.Contents())
	if err != nil {
		panic(err)
	}
	s := replica.Snapshot{Index: p.lastApplied.Index, Term: p.lastApplied.Term, Data: data, Members: p.members}
	hardState, tail := p.hardState, p.replica.EntriesAfter(s.Index)
	g.beginWrite(p, func() error { return p.store.SaveSnapshot(s, hardState, tail) }, func() {
		p.snapshot = s
		if s.Index > retainedEntries {
			p.replica.Compact(s.Index - retainedEntries)
		}
	})
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
	switch n := g.rnd.IntN(10); {
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

// isComplete reports whether a leader acts and the committed voters are the present
// replicas of all machines.
func (g *lostDisksGroup) isComplete() bool {
	for _, m := range g.machines {
		if m.p == nil || !m.p.replica.HoldsLease(g.now) {
			continue
		}
		voters, present := 0, 0
		for _, member := range m.p.members {
			if member.Learner {
				continue
			}
			voters++
			if slices.ContainsFunc(g.machines, func(o *machine) bool { return o.p != nil && o.p.id == member.ID }) {
				present++
			}
		}
		return voters == groupSize && present == groupSize
	}
	return false
}

// describe returns the state of all machines.
func (g *lostDisksGroup) describe() string {
	out := ""
	for _, m := range g.machines {
		out += "\n\t" + m.address
		if p := m.p; p != nil {
			out += fmt.Sprintf(" %s %s term %d last %d commit %d cut off %t members %v", p.id, p.replica.Role(), p.replica.Term(),
				p.replica.LastIndex(), p.replica.Commit(), m.isolated, p.replica.Members())
		}
	}
	return out
}

func (g *lostDisksGroup) awaitComplete(limit time.Duration) {
	for end := g.now.Add(limit); g.violation == "" && !g.isComplete(); {
		if !g.now.Before(end) {
			g.failf("the group was not complete %s after all machines had returned:%s", limit, g.describe())
			return
		}
		g.advance(groupHeartbeat)
	}
}

// disturb does what may come before the loss: machines are killed, lose power, are cut
// off or have slow disks.
func (g *lostDisksGroup) disturb() {
	m := g.machines[g.rnd.IntN(groupSize)]
	for range g.rnd.IntN(40) { // the most can go wrong while it writes
		if m.p != nil && m.p.write != nil {
			break
		}
		g.advance(groupStep)
	}
	switch g.rnd.IntN(6) {
	case 0:
		g.kill(m, false, g.duration(300*time.Millisecond))
	case 1:
		g.kill(m, true, g.duration(300*time.Millisecond))
	case 2:
		m.isolated = true
	case 3, 4:
		m.slowUntil = g.now.Add(g.duration(2 * time.Second))
	case 5:
		for _, m := range g.machines {
			g.kill(m, g.rnd.IntN(2) == 0, g.duration(time.Second))
		}
	}
}

// replace removes a machine for good. An empty one starts at another address.
func (g *lostDisksGroup) replace() {
	g.replaced++
	i := g.rnd.IntN(groupSize)
	if g.rnd.IntN(2) == 0 {
		i = max(slices.IndexFunc(g.machines, func(m *machine) bool { return m.p != nil && m.p.replica.HoldsLease(g.now) }), 0)
	}
	g.machines[i] = &machine{
		address: fmt.Sprintf("b%02d", g.replaced), files: disk.NewMemoryFiles(), wipedAt: g.now,
		startAt: g.now.Add(replacementDelay),
	}
	g.advance(replacementDelay + syncTimeout)
}

// strike takes the disks of up to limit machines, and the power of all others.
func (g *lostDisksGroup) strike(limit int) {
	acknowledged := g.struck
	g.struck, g.armed = nil, false
	order := g.rnd.Perm(groupSize)
	switch g.rnd.IntN(3) {
	case 0: // the machine that has acknowledged loses its disk
		i := slices.Index(g.machines, acknowledged.on)
		order = append([]int{i}, slices.DeleteFunc(order, func(o int) bool { return o == i })...)
	case 1: // the disks that have lasted longest
		slices.SortStableFunc(order, func(a, b int) int { return g.machines[a].wipedAt.Compare(g.machines[b].wipedAt) })
	}
	down := g.duration(2 * time.Second)
	disks := limit
	if g.rnd.IntN(4) == 0 {
		disks = g.rnd.IntN(limit + 1)
	}
	for n, i := range order {
		m := g.machines[i]
		back := down + g.duration(300*time.Millisecond)
		m.isolated, m.slowUntil = false, time.Time{}
		if n < disks {
			g.wipe(m, back)
		} else {
			g.kill(m, true, back)
		}
	}
	g.network = nil
	g.advance(down + 300*time.Millisecond)
}

// endDisturbances ends what disturb began, but leaves up to n machines cut off.
func (g *lostDisksGroup) endDisturbances(n int) {
	for _, i := range g.rnd.Perm(groupSize) {
		m := g.machines[i]
		m.isolated = m.isolated && n > 0
		if m.isolated {
			n--
		}
	}
}

// runLostDisks plays one run and returns the first violation, or "".
func runLostDisks(seed uint64, bug groupBug) (violation string, acks int) {
	g := newLostDisksGroup(seed, bug)
	g.advance(300 * time.Millisecond)
	g.awaitComplete(syncTimeout)
	for range strikes {
		for range g.rnd.IntN(4) {
			g.disturb()
			g.advance(g.duration(time.Second))
		}
		limit := toleratedDisks
		switch g.rnd.IntN(4) {
		case 0:
			g.endDisturbances(0)
			g.advance(g.duration(3 * time.Second))
			g.replace()
		case 1: // one disk is lost before the others
			g.endDisturbances(0)
			g.awaitComplete(syncTimeout)
			limit--
			g.wipe(g.machines[g.rnd.IntN(groupSize)], g.duration(2*time.Second))
			g.advance(g.duration(3 * time.Second))
		default:
			g.endDisturbances(toleratedDisks)
			g.advance(g.duration(3 * time.Second))
		}
		g.armed = true
		g.advance(recoveryTime)
		if g.violation == "" && g.struck == nil {
			g.failf("nothing was acknowledged for %s with at most two machines lost", recoveryTime)
		}
		if g.violation != "" {
			break
		}
		g.strike(limit)
		g.awaitComplete(syncTimeout)
	}
	before := g.acks
	g.advance(time.Second)
	if g.violation == "" && g.acks == before {
		g.failf("nothing was acknowledged after the recovery")
	}
	return g.violation, g.acks
}

// TestAcknowledgedSurvivesLostDisks loses two disks, and the power of all others, right after acknowledgements.
func TestAcknowledgedSurvivesLostDisks(t *testing.T) {
	total := 0
	for seed := range uint64(*lostDisksSeeds) {
		violation, acks := runLostDisks(seed, noGroupBug)
		if violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
		}
		total += acks
	}
	t.Logf("%d losses, %d acknowledgements", *lostDisksSeeds*strikes, total)
}

// TestLostDisksBugsAreDetected checks that TestAcknowledgedSurvivesLostDisks detects injected bugs.
func TestLostDisksBugsAreDetected(t *testing.T) {
	for bug, name := range map[groupBug]string{
		bugAckBeforeCommit: "acknowledge before the commit", bugKeepIdentity: "keep the identity of a lost disk",
		bugFoundAgain: "found the group again",
	} {
		detected := false
		for seed := uint64(0); seed < 40 && !detected; seed++ {
			violation, _ := runLostDisks(seed, bug)
			detected = violation != ""
			if detected {
				t.Logf("%s: detected at seed %d: %s", name, seed, violation)
			}
		}
		if !detected {
			t.Errorf("the bug was not detected: %s", name)
		}
	}
}
