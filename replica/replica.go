// Package replica decides for one member of the controllers' replicated log.
//
// A Replica follows the Raft algorithm with pre-vote, a quorum check by the
// leader, a leader lease and leadership transfer. It performs no I/O and
// reads no clock: its owner passes in messages and the present time and
// carries out what Ready returns.
//
// What always holds: at most one leader per term; an entry that is committed
// stays at its index in every later leader's log; entries are handed out for
// application once each, in order, and only after they are committed.
package replica

import (
	"errors"
	"math/rand/v2"
	"sort"
	"time"
)

// Errors returned by Propose and Transfer.
var (
	ErrNotLeader    = errors.New("replica: not the leader")
	ErrTransferring = errors.New("replica: leadership is being transferred")
	ErrNoPeer       = errors.New("replica: no follower to transfer leadership to")
	ErrChanging     = errors.New("replica: the latest change of members is not committed")
)

// Role is what a replica is at present.
type Role uint8

const (
	// Follower accepts entries from a leader.
	Follower Role = iota + 1
	// PreCandidate asks whether an election could be won.
	PreCandidate
	// Candidate asks for votes.
	Candidate
	// Leader appends entries and grants leases.
	Leader
)

// String returns the role's name in lower case.
func (r Role) String() string {
	switch r {
	case Follower:
		return "follower"
	case PreCandidate:
		return "pre_candidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	}
	return "unknown"
}

// Limits of one message.
const (
	maxAppendBytes   = 1 << 20   // bytes of entry data in one Append
	snapshotChunk    = 256 << 10 // bytes of one InstallSnapshot
	driftDivisor     = 10        // a leader lease is shortened by 1/10 for clock drift
	quorumLossFactor = 2         // election timeouts without a quorum until a leader steps down
)

// Config is fixed for the life of a Replica.
type Config struct {
	ID              ID
	Voters          []ID          // members while the log names none, this one included; empty for one that joins
	Founders        []Member      // the same with addresses; goes before Voters if set
	ElectionTimeout time.Duration // least silence before an election; also the lease length
	Heartbeat       time.Duration // interval between a leader's heartbeats
	Rand            *rand.Rand    // spreads election timeouts; owned by the Replica
}

// progress is what a leader knows of one follower.
type progress struct {
	match    uint64        // highest index known to be on the follower's disk
	next     uint64        // next index to send
	acked    time.Time     // Sent time of the latest message it has answered
	snapshot *outgoingSnap // transfer in progress; nil if none
}

type outgoingSnap struct {
	snap   Snapshot
	offset uint64
}

type incomingSnap struct {
	index   uint64
	term    uint64
	members []Member
	data    []byte
}

// Replica is one member's state. It is not safe for concurrent use.
type Replica struct {
	cfg   Config
	peers []ID // members without this one, sorted

	founders    []Member // members while the log names none
	baseMembers []Member // members as of log.base
	members     []Member // latest in the log, committed or not; never changed in place
	changedAt   uint64   // index of the entry that members come from; 0 if none in the log
	state       HardState
	log         tail // entries after the latest snapshot

	role      Role
	leader    ID
	commit    uint64 // highest committed index
	handedOut uint64 // highest index returned in Ready.Committed; <= commit
	synced    uint64 // highest index on this replica's own disk

	contact  time.Time // when a leader was last heard; also set at start
	deadline time.Time // when an election starts without contact
	lastBeat time.Time // when this leader last sent heartbeats
	votes    map[ID]bool
	progress map[ID]*progress

	transferee    ID // follower asked to take over; a transferring leader has no lease
	transferSince time.Time
	incoming      *incomingSnap
	stateDirty    bool      // state has changed since the latest Ready
	durable       HardState // what is on this replica's own disk
	unsynced      []Entry
	installed     *Snapshot
	early         []Message
	late          []Message

	snapshot func() Snapshot // latest snapshot of the state machine
}

// Restored is what a replica reads back from its disk.
type Restored struct {
	State    HardState
	Snapshot Snapshot // zero if there is none
	Entries  []Entry  // the log after the snapshot
}

// New returns a follower that continues from what was restored. latest
// returns the newest snapshot that is on disk; it is called only when a
// follower is too far behind for log entries.
func New(cfg Config, from Restored, latest func() Snapshot, now time.Time) *Replica {
	r := &Replica{
		cfg:       cfg,
		state:     from.State,
		durable:   from.State,
		role:      Follower,
		commit:    from.Snapshot.Index,
		handedOut: from.Snapshot.Index,
		snapshot:  latest,
	}
	r.log.reset(from.Snapshot.Index, from.Snapshot.Term)
	r.log.append(from.Entries)
	r.synced = r.log.last()
	r.founders = cfg.Founders
	if len(r.founders) == 0 {
		for _, id := range cfg.Voters {
			r.founders = append(r.founders, Member{ID: id})
		}
	}
	r.baseMembers = r.founders
	if len(from.Snapshot.Members) > 0 {
		r.baseMembers = from.Snapshot.Members
	}
	r.readMembers(now)
	r.contact = now // a restarted voter must not break a lease that it has forgotten
	r.resetDeadline(now)
	if len(r.peers) == 0 {
		r.deadline = now
	}
	return r
}

// readMembers sets the members to the latest that the log names.
func (r *Replica) readMembers(now time.Time) {
	members, at := r.baseMembers, uint64(0)
	for i := len(r.log.entries) - 1; i >= 0; i-- {
		if e := r.log.entries[i]; e.Kind == KindMembers {
			members, at = e.Members, e.Index
			break
		}
	}
	r.members, r.changedAt = members, at
	r.peers = nil
	for _, m := range members {
		if m.ID != r.cfg.ID {
			r.peers = append(r.peers, m.ID)
		}
	}
	sort.Slice(r.peers, func(i, j int) bool { return r.peers[i] < r.peers[j] })
	if r.role != Leader {
		return
	}
	for _, id := range r.peers {
		if r.progress[id] == nil {
			r.progress[id] = &progress{next: r.log.last() + 1, acked: now}
		}
	}
	for id := range r.progress {
		if _, ok := r.memberOf(id); !ok {
			delete(r.progress, id)
		}
	}
}

func (r *Replica) memberOf(id ID) (Member, bool) {
	for _, m := range r.members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

func (r *Replica) isVoter(id ID) bool {
	m, ok := r.memberOf(id)
	return ok && !m.Learner
}

// Members returns the latest members in the log. The caller may not change
// the slice.
func (r *Replica) Members() []Member { return r.members }

// Standing is what a leader knows of another member.
type Standing struct {
	Member
	Match uint64    // highest index known to be on its disk
	Acked time.Time // when the latest message that it has answered was sent
}

// Standings returns what this leader knows of the other members; nil if it
// does not lead.
func (r *Replica) Standings() []Standing {
	if r.role != Leader {
		return nil
	}
	out := make([]Standing, 0, len(r.peers))
	for _, m := range r.members {
		if p := r.progress[m.ID]; p != nil {
			out = append(out, Standing{Member: m, Match: p.match, Acked: p.acked})
		}
	}
	return out
}

// ProposeMembers changes the members. One change is made at a time: it is
// refused until the one before is committed and until this leader has
// committed an entry of its own term. The caller keeps the majorities of two
// successive sets overlapping.
func (r *Replica) ProposeMembers(now time.Time, members []Member) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if r.transferee != "" {
		return ErrTransferring
	}
	if r.changedAt > r.commit || r.log.term(r.commit) != r.state.Term {
		return ErrChanging
	}
	r.appendLocal([]Entry{{
		Index:   r.log.last() + 1,
		Term:    r.state.Term,
		Kind:    KindMembers,
		Time:    now,
		Members: append([]Member(nil), members...),
	}})
	r.readMembers(now)
	r.sendAll(now)
	return nil
}

// Role returns the present role.
func (r *Replica) Role() Role { return r.role }

// Leader returns the known leader of the present term, or "".
func (r *Replica) Leader() ID { return r.leader }

// Term returns the present term.
func (r *Replica) Term() uint64 { return r.state.Term }

// Commit returns the highest committed index.
func (r *Replica) Commit() uint64 { return r.commit }

// LastIndex returns the index of the last log entry.
func (r *Replica) LastIndex() uint64 { return r.log.last() }

// LogSize returns the number of entries held after the snapshot.
func (r *Replica) LogSize() int { return len(r.log.entries) }

// HoldsLease reports whether no other replica can be leader at now, given
// that clocks drift by less than 1/driftDivisor, and whether every entry
// committed by earlier leaders is known to be committed here.
func (r *Replica) HoldsLease(now time.Time) bool {
	if r.role != Leader || r.transferee != "" {
		return false
	}
	if r.log.term(r.commit) != r.state.Term {
		return false
	}
	length := r.cfg.ElectionTimeout - r.cfg.ElectionTimeout/driftDivisor
	return now.Before(r.quorumContact(now).Add(length))
}

// InTouch reports whether this replica has heard of a leader, or as a leader
// of its quorum, lately enough to serve views that are not far behind.
func (r *Replica) InTouch(now time.Time) bool {
	if r.role == Leader {
		return r.HoldsLease(now)
	}
	return r.leader != "" && now.Sub(r.contact) < quorumLossFactor*r.cfg.ElectionTimeout
}

// Quiet returns how long this replica has heard nothing of the leader it knows;
// 0 if it leads.
func (r *Replica) Quiet(now time.Time) time.Duration {
	if r.role == Leader {
		return 0
	}
	return now.Sub(r.contact)
}

// Propose appends commands to the log and returns the index of the first.
func (r *Replica) Propose(now time.Time, data [][]byte) (uint64, error) {
	if r.role != Leader {
		return 0, ErrNotLeader
	}
	if r.transferee != "" {
		return 0, ErrTransferring
	}
	first := r.log.last() + 1
	entries := make([]Entry, 0, len(data))
	for i, d := range data {
		entries = append(entries, Entry{
			Index: first + uint64(i),
			Term:  r.state.Term,
			Kind:  KindCommand,
			Time:  now,
			Data:  d,
		})
	}
	r.appendLocal(entries)
	r.sendAll(now)
	return first, nil
}

// Transfer asks the follower that is furthest ahead to become leader.
func (r *Replica) Transfer(now time.Time) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	var best ID
	for _, id := range r.peers {
		p := r.progress[id]
		if !r.isVoter(id) {
			continue
		}
		if best == "" || p.match > r.progress[best].match {
			best = id
		}
	}
	if best == "" {
		return ErrNoPeer
	}
	r.transferee = best
	r.transferSince = now
	r.send(now, best)
	r.maybeFinishTransfer()
	return nil
}

// Tick starts elections, sends heartbeats and checks the quorum.
func (r *Replica) Tick(now time.Time) {
	if r.role == Leader {
		r.tickLeader(now)
		return
	}
	if !now.Before(r.deadline) && r.isVoter(r.cfg.ID) {
		r.startElection(now, true, false)
	}
}

func (r *Replica) tickLeader(now time.Time) {
	if r.transferee != "" && now.Sub(r.transferSince) >= r.cfg.ElectionTimeout {
		// The follower may still act on its order, so the lease cannot be
		// taken up again in this term.
		r.becomeFollower(now, r.state.Term, "")
		return
	}
	if r.quorum() > 1 {
		lost := r.quorumContact(now).Add(quorumLossFactor * r.cfg.ElectionTimeout)
		if !now.Before(lost) {
			r.becomeFollower(now, r.state.Term, "")
			return
		}
	}
	if now.Sub(r.lastBeat) >= r.cfg.Heartbeat {
		r.lastBeat = now
		for _, id := range r.peers {
			r.progress[id].retry()
			r.send(now, id)
		}
	}
}

// Durable names what a write has made durable.
type Durable struct {
	State *HardState // nil if the write had none
	Index uint64     // last entry of the write; 0 if it had none
	Term  uint64     // term of that entry
}

// Durable returns what is durable once the Ready's write is done.
func (r *Ready) Durable() Durable {
	d := Durable{State: r.State}
	if n := len(r.Entries); n > 0 {
		d.Index, d.Term = r.Entries[n-1].Index, r.Entries[n-1].Term
	}
	return d
}

// Persisted tells that a write is done. Entries that were replaced while they
// were written do not count.
func (r *Replica) Persisted(now time.Time, d Durable) {
	if d.State != nil {
		r.durable = *d.State
	}
	if d.Index > r.synced && r.log.term(d.Index) == d.Term {
		r.synced = d.Index
	}
	if r.role == Leader {
		r.advanceCommit(now)
	}
}

// Ready returns all that must be carried out and forgets it. It is called
// only while no write is under way.
func (r *Replica) Ready() Ready {
	out := r.Urgent()
	out.Late = r.late
	out.Entries = r.unsynced
	out.Snapshot = r.installed
	if r.stateDirty {
		s := r.state
		out.State = &s
	}
	r.late, r.unsynced, r.installed, r.stateDirty = nil, nil, nil, false
	return out
}

// Urgent returns what need not wait for a write: early messages and committed
// entries. It may be called while a write is under way.
func (r *Replica) Urgent() Ready {
	out := Ready{Early: r.early}
	r.early = nil
	// Entries after a snapshot cannot be applied before the snapshot.
	if r.commit > r.handedOut && r.installed == nil {
		out.Committed = r.log.slice(r.handedOut+1, r.commit+1)
		r.handedOut = r.commit
	}
	return out
}

// Compact forgets the log entries up to and including index, which a
// snapshot on disk covers.
func (r *Replica) Compact(index uint64) {
	if index > r.handedOut {
		index = r.handedOut
	}
	for i := len(r.log.entries) - 1; i >= 0; i-- {
		if e := r.log.entries[i]; e.Kind == KindMembers && e.Index <= index {
			r.baseMembers = e.Members
			break
		}
	}
	r.log.compact(index)
}

// quorum returns how many voters are a majority.
func (r *Replica) quorum() int {
	voters := 0
	for _, m := range r.members {
		if !m.Learner {
			voters++
		}
	}
	return voters/2 + 1
}

// quorumContact returns the latest time at which a quorum, this leader
// included, is known to have accepted this leader.
func (r *Replica) quorumContact(now time.Time) time.Time {
	times := make([]time.Time, 0, len(r.peers)+1)
	if r.isVoter(r.cfg.ID) {
		times = append(times, now)
	}
	for _, id := range r.peers {
		if r.isVoter(id) {
			times = append(times, r.progress[id].acked)
		}
	}
	sort.Slice(times, func(i, j int) bool { return times[i].After(times[j]) })
	return times[r.quorum()-1]
}

func (r *Replica) resetDeadline(now time.Time) {
	spread := time.Duration(r.cfg.Rand.Int64N(int64(r.cfg.ElectionTimeout)))
	r.deadline = now.Add(r.cfg.ElectionTimeout + spread)
}

func (r *Replica) setTerm(term uint64, vote ID) {
	if r.state.Term == term && r.state.Vote == vote {
		return
	}
	r.state = HardState{Term: term, Vote: vote}
	r.stateDirty = true
}

func (r *Replica) becomeFollower(now time.Time, term uint64, leader ID) {
	if term > r.state.Term {
		r.setTerm(term, "")
	}
	r.role = Follower
	r.leader = leader
	r.votes = nil
	r.progress = nil
	r.transferee = ""
	r.resetDeadline(now)
}

func (r *Replica) becomeLeader(now time.Time) {
	r.role = Leader
	r.leader = r.cfg.ID
	r.votes = nil
	r.transferee = ""
	r.incoming = nil
	r.progress = make(map[ID]*progress, len(r.peers))
	for _, id := range r.peers {
		r.progress[id] = &progress{next: r.log.last() + 1, acked: now}
	}
	r.appendLocal([]Entry{{
		Index: r.log.last() + 1,
		Term:  r.state.Term,
		Kind:  KindBarrier,
		Time:  now,
	}})
	r.lastBeat = now
	r.sendAll(now)
}

func (r *Replica) appendLocal(entries []Entry) {
	r.log.append(entries)
	r.addUnsynced(entries)
}

func (r *Replica) addUnsynced(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	first := entries[0].Index
	if r.synced >= first {
		r.synced = first - 1
	}
	for len(r.unsynced) > 0 && r.unsynced[len(r.unsynced)-1].Index >= first {
		r.unsynced = r.unsynced[:len(r.unsynced)-1]
	}
	r.unsynced = append(r.unsynced, entries...)
}

// advanceCommit commits the highest index of the present term that a quorum
// has on disk. It is called only after this leader's own entries are synced.
func (r *Replica) advanceCommit(now time.Time) {
	match := make([]uint64, 0, len(r.peers)+1)
	if r.isVoter(r.cfg.ID) {
		match = append(match, r.synced)
	}
	for _, id := range r.peers {
		if r.isVoter(id) {
			match = append(match, r.progress[id].match)
		}
	}
	sort.Slice(match, func(i, j int) bool { return match[i] > match[j] })
	index := match[r.quorum()-1]
	if index <= r.commit || r.log.term(index) != r.state.Term {
		return
	}
	r.commit = index
	r.sendAll(now)
}

// After returns the log entries after index.
func (r *Replica) After(index uint64) []Entry {
	if index < r.log.base || index >= r.log.last() {
		return nil
	}
	return r.log.slice(index+1, r.log.last()+1)
}
