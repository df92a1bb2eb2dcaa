package replica

import "fmt"

// checkMessage returns an error for a message that no correct replica sends. Such a
// message comes from a faulty process, from a replica of another group or from one
// whose disk has lost what it had acknowledged.
func (r *Replica) checkMessage(m Message) error {
	switch b := m.Body.(type) {
	case VoteRequest, VoteReply, SnapshotProgress, TimeoutNow:
		return nil
	case Append:
		if m.Term < r.state.Term {
			return nil // a deposed leader's entries may contradict the log; the message is rejected
		}
		if err := r.checkSender(m); err != nil {
			return err
		}
		return r.checkEntries(m.Term, b)
	case AppendReply:
		if r.role == Leader && m.Term == r.state.Term && !b.Rejected && b.Match > r.log.lastIndex() {
			return fmt.Errorf("replica %q acknowledged entry %d, the log ends at %d", m.From, b.Match, r.log.lastIndex())
		}
		return nil
	case InstallSnapshot:
		if b.Index == 0 || b.Term == 0 || b.Term > m.Term {
			return fmt.Errorf("a snapshot of entry %d, term %d was sent in term %d", b.Index, b.Term, m.Term)
		}
		return r.checkSender(m)
	default:
		return fmt.Errorf("unexpected message body %T", b)
	}
}

// checkSender returns an error if the sender claims this replica's leadership.
func (r *Replica) checkSender(m Message) error {
	if r.role == Leader && m.Term == r.state.Term {
		return fmt.Errorf("replica %q claims to lead term %d, which this replica leads", m.From, m.Term)
	}
	return nil
}

// checkEntries checks that the entries follow each other and the previous one, that
// their terms are possible, and that they leave committed entries as they are.
func (r *Replica) checkEntries(term uint64, a Append) error {
	lastTerm := a.PrevTerm
	for i, e := range a.Entries {
		switch {
		case e.Index == 0 || e.Index != a.PrevIndex+uint64(i)+1:
			return fmt.Errorf("entry %d is number %d after entry %d", e.Index, i+1, a.PrevIndex)
		case e.Term < lastTerm || e.Term > term:
			return fmt.Errorf("entry %d is of term %d, expected %d to %d", e.Index, e.Term, lastTerm, term)
		case e.Kind < KindCommand || e.Kind > KindMembers:
			return fmt.Errorf("entry %d is of the unknown kind %d", e.Index, e.Kind)
		case e.Kind == KindMembers && !hasVoter(e.Members):
			return fmt.Errorf("entry %d lists no member that votes", e.Index)
		case e.Index > r.log.base && e.Index <= r.commit && e.Term != r.log.termAt(e.Index):
			return fmt.Errorf("entry %d of term %d would replace a committed one of term %d", e.Index, e.Term, r.log.termAt(e.Index))
		}
		lastTerm = e.Term
	}
	return nil
}

func hasVoter(members []Member) bool {
	for _, m := range members {
		if !m.Learner {
			return true
		}
	}
	return false
}
