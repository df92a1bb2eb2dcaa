package replica

import "time"

// progress is a leader's replication state for one follower.
//
// Entries are sent once, in order, and as far as the window allows. A follower that
// lacks the entries before a message rejects it, which shows a loss. Until the
// follower has accepted a message after the correction, only messages without
// entries are sent.
type progress struct {
	match       uint64            // highest index known to be synced on the follower
	next        uint64            // next index to send; above match
	acked       time.Time         // Sent time of the latest message that the follower answered
	advancedAt  time.Time         // when match advanced last, or the oldest entry in flight was sent
	inflight    []inflightAppend  // sent and not acknowledged, in order
	bytes       int               // entry data in flight
	sentCommit  uint64            // highest commit index that a message has carried to the follower
	probing     bool              // next is a guess after a rejection
	correctedAt time.Time         // of the latest rejection; answers to earlier messages are out of date
	snapshot    *outgoingSnapshot // transfer in progress; nil if none
}

// inflightAppend is an Append that the follower has not acknowledged.
type inflightAppend struct {
	last  uint64 // index of its last entry
	bytes int    // of entry data
}

// outgoingSnapshot is a snapshot transfer to a follower.
type outgoingSnapshot struct {
	snap   Snapshot
	offset uint64    // start of the chunk in flight, in bytes
	sentAt time.Time // when that chunk was sent
}

// recordSent records that entries up to last are in flight.
func (p *progress) recordSent(now time.Time, last uint64, bytes int) {
	if len(p.inflight) == 0 {
		p.advancedAt = now
	}
	p.inflight = append(p.inflight, inflightAppend{last: last, bytes: bytes})
	p.bytes += bytes
	p.next = last + 1
}

// recordMatch records that the follower has synced the entries up to match.
func (p *progress) recordMatch(now time.Time, match uint64) {
	if match <= p.match {
		return
	}
	p.match, p.advancedAt = match, now
	for len(p.inflight) > 0 && p.inflight[0].last <= match {
		p.bytes -= p.inflight[0].bytes
		p.inflight = p.inflight[1:]
	}
	p.next = max(p.next, match+1)
}

// restartAt makes the entries from next on be sent again once the follower has
// accepted a message before them.
func (p *progress) restartAt(now time.Time, next uint64) {
	p.next, p.probing, p.correctedAt = max(next, p.match+1), true, now
	p.inflight, p.bytes = nil, 0
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
		r.handleRejection(now, m.From, p, a)
		return
	}
	if p.snapshot != nil {
		r.maybeFinishSnapshot(now, m.From, p, a)
		return
	}
	if !a.Sent.Before(p.correctedAt) {
		p.probing = false
	}
	if a.Match > p.match {
		p.recordMatch(now, a.Match)
		r.advanceCommit()
	}
	r.maybeFinishTransfer()
	r.replicateTo(now, m.From)
}

// handleRejection handles the answer of a follower that lacks the entries before a
// message.
func (r *Replica) handleRejection(now time.Time, from ID, p *progress, a AppendReply) {
	if a.Sent.Before(p.correctedAt) {
		return // answers a message that was sent before the latest correction
	}
	p.snapshot = nil
	p.restartAt(now, min(p.next, a.Match+1))
	if p.next <= r.log.base {
		r.replicateTo(now, from)
		return
	}
	r.sendAppend(now, from, p.next-1, nil)
}

// replicateToAll sends each follower what it may be sent now.
func (r *Replica) replicateToAll(now time.Time) {
	for _, id := range r.peers {
		r.replicateTo(now, id)
	}
}

// replicateProposed sends the followers the entries that were proposed since they
// were sent entries last.
func (r *Replica) replicateProposed() {
	if !r.proposed || r.role != Leader {
		return
	}
	r.proposed = false
	r.replicateToAll(r.proposedAt)
}

// replicateCommit tells the followers of a higher commit index that no entries have
// carried to them, at most once per commitInterval.
func (r *Replica) replicateCommit(now time.Time) {
	if now.Sub(r.lastCommitSent) < commitInterval {
		return
	}
	for _, id := range r.peers {
		p := r.progress[id]
		if p.sentCommit >= r.commit || p.probing || p.snapshot != nil || p.next <= r.log.base {
			continue
		}
		r.lastCommitSent = now
		r.sendAppend(now, id, p.next-1, nil)
	}
}

// replicateTo sends the follower its next entries, or the next chunk of a snapshot
// if the log no longer has its next entry. It returns false if there is nothing to
// send, or if the follower must answer first.
func (r *Replica) replicateTo(now time.Time, to ID) bool {
	p := r.progress[to]
	if p.snapshot != nil || p.next <= r.log.base {
		return r.sendSnapshotChunk(now, to, p)
	}
	if p.probing || p.bytes >= maxInflightBytes || p.next > r.log.lastIndex() {
		return false
	}
	entries, bytes := r.nextEntries(p.next)
	r.sendAppend(now, to, p.next-1, entries)
	p.recordSent(now, entries[len(entries)-1].Index, bytes)
	return true
}

// sendHeartbeat sends a message that the follower answers at once, even while it
// syncs. If entries in flight are not acknowledged for long, a second message follows
// them, so that the follower rejects it if they were lost. It is no substitute for the
// first: a follower with a slow disk answers it only after the sync.
func (r *Replica) sendHeartbeat(now time.Time, to ID) {
	p := r.progress[to]
	if p.snapshot != nil || p.next <= r.log.base {
		r.sendSnapshotChunk(now, to, p)
		return
	}
	if p.probing || len(p.inflight) == 0 {
		r.sendAppend(now, to, p.next-1, nil)
		return
	}
	r.sendAppend(now, to, max(p.match, r.log.base), nil)
	if now.Sub(p.advancedAt) >= r.resendInterval() {
		r.sendAppend(now, to, p.next-1, nil)
	}
}

// resendInterval returns the time after which a message without an answer counts as
// lost.
func (r *Replica) resendInterval() time.Duration { return r.cfg.ElectionTimeout / resendDivisor }

func (r *Replica) sendAppend(now time.Time, to ID, prev uint64, entries []Entry) {
	p := r.progress[to]
	p.sentCommit = max(p.sentCommit, min(r.commit, prev+uint64(len(entries))))
	r.queueMessage(to, r.state.Term, Append{
		PrevIndex: prev,
		PrevTerm:  r.log.termAt(prev),
		Commit:    r.commit,
		Sent:      now,
		Entries:   entries,
	}, false)
}

// nextEntries returns the entries from an index on, up to the size limit of one
// Append, and the size of their data.
func (r *Replica) nextEntries(from uint64) (entries []Entry, bytes int) {
	end := from
	for ; end <= r.log.lastIndex() && bytes < maxAppendBytes; end++ {
		bytes += len(r.log.entries[end-r.log.base-1].Data)
	}
	return r.log.slice(from, end), bytes
}

// sendSnapshotChunk sends the next chunk of the snapshot transfer and starts the
// transfer if there is none. It returns false if the chunk is in flight.
func (r *Replica) sendSnapshotChunk(now time.Time, to ID, p *progress) bool {
	if p.snapshot == nil {
		p.snapshot = &outgoingSnapshot{snap: r.latestSnapshot()}
	}
	s := p.snapshot
	if !s.sentAt.IsZero() && now.Sub(s.sentAt) < r.resendInterval() {
		return false
	}
	s.sentAt = now
	end := min(s.offset+snapshotChunkBytes, uint64(len(s.snap.Data)))
	r.queueMessage(to, r.state.Term, InstallSnapshot{
		Index:  s.snap.Index,
		Term:   s.snap.Term,
		Offset: s.offset,
		Last:   end == uint64(len(s.snap.Data)),
		Data:   s.snap.Data[s.offset:end],
		Sent:   now,

		Members: s.snap.Members,
	}, false)
	return true
}

// maybeFinishSnapshot ends the snapshot transfer and resumes sending entries once
// the reply's Match shows that the follower has installed the snapshot.
func (r *Replica) maybeFinishSnapshot(now time.Time, to ID, p *progress, a AppendReply) {
	if a.Match < p.snapshot.snap.Index {
		return
	}
	match := max(a.Match, p.match)
	*p = progress{match: match, next: match + 1, acked: p.acked, advancedAt: now, correctedAt: p.correctedAt}
	r.advanceCommit()
	r.replicateTo(now, to)
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
		return // duplicate reply; the chunk is sent again after the resend interval
	}
	p.snapshot.offset = min(s.Received, uint64(len(p.snapshot.snap.Data)))
	p.snapshot.sentAt = time.Time{}
	r.sendSnapshotChunk(now, m.From, p)
}
