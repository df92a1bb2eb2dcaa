package replica

import (
	"fmt"
	"time"
)

// Step takes in one message from another replica.
func (r *Replica) Step(now time.Time, m Message) {
	if m.To != r.cfg.ID {
		return // meant for a replica that was at this address before
	}
	if req, ok := m.Body.(VoteRequest); ok {
		r.stepVoteRequest(now, m, req)
		return
	}
	if m.Term > r.state.Term && !r.preVoteAnswer(m) {
		r.becomeFollower(now, m.Term, "")
	}
	switch b := m.Body.(type) {
	case VoteReply:
		r.stepVoteReply(now, m, b)
	case Append:
		r.stepAppend(now, m, b)
	case AppendReply:
		r.stepAppendReply(now, m, b)
	case InstallSnapshot:
		r.stepInstall(now, m, b)
	case SnapshotProgress:
		r.stepSnapshotProgress(now, m, b)
	case TimeoutNow:
		if m.Term == r.state.Term && r.role == Follower {
			r.startElection(now, false, true)
		}
	default:
		panic(fmt.Sprintf("replica: unexpected message body %T", b))
	}
}

// preVoteAnswer reports whether m is a granted pre-vote, whose term is the
// one that the election would have and not one that anybody is in.
func (r *Replica) preVoteAnswer(m Message) bool {
	v, ok := m.Body.(VoteReply)
	return ok && v.Pre && v.Granted
}

func (r *Replica) post(to ID, term uint64, body Body, late bool) {
	m := Message{From: r.cfg.ID, To: to, Term: term, Body: body}
	if late {
		r.late = append(r.late, m)
		return
	}
	r.early = append(r.early, m)
}

func (r *Replica) startElection(now time.Time, pre, transfer bool) {
	term := r.state.Term + 1
	r.leader = ""
	r.role = PreCandidate
	if !pre {
		r.role = Candidate
		r.setTerm(term, r.cfg.ID)
	}
	r.votes = map[ID]bool{r.cfg.ID: true}
	r.resetDeadline(now)
	for _, id := range r.peers {
		if !r.isVoter(id) {
			continue
		}
		r.post(id, term, VoteRequest{
			Pre:       pre,
			Transfer:  transfer,
			LastIndex: r.log.last(),
			LastTerm:  r.log.term(r.log.last()),
		}, true)
	}
	r.countVotes(now)
}

func (r *Replica) countVotes(now time.Time) {
	granted := 0
	for id, ok := range r.votes {
		if ok && r.isVoter(id) {
			granted++
		}
	}
	if granted < r.quorum() {
		return
	}
	if r.role == PreCandidate {
		r.startElection(now, false, false)
		return
	}
	r.becomeLeader(now)
}

// stepVoteRequest refuses while a leader was heard within the election
// timeout, since that leader may still hold a lease.
func (r *Replica) stepVoteRequest(now time.Time, m Message, req VoteRequest) {
	leased := r.role == Leader || now.Sub(r.contact) < r.cfg.ElectionTimeout
	if leased && !req.Transfer {
		if m.Term > r.state.Term || !req.Pre {
			r.post(m.From, r.state.Term, VoteReply{Pre: req.Pre}, true)
		}
		return
	}
	if !req.Pre && m.Term > r.state.Term {
		r.becomeFollower(now, m.Term, "")
	}
	last := r.log.last()
	lastTerm := r.log.term(last)
	current := req.LastTerm > lastTerm || (req.LastTerm == lastTerm && req.LastIndex >= last)
	if req.Pre {
		granted := current && m.Term > r.state.Term
		term := r.state.Term
		if granted {
			term = m.Term
		}
		r.post(m.From, term, VoteReply{Pre: true, Granted: granted}, true)
		return
	}
	free := r.state.Vote == "" || r.state.Vote == m.From
	granted := m.Term == r.state.Term && free && current && r.role == Follower
	if granted {
		r.setTerm(r.state.Term, m.From)
		r.resetDeadline(now)
	}
	r.post(m.From, r.state.Term, VoteReply{Granted: granted}, true)
}

func (r *Replica) stepVoteReply(now time.Time, m Message, v VoteReply) {
	switch {
	case v.Pre && r.role == PreCandidate:
		if v.Granted && m.Term != r.state.Term+1 {
			return
		}
	case !v.Pre && r.role == Candidate:
		if m.Term != r.state.Term {
			return
		}
	default:
		return
	}
	r.votes[m.From] = v.Granted
	r.countVotes(now)
}

// hear notes a message of the present term's leader.
func (r *Replica) hear(now time.Time, from ID) {
	if r.role != Follower {
		r.becomeFollower(now, r.state.Term, from)
	}
	r.leader = from
	r.contact = now
	r.resetDeadline(now)
}

func (r *Replica) stepAppend(now time.Time, m Message, a Append) {
	if m.Term < r.state.Term {
		r.post(m.From, r.state.Term, AppendReply{Rejected: true, Match: r.log.last()}, true)
		return
	}
	r.hear(now, m.From)
	reply := AppendReply{Sent: a.Sent}
	if a.PrevIndex < r.log.base {
		// Everything up to the snapshot is committed, so it agrees.
		reply.Match = r.log.base
		r.post(m.From, r.state.Term, reply, true)
		return
	}
	if a.PrevIndex > r.log.last() || r.log.term(a.PrevIndex) != a.PrevTerm {
		reply.Rejected = true
		reply.Match = r.conflictHint(a.PrevIndex)
		r.post(m.From, r.state.Term, reply, true)
		return
	}
	r.acceptEntries(now, a.Entries)
	reply.Match = a.PrevIndex + uint64(len(a.Entries))
	if c := min(a.Commit, reply.Match); c > r.commit {
		r.commit = c
	}
	// What is durable already can be confirmed while a write is under way, so
	// that a slow disk does not look like a dead replica.
	late := reply.Match > r.synced || r.durable != r.state
	r.post(m.From, r.state.Term, reply, late)
}

// acceptEntries appends the entries that the log does not hold yet. It drops
// the log's end only where a term differs, since a late message may carry a
// prefix of what is held.
func (r *Replica) acceptEntries(now time.Time, entries []Entry) {
	for i, e := range entries {
		if e.Index <= r.log.last() && r.log.term(e.Index) == e.Term {
			continue
		}
		if e.Index <= r.commit {
			panic(fmt.Sprintf("replica: leader would replace committed entry %d", e.Index))
		}
		cut := e.Index <= r.changedAt
		r.appendLocal(entries[i:])
		if cut || namesMembers(entries[i:]) {
			r.readMembers(now)
		}
		return
	}
}

func namesMembers(entries []Entry) bool {
	for _, e := range entries {
		if e.Kind == KindMembers {
			return true
		}
	}
	return false
}

// conflictHint returns an index before the whole term that disagrees, so that
// the leader skips one term a round and not one entry.
func (r *Replica) conflictHint(prev uint64) uint64 {
	index := min(prev, r.log.last()+1)
	if index <= r.log.base {
		return r.log.base
	}
	index--
	term := r.log.term(index)
	for index > r.log.base && index > r.commit && r.log.term(index) == term {
		index--
	}
	return max(index, min(r.commit, prev))
}

func (r *Replica) stepAppendReply(now time.Time, m Message, a AppendReply) {
	if r.role != Leader || m.Term != r.state.Term {
		return
	}
	p := r.progress[m.From]
	if p == nil {
		return // no longer a member
	}
	if a.Sent.After(p.acked) {
		p.acked = a.Sent
	}
	if a.Rejected {
		p.next = min(p.next, a.Match+1)
		p.next = max(p.next, p.match+1)
		p.snapshot = nil
		r.send(now, m.From)
		return
	}
	if p.snapshot != nil {
		r.continueSnapshot(now, m.From, p, a)
		return
	}
	if a.Match > p.match {
		p.match = a.Match
		p.next = max(p.next, a.Match+1)
		r.advanceCommit(now)
	}
	r.maybeFinishTransfer()
	if p.next <= r.log.last() {
		r.send(now, m.From)
	}
}

func (r *Replica) maybeFinishTransfer() {
	p := r.progress[r.transferee]
	if r.transferee == "" || p == nil || p.match != r.log.last() {
		return
	}
	r.post(r.transferee, r.state.Term, TimeoutNow{}, false)
}

// retry makes the next message start again after what is known to match.
func (p *progress) retry() {
	p.next = p.match + 1
}

func (r *Replica) sendAll(now time.Time) {
	for _, id := range r.peers {
		r.send(now, id)
	}
}

// send sends the follower its next entries, a heartbeat if there are none,
// or the next chunk of a snapshot.
func (r *Replica) send(now time.Time, to ID) {
	p := r.progress[to]
	if p.snapshot != nil || p.next <= r.log.base {
		r.sendSnapshot(now, to, p)
		return
	}
	prev := p.next - 1
	entries := r.batch(p.next)
	p.next += uint64(len(entries))
	r.post(to, r.state.Term, Append{
		PrevIndex: prev,
		PrevTerm:  r.log.term(prev),
		Commit:    r.commit,
		Sent:      now,
		Entries:   entries,
	}, false)
}

func (r *Replica) batch(from uint64) []Entry {
	end := from
	for size := 0; end <= r.log.last() && size < maxAppendBytes; end++ {
		size += len(r.log.entries[end-r.log.base-1].Data)
	}
	return r.log.slice(from, end)
}

func (r *Replica) sendSnapshot(now time.Time, to ID, p *progress) {
	if p.snapshot == nil {
		p.snapshot = &outgoingSnap{snap: r.snapshot()}
	}
	s := p.snapshot
	end := min(s.offset+snapshotChunk, uint64(len(s.snap.Data)))
	r.post(to, r.state.Term, InstallSnapshot{
		Index:  s.snap.Index,
		Term:   s.snap.Term,
		Offset: s.offset,
		Last:   end == uint64(len(s.snap.Data)),
		Data:   s.snap.Data[s.offset:end],
		Sent:   now,

		Members: s.snap.Members,
	}, false)
}

// continueSnapshot returns to sending entries once the follower has installed
// the snapshot, which its Match tells.
func (r *Replica) continueSnapshot(now time.Time, to ID, p *progress, a AppendReply) {
	s := p.snapshot
	if a.Match >= s.snap.Index {
		p.match = max(p.match, s.snap.Index)
		p.next = p.match + 1
		p.snapshot = nil
		r.send(now, to)
	}
}

func (r *Replica) stepInstall(now time.Time, m Message, s InstallSnapshot) {
	if m.Term < r.state.Term {
		r.post(m.From, r.state.Term, AppendReply{Rejected: true, Match: r.log.last()}, true)
		return
	}
	r.hear(now, m.From)
	if r.log.term(s.Index) == s.Term {
		// The log has all that the snapshot includes. It may also have more,
		// which the leader may count on, so the log stays.
		r.commit = max(r.commit, s.Index)
	}
	if s.Index <= r.commit {
		r.post(m.From, r.state.Term, AppendReply{Match: s.Index, Sent: s.Sent}, true)
		return
	}
	if r.incoming == nil || r.incoming.index != s.Index || r.incoming.term != s.Term {
		r.incoming = &incomingSnap{index: s.Index, term: s.Term, members: s.Members}
	}
	in := r.incoming
	if s.Offset == uint64(len(in.data)) {
		in.data = append(in.data, s.Data...)
	}
	if !s.Last || s.Offset+uint64(len(s.Data)) != uint64(len(in.data)) {
		r.post(m.From, r.state.Term, SnapshotProgress{Index: s.Index, Received: uint64(len(in.data)), Sent: s.Sent}, true)
		return
	}
	r.install(now, in)
	r.post(m.From, r.state.Term, AppendReply{Match: s.Index, Sent: s.Sent}, true)
}

func (r *Replica) install(now time.Time, in *incomingSnap) {
	r.incoming = nil
	r.installed = &Snapshot{Index: in.index, Term: in.term, Data: in.data, Members: in.members}
	r.log.reset(in.index, in.term)
	r.baseMembers = r.founders
	if len(in.members) > 0 {
		r.baseMembers = in.members
	}
	r.readMembers(now)
	r.unsynced = nil
	r.commit = in.index
	r.handedOut = in.index
	r.synced = in.index
}

func (r *Replica) stepSnapshotProgress(now time.Time, m Message, s SnapshotProgress) {
	if r.role != Leader || m.Term != r.state.Term {
		return
	}
	p := r.progress[m.From]
	if p == nil {
		return
	}
	if s.Sent.After(p.acked) {
		p.acked = s.Sent
	}
	if p.snapshot == nil || p.snapshot.snap.Index != s.Index {
		return
	}
	if s.Received == p.snapshot.offset {
		return // a repeated reply; the heartbeat sends the chunk again
	}
	p.snapshot.offset = min(s.Received, uint64(len(p.snapshot.snap.Data)))
	r.sendSnapshot(now, m.From, p)
}
