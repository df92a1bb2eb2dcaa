package disk_test

import (
	cryptorand "crypto/rand"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/internal/disk"
	"github.com/gentianrail/gentianrail/internal/identity"
	"github.com/gentianrail/gentianrail/internal/settings"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/membership"
	"github.com/gentianrail/gentianrail/replica"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/submission"
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
	isFull    bool      // its disk is full, or will be in a few operations
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

type envelope struct {
	deliverAt time.Time
	m         replica.Message
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
			ended: make(map[submission.RunID]bool), zones: make(map[string]zoneOrder),
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
	if disk.IsFull(err) {
		g.waitForSpace(m)
		return
	}
	if err != nil {
		g.failf("%s: identity: %v", m.address, err)
		return
	}
	if g.bug == bugKeepIdentity {
		id = replica.ID(m.address)
	}
	open := disk.Open
	if m.isFull {
		open = func(f disk.Files) (*disk.Store, replica.RestoredState, int, error) { return disk.Reopen(f, 1000) }
	}
	store, restored, _, err := open(m.files)
	if disk.IsFull(err) {
		g.waitForSpace(m)
		return
	}
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
	if m.isFull {
		m.files.FillAfter(0)
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
				g.handleWriteFailure(p, err)
				return
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
		if p.on.p != p {
			break
		}
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
			g.handleWriteFailure(p, err)
			return
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

// handleWriteFailure does what a controller does whose disk is full: it discards its state,
// and restores it from the disk when there is space.
func (g *lostDisksGroup) handleWriteFailure(p *process, err error) {
	if !disk.IsFull(err) {
		panic(err) // the disk fails in kill only
	}
	g.waitForSpace(p.on)
}

func (g *lostDisksGroup) waitForSpace(m *machine) {
	m.p, m.startAt = nil, g.now.Add(fullRetryInterval)
}

// fill makes a machine's disk full after a few operations.
func (g *lostDisksGroup) fill(m *machine) {
	m.isFull = true
	m.files.FillAfter(g.rnd.IntN(12))
}

func (g *lostDisksGroup) free(m *machine) {
	m.isFull = false
	m.files.FillAfter(-1)
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
