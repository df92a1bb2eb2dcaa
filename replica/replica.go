// Package replica implements one member of the controllers' replicated log.
//
// A Replica runs the Raft algorithm with pre-vote, a quorum check by the
// leader, a leader lease and leadership transfer. A Replica performs no I/O
// and reads no clock: its owner passes in messages and the current time and
// processes what Ready returns.
//
// Invariants: a term has at most one leader; a committed entry stays at its
// index in every later leader's log; each entry is delivered for application
// once, in order, and only after it is committed.
package replica

import (
	"errors"
	"math/rand/v2"
	"sort"
	"time"
)

// Errors returned by Propose, ProposeMembers and TransferLeadership.
var (
	ErrNotLeader           = errors.New("replica: not the leader")
	ErrTransferring        = errors.New("replica: leadership is being transferred")
	ErrNoTransferee        = errors.New("replica: no follower to transfer leadership to")
	ErrMemberChangePending = errors.New("replica: the latest change of members is not committed")
)

// Role is a replica's current role in the Raft algorithm.
type Role uint8

const (
	// Follower accepts entries from a leader.
	Follower Role = iota + 1
	// PreCandidate asks whether an election could be won.
	PreCandidate
	// Candidate asks for votes.
	Candidate
	// Leader appends entries and replicates them to the followers.
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

// Message sizes and timing factors.
const (
	maxAppendBytes     = 256 << 10 // entry data in one Append; the last entry may exceed it
	maxInflightBytes   = 1 << 20   // entry data that a follower has not acknowledged; the last Append may exceed it
	snapshotChunkBytes = 256 << 10 // data in one InstallSnapshot
	resendDivisor      = 2         // a message counts as lost after 1/2 of the election timeout

	// commitInterval is the minimum time between messages that only carry a higher
	// commit index. While entries are proposed, those carry it.
	commitInterval    = 20 * time.Millisecond
	leaseDriftDivisor = 10 // a leader lease is shortened by 1/10 to allow for clock drift
	quorumLossFactor  = 2  // election timeouts without a quorum until a leader steps down
)

// Config is a Replica's configuration. It does not change after New.
type Config struct {
	ID              ID
	InitialVoters   []ID          // initial members, this one included; empty for a replica that joins
	InitialMembers  []Member      // initial members with addresses; overrides InitialVoters
	ElectionTimeout time.Duration // minimum time without contact with the leader before an election; also the lease length
	Heartbeat       time.Duration // interval between a leader's heartbeats
	Rand            *rand.Rand    // randomizes election timeouts; owned by the Replica
}

// incomingSnapshot is a partly received snapshot.
type incomingSnapshot struct {
	leaderTerm uint64 // of the leader that sends it
	index      uint64
	term       uint64
	members    []Member
	data       []byte
}

// Replica is the state of one member. It is not safe for concurrent use.
type Replica struct {
	cfg   Config
	peers []ID // members without this one, sorted

	initialMembers []Member // members until a snapshot or log entry lists others
	baseMembers    []Member // members as of log.base
	members        []Member // latest in the log, committed or not; the slice is never modified
	membersIndex   uint64   // index of the entry that set members; 0 if no log entry did
	state          HardState
	log            logTail // entries after the latest snapshot

	role      Role
	leader    ID
	commit    uint64 // highest committed index
	delivered uint64 // highest index returned in Ready.Committed; <= commit
	synced    uint64 // highest index synced to this replica's disk

	leaderContact    time.Time   // when the latest message of a leader arrived; also set at start
	electionDeadline time.Time   // when an election starts unless a leader makes contact
	lastHeartbeat    time.Time   // when this leader last sent heartbeats
	lastCommitSent   time.Time   // when this leader last sent messages only for the commit index
	proposed         bool        // entries were proposed since the followers were sent entries last
	proposedAt       time.Time   // when the latest of them was proposed
	votes            map[ID]bool // answers in the current election, by voter; true if granted
	nextVoteRequest  time.Time   // when a pre-candidate asks again
	progress         map[ID]*progress

	transferee        ID // follower that receives leadership; a transferring leader has no lease
	transferStartedAt time.Time
	incoming          *incomingSnapshot
	stateDirty        bool      // state has changed since the latest call of Ready
	durableState      HardState // state synced to this replica's disk
	unsynced          []Entry   // to be returned by Ready
	pendingSnapshot   *Snapshot // received, to be returned by Ready; nil if none
	immediate         []Message // may be sent before a sync
	afterSync         []Message // must wait for a sync

	latestSnapshot func() Snapshot // returns the latest snapshot on disk
}

// RestoredState is the durable state that a replica reads at its start.
type RestoredState struct {
	State    HardState
	Snapshot Snapshot // zero if there is none
	Entries  []Entry  // the log after the snapshot
	Commit   uint64   // highest index known to be committed; 0 if unknown
}

// New returns a follower with the restored state. latest returns the newest
// snapshot on disk; it is called only when a follower needs entries that the
// log no longer has.
func New(cfg Config, from RestoredState, latest func() Snapshot, now time.Time) *Replica {
	r := &Replica{
		cfg:            cfg,
		state:          from.State,
		durableState:   from.State,
		role:           Follower,
		commit:         from.Snapshot.Index,
		delivered:      from.Snapshot.Index,
		latestSnapshot: latest,
	}
	r.log.reset(from.Snapshot.Index, from.Snapshot.Term)
	r.log.append(from.Entries)
	r.synced = r.log.lastIndex()
	r.commit = max(r.commit, min(from.Commit, r.synced))
	r.initialMembers = cfg.InitialMembers
	if len(r.initialMembers) == 0 {
		for _, id := range cfg.InitialVoters {
			r.initialMembers = append(r.initialMembers, Member{ID: id})
		}
	}
	r.baseMembers = r.initialMembers
	if len(from.Snapshot.Members) > 0 {
		r.baseMembers = from.Snapshot.Members
	}
	r.updateMembers(now)
	r.leaderContact = now // the leader may hold a lease that this replica granted before its restart
	// The whole group may have restarted. Candidates that meet retry soon.
	r.electionDeadline = now.Add(cfg.ElectionTimeout + r.jitter(2*cfg.Heartbeat))
	if len(r.peers) == 0 {
		r.electionDeadline = now
	}
	return r
}

// updateMembers sets the members to the latest ones in the log.
func (r *Replica) updateMembers(now time.Time) {
	members, at := r.baseMembers, uint64(0)
	for i := len(r.log.entries) - 1; i >= 0; i-- {
		if e := r.log.entries[i]; e.Kind == KindMembers {
			members, at = e.Members, e.Index
			break
		}
	}
	r.members, r.membersIndex = members, at
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
			r.progress[id] = &progress{next: r.log.lastIndex() + 1, acked: now}
		}
	}
	for id := range r.progress {
		if _, ok := r.findMember(id); !ok {
			delete(r.progress, id)
		}
	}
}

func (r *Replica) findMember(id ID) (Member, bool) {
	for _, m := range r.members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

func (r *Replica) isVoter(id ID) bool {
	m, ok := r.findMember(id)
	return ok && !m.Learner
}

// Members returns the latest members in the log. The caller must not modify
// the slice.
func (r *Replica) Members() []Member { return r.members }

// MemberProgress is a leader's replication state for another member.
type MemberProgress struct {
	Member
	Match uint64    // highest index known to be synced on the member
	Acked time.Time // when the latest message that the member answered was sent
}

// Progress returns the replication state of the other members, or nil if this
// replica is not the leader.
func (r *Replica) Progress() []MemberProgress {
	if r.role != Leader {
		return nil
	}
	out := make([]MemberProgress, 0, len(r.peers))
	for _, m := range r.members {
		if p := r.progress[m.ID]; p != nil {
			out = append(out, MemberProgress{Member: m, Match: p.match, Acked: p.acked})
		}
	}
	return out
}

// ProposeMembers changes the members, one change at a time. It fails until the
// previous change is committed and this leader has committed an entry of its
// own term. The caller ensures that the majorities of two successive sets
// overlap.
func (r *Replica) ProposeMembers(now time.Time, members []Member) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if r.transferee != "" {
		return ErrTransferring
	}
	if r.membersIndex > r.commit || r.log.termAt(r.commit) != r.state.Term {
		return ErrMemberChangePending
	}
	r.appendLocal([]Entry{{
		Index:   r.log.lastIndex() + 1,
		Term:    r.state.Term,
		Kind:    KindMembers,
		Time:    now,
		Members: append([]Member(nil), members...),
	}})
	r.updateMembers(now)
	r.replicateToAll(now)
	return nil
}

// Role returns the current role.
func (r *Replica) Role() Role { return r.role }

// Leader returns the known leader of the current term, or "".
func (r *Replica) Leader() ID { return r.leader }

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.state.Term }

// Commit returns the highest committed index.
func (r *Replica) Commit() uint64 { return r.commit }

// LastIndex returns the index of the last log entry.
func (r *Replica) LastIndex() uint64 { return r.log.lastIndex() }

// LogSize returns the number of entries in the log after the snapshot.
func (r *Replica) LogSize() int { return len(r.log.entries) }

// LogBytes returns the bytes of the data of the log's entries in memory.
func (r *Replica) LogBytes() int64 { return r.log.bytes }

// RetainedFrom returns the lowest index from which the entries up to index hold at
// most limit bytes. The log has the entries after it.
func (r *Replica) RetainedFrom(index uint64, limit int64) uint64 {
	for ; index > r.log.base && index <= r.log.lastIndex(); index-- {
		if limit -= int64(len(r.log.entries[index-r.log.base-1].Data)); limit < 0 {
			break
		}
	}
	return index
}

// HoldsLease reports whether this replica is the only possible leader at now
// and knows the commit of every entry that earlier leaders committed. The
// result is correct if clocks drift by less than 1/leaseDriftDivisor.
func (r *Replica) HoldsLease(now time.Time) bool {
	if r.role != Leader || r.transferee != "" {
		return false
	}
	if r.log.termAt(r.commit) != r.state.Term {
		return false
	}
	length := r.cfg.ElectionTimeout - r.cfg.ElectionTimeout/leaseDriftDivisor
	return now.Before(r.quorumContact(now).Add(length))
}

// HasRecentContact reports whether this replica's state is recent enough to
// serve views. A leader must hold its lease; a follower must know a leader and
// have had contact within quorumLossFactor election timeouts.
func (r *Replica) HasRecentContact(now time.Time) bool {
	if r.role == Leader {
		return r.HoldsLease(now)
	}
	return r.leader != "" && now.Sub(r.leaderContact) < quorumLossFactor*r.cfg.ElectionTimeout
}

// SinceLeaderContact returns the time since the latest leader contact, or 0 if
// this replica is the leader.
func (r *Replica) SinceLeaderContact(now time.Time) time.Duration {
	if r.role == Leader {
		return 0
	}
	return now.Sub(r.leaderContact)
}

// Propose appends commands to the log and returns the index of the first. logTime
// is the time that the entries carry. The entries are sent to the followers with
// the next write, or with the next tick if a write takes long, so that proposals
// of one write share messages.
func (r *Replica) Propose(now, logTime time.Time, data [][]byte) (uint64, error) {
	if r.role != Leader {
		return 0, ErrNotLeader
	}
	if r.transferee != "" {
		return 0, ErrTransferring
	}
	first := r.log.lastIndex() + 1
	entries := make([]Entry, 0, len(data))
	for i, d := range data {
		entries = append(entries, Entry{
			Index: first + uint64(i),
			Term:  r.state.Term,
			Kind:  KindCommand,
			Time:  logTime,
			Data:  d,
		})
	}
	r.appendLocal(entries)
	r.proposed, r.proposedAt = true, now
	return first, nil
}

// TransferLeadership starts to transfer leadership to the voter with the
// highest synced index.
func (r *Replica) TransferLeadership(now time.Time) error {
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
		return ErrNoTransferee
	}
	r.transferee = best
	r.transferStartedAt = now
	r.replicateTo(now, best)
	r.maybeFinishTransfer()
	return nil
}

// Tick starts elections, sends heartbeats and checks the quorum.
func (r *Replica) Tick(now time.Time) {
	if r.role == Leader {
		r.tickLeader(now)
		return
	}
	switch {
	case !now.Before(r.electionDeadline) && r.isVoter(r.cfg.ID):
		r.startElection(now, true, false)
	case r.role == PreCandidate && !now.Before(r.nextVoteRequest):
		// A voter that restarted rejects all requests for an election timeout, and
		// messages are lost until the connections are open.
		r.requestVotes(now, r.state.Term+1, VoteRequest{PreVote: true})
	}
}

func (r *Replica) tickLeader(now time.Time) {
	if r.transferee != "" && now.Sub(r.transferStartedAt) >= r.cfg.ElectionTimeout {
		// The follower may still act on TimeoutNow, so this leader cannot
		// resume its lease in this term.
		r.becomeFollower(now, r.state.Term, "")
		return
	}
	if r.quorum() > 1 {
		stepDownAt := r.quorumContact(now).Add(quorumLossFactor * r.cfg.ElectionTimeout)
		if !now.Before(stepDownAt) {
			r.becomeFollower(now, r.state.Term, "")
			return
		}
	}
	r.replicateProposed()
	r.replicateCommit(now)
	if now.Sub(r.lastHeartbeat) >= r.cfg.Heartbeat {
		r.lastHeartbeat = now
		for _, id := range r.peers {
			r.sendHeartbeat(now, id)
		}
	}
}

// DurableWrite describes what a write has made durable.
type DurableWrite struct {
	State *HardState // nil if the write did not include it
	Index uint64     // last entry of the write or of its snapshot; 0 if there was neither
	Term  uint64     // term of that entry
}

// DurableWrite returns what is durable once this Ready has been written and
// synced.
func (r *Ready) DurableWrite() DurableWrite {
	d := DurableWrite{State: r.State}
	if s := r.Snapshot; s != nil {
		d.Index, d.Term = s.Index, s.Term
	}
	if n := len(r.Entries); n > 0 {
		d.Index, d.Term = r.Entries[n-1].Index, r.Entries[n-1].Term
	}
	return d
}

// RecordSynced records that a write is synced. Entries that were replaced
// during the write do not count as synced.
func (r *Replica) RecordSynced(d DurableWrite) {
	if d.State != nil {
		r.durableState = *d.State
	}
	if d.Index > r.synced && r.log.termAt(d.Index) == d.Term {
		r.synced = d.Index
	}
	if r.role == Leader {
		r.advanceCommit()
	}
}

// Ready returns all outstanding work and clears it. It must not be called
// during a write.
func (r *Replica) Ready() Ready {
	r.replicateProposed()
	out := r.ReadyDuringWrite()
	out.AfterSync = r.afterSync
	out.Entries = r.unsynced
	out.Commit = r.commit
	out.Snapshot = r.pendingSnapshot
	if r.stateDirty {
		s := r.state
		out.State = &s
	}
	r.afterSync, r.unsynced, r.pendingSnapshot, r.stateDirty = nil, nil, nil, false
	return out
}

// ReadyDuringWrite returns the outstanding work that does not depend on a
// write: Immediate messages and committed entries. It may be called during a
// write.
func (r *Replica) ReadyDuringWrite() Ready {
	out := Ready{Immediate: r.immediate}
	r.immediate = nil
	// Entries after a snapshot can be applied only after the snapshot.
	if r.commit > r.delivered && r.pendingSnapshot == nil {
		out.Committed = r.log.slice(r.delivered+1, r.commit+1)
		r.delivered = r.commit
	}
	return out
}

// Compact drops the log entries up to and including index, which a snapshot on
// disk includes.
func (r *Replica) Compact(index uint64) {
	if index > r.delivered {
		index = r.delivered
	}
	for i := len(r.log.entries) - 1; i >= 0; i-- {
		if e := r.log.entries[i]; e.Kind == KindMembers && e.Index <= index {
			r.baseMembers = e.Members
			break
		}
	}
	r.log.compact(index)
}

// quorum returns the number of voters that form a majority.
func (r *Replica) quorum() int {
	voters := 0
	for _, m := range r.members {
		if !m.Learner {
			voters++
		}
	}
	return voters/2 + 1
}

// quorumContact returns the latest time at which a quorum is known to have
// accepted this leader. The leader counts if it is a voter.
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
	r.electionDeadline = now.Add(r.cfg.ElectionTimeout + r.jitter(r.cfg.ElectionTimeout))
}

// jitter returns a random duration below limit.
func (r *Replica) jitter(limit time.Duration) time.Duration {
	return time.Duration(r.cfg.Rand.Int64N(int64(max(limit, 1))))
}

func (r *Replica) setHardState(term uint64, vote ID) {
	if r.state.Term == term && r.state.Vote == vote {
		return
	}
	r.state = HardState{Term: term, Vote: vote}
	r.stateDirty = true
}

func (r *Replica) becomeFollower(now time.Time, term uint64, leader ID) {
	if term > r.state.Term {
		r.setHardState(term, "")
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
		r.progress[id] = &progress{next: r.log.lastIndex() + 1, acked: now}
	}
	r.appendLocal([]Entry{{
		Index: r.log.lastIndex() + 1,
		Term:  r.state.Term,
		Kind:  KindBarrier,
		Time:  now,
	}})
	r.lastHeartbeat = now
	r.replicateToAll(now)
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

// advanceCommit commits the highest index that a quorum has synced, if that
// entry is of the current term. This leader counts with its synced index.
func (r *Replica) advanceCommit() {
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
	if index <= r.commit || r.log.termAt(index) != r.state.Term {
		return
	}
	r.commit = index
}

// EntriesAfter returns the log entries after index. It returns nil if there are
// none or if the log no longer has all of them.
func (r *Replica) EntriesAfter(index uint64) []Entry {
	if index < r.log.base || index >= r.log.lastIndex() {
		return nil
	}
	return r.log.slice(index+1, r.log.lastIndex()+1)
}
