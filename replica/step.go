package replica

import "time"

// Step processes one message from another replica. It returns an error for a message
// that no correct replica sends, and ignores the message then.
func (r *Replica) Step(now time.Time, m Message) error {
	if m.To != r.cfg.ID {
		return nil // addressed to an earlier replica at this address
	}
	if err := r.checkMessage(m); err != nil {
		return err
	}
	if req, ok := m.Body.(VoteRequest); ok {
		r.stepVoteRequest(now, m, req)
		return nil
	}
	if m.Term > r.state.Term && !r.isGrantedPreVote(m) {
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
		r.stepInstallSnapshot(now, m, b)
	case SnapshotProgress:
		r.stepSnapshotProgress(now, m, b)
	case TimeoutNow:
		if m.Term == r.state.Term && r.role == Follower {
			r.startElection(now, false, true)
		}
	}
	return nil
}

// isGrantedPreVote reports whether m grants a pre-vote. The term of such a
// message is that of the proposed election, which no replica has entered yet.
func (r *Replica) isGrantedPreVote(m Message) bool {
	v, ok := m.Body.(VoteReply)
	return ok && v.PreVote && v.Granted
}

// queueMessage adds a message to the next Ready: to AfterSync if afterSync is
// set, else to Immediate.
func (r *Replica) queueMessage(to ID, term uint64, body Body, afterSync bool) {
	m := Message{From: r.cfg.ID, To: to, Term: term, Body: body}
	if afterSync {
		r.afterSync = append(r.afterSync, m)
		return
	}
	r.immediate = append(r.immediate, m)
}

// startElection starts a pre-vote if pre is set, else an election. transfer
// states that the leader requested the election.
func (r *Replica) startElection(now time.Time, pre, transfer bool) {
	term := r.state.Term + 1
	r.leader = ""
	r.role = PreCandidate
	if !pre {
		r.role = Candidate
		r.setHardState(term, r.cfg.ID)
	}
	r.votes = map[ID]bool{r.cfg.ID: true}
	r.resetDeadline(now)
	r.requestVotes(now, term, VoteRequest{PreVote: pre, Transfer: transfer})
	r.countVotes(now)
}

// requestVotes asks the voters that have not granted a vote in this election.
func (r *Replica) requestVotes(now time.Time, term uint64, req VoteRequest) {
	r.nextVoteRequest = now.Add(r.cfg.Heartbeat/2 + r.jitter(r.cfg.Heartbeat))
	req.LastIndex = r.log.lastIndex()
	req.LastTerm = r.log.termAt(req.LastIndex)
	for _, id := range r.peers {
		if r.isVoter(id) && !r.votes[id] {
			r.queueMessage(id, term, req, true)
		}
	}
}

// countVotes starts the election after a won pre-vote, and becomes leader after
// a won election.
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

// retrySoon advances the next attempt of a candidate that was rejected: it competes
// with another one, and voters that are lost never answer. Candidates that split the
// votes retry at different times.
func (r *Replica) retrySoon(now time.Time) {
	if next := now.Add(r.cfg.Heartbeat/2 + r.jitter(2*r.cfg.Heartbeat)); next.Before(r.electionDeadline) {
		r.electionDeadline = next
	}
}

// stepVoteRequest rejects a request if this replica leads or has had leader
// contact within the election timeout, since the leader may still hold a lease.
// An election that the leader requested is exempt.
func (r *Replica) stepVoteRequest(now time.Time, m Message, req VoteRequest) {
	leased := r.role == Leader || now.Sub(r.leaderContact) < r.cfg.ElectionTimeout
	if leased && !req.Transfer {
		if m.Term > r.state.Term || !req.PreVote {
			r.queueMessage(m.From, r.state.Term, VoteReply{PreVote: req.PreVote}, true)
		}
		return
	}
	if !req.PreVote && m.Term > r.state.Term {
		r.becomeFollower(now, m.Term, "")
	}
	last := r.log.lastIndex()
	lastTerm := r.log.termAt(last)
	upToDate := req.LastTerm > lastTerm || (req.LastTerm == lastTerm && req.LastIndex >= last)
	if req.PreVote {
		granted := upToDate && m.Term > r.state.Term
		term := r.state.Term
		if granted {
			term = m.Term
		}
		r.queueMessage(m.From, term, VoteReply{PreVote: true, Granted: granted}, true)
		return
	}
	voteAvailable := r.state.Vote == "" || r.state.Vote == m.From
	granted := m.Term == r.state.Term && voteAvailable && upToDate && r.role == Follower
	if granted {
		r.setHardState(r.state.Term, m.From)
		r.resetDeadline(now)
	}
	r.queueMessage(m.From, r.state.Term, VoteReply{Granted: granted}, true)
}

func (r *Replica) stepVoteReply(now time.Time, m Message, v VoteReply) {
	switch {
	case v.PreVote && r.role == PreCandidate:
		if v.Granted && m.Term != r.state.Term+1 {
			return
		}
	case !v.PreVote && r.role == Candidate:
		if m.Term != r.state.Term {
			return
		}
	default:
		return
	}
	r.votes[m.From] = v.Granted
	if !v.Granted && r.role == Candidate {
		r.retrySoon(now)
	}
	r.countVotes(now)
}

// recordLeaderContact records a message of the current term's leader and resets
// the election deadline.
func (r *Replica) recordLeaderContact(now time.Time, from ID) {
	if r.role != Follower {
		r.becomeFollower(now, r.state.Term, from)
	}
	r.leader = from
	r.leaderContact = now
	r.resetDeadline(now)
}

func (r *Replica) stepAppend(now time.Time, m Message, a Append) {
	if m.Term < r.state.Term {
		r.queueMessage(m.From, r.state.Term, AppendReply{Rejected: true, Match: r.log.lastIndex()}, true)
		return
	}
	r.recordLeaderContact(now, m.From)
	reply := AppendReply{Sent: a.Sent}
	if a.PrevIndex < r.log.base {
		// Entries up to the snapshot are committed, so they match.
		reply.Match = r.log.base
		r.queueMessage(m.From, r.state.Term, reply, true)
		return
	}
	if a.PrevIndex > r.log.lastIndex() || r.log.termAt(a.PrevIndex) != a.PrevTerm {
		reply.Rejected = true
		reply.Match = r.conflictHint(a.PrevIndex)
		r.queueMessage(m.From, r.state.Term, reply, true)
		return
	}
	r.acceptEntries(now, a.Entries)
	reply.Match = a.PrevIndex + uint64(len(a.Entries))
	if c := min(a.Commit, reply.Match); c > r.commit {
		r.commit = c
	}
	// Entries that are already durable are acknowledged during a write, so that
	// a slow disk is not mistaken for a failed replica.
	afterSync := reply.Match > r.synced || r.durableState != r.state
	r.queueMessage(m.From, r.state.Term, reply, afterSync)
}

// acceptEntries appends the entries that the log lacks. It truncates the log
// only where a term differs, since a delayed message may carry a prefix of what
// the log has.
func (r *Replica) acceptEntries(now time.Time, entries []Entry) {
	for i, e := range entries {
		if e.Index <= r.log.lastIndex() && r.log.termAt(e.Index) == e.Term {
			continue
		}
		membersReplaced := e.Index <= r.membersIndex
		r.appendLocal(entries[i:])
		if membersReplaced || hasMembersEntry(entries[i:]) {
			r.updateMembers(now)
		}
		return
	}
}

func hasMembersEntry(entries []Entry) bool {
	for _, e := range entries {
		if e.Kind == KindMembers {
			return true
		}
	}
	return false
}

// conflictHint returns the index before the conflicting term's entries, so that
// the leader skips a whole term per rejection instead of one entry.
func (r *Replica) conflictHint(prev uint64) uint64 {
	index := min(prev, r.log.lastIndex()+1)
	if index <= r.log.base {
		return r.log.base
	}
	index--
	term := r.log.termAt(index)
	for index > r.log.base && index > r.commit && r.log.termAt(index) == term {
		index--
	}
	return max(index, min(r.commit, prev))
}

// maybeFinishTransfer sends TimeoutNow once the transferee has the complete log.
func (r *Replica) maybeFinishTransfer() {
	p := r.progress[r.transferee]
	if r.transferee == "" || p == nil || p.match != r.log.lastIndex() {
		return
	}
	r.queueMessage(r.transferee, r.state.Term, TimeoutNow{}, false)
}

func (r *Replica) stepInstallSnapshot(now time.Time, m Message, s InstallSnapshot) {
	if m.Term < r.state.Term {
		r.queueMessage(m.From, r.state.Term, AppendReply{Rejected: true, Match: r.log.lastIndex()}, true)
		return
	}
	r.recordLeaderContact(now, m.From)
	if r.log.termAt(s.Index) == s.Term {
		// The log includes the snapshot. The log stays, since the leader may
		// already count later entries in it as replicated.
		r.commit = max(r.commit, s.Index)
	}
	if s.Index <= r.commit {
		r.queueMessage(m.From, r.state.Term, AppendReply{Match: s.Index, Sent: s.Sent}, true)
		return
	}
	if r.incoming == nil || r.incoming.leaderTerm != m.Term || r.incoming.index != s.Index || r.incoming.term != s.Term {
		r.incoming = &incomingSnapshot{leaderTerm: m.Term, index: s.Index, term: s.Term, members: s.Members}
	}
	in := r.incoming
	if s.Offset == uint64(len(in.data)) {
		in.data = append(in.data, s.Data...)
	}
	if !s.Last || s.Offset+uint64(len(s.Data)) != uint64(len(in.data)) {
		r.queueMessage(m.From, r.state.Term, SnapshotProgress{Index: s.Index, Received: uint64(len(in.data)), Sent: s.Sent}, true)
		return
	}
	r.installSnapshot(now, in)
	r.queueMessage(m.From, r.state.Term, AppendReply{Match: s.Index, Sent: s.Sent}, true)
}

func (r *Replica) installSnapshot(now time.Time, in *incomingSnapshot) {
	r.incoming = nil
	r.pendingSnapshot = &Snapshot{Index: in.index, Term: in.term, Data: in.data, Members: in.members}
	r.log.reset(in.index, in.term)
	r.baseMembers = r.initialMembers
	if len(in.members) > 0 {
		r.baseMembers = in.members
	}
	r.updateMembers(now)
	r.unsynced = nil
	r.commit = in.index
	r.delivered = in.index
	r.synced = min(r.synced, in.index-1) // until the snapshot is written
}
