package control

import (
	"slices"
	"sync"
)

// Rotation gives each address of a list its turn. An address that stays on the list
// has one within as many turns as the list is long, however the list changes and
// whichever addresses answer. Each loop over the controllers has a rotation of its
// own: loops that share one may each meet the same addresses again and again.
//
// The zero value is ready to use. It is safe for concurrent use.
type Rotation struct {
	mu sync.Mutex
	// The addresses by their latest turn, the one longest ago first. New addresses are
	// at the end, so that a list that changes often holds up no address.
	queue []string
}

// next returns the address of the list whose turn it is and that is not excluded, or
// "" if all are excluded.
func (r *Rotation) next(addresses []string, isExcluded func(string) bool) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue = slices.DeleteFunc(r.queue, func(a string) bool { return !slices.Contains(addresses, a) })
	for _, a := range addresses {
		if !slices.Contains(r.queue, a) {
			r.queue = append(r.queue, a)
		}
	}
	for i, a := range r.queue {
		if !isExcluded(a) {
			r.queue = append(slices.Delete(r.queue, i, i+1), a)
			return a
		}
	}
	return ""
}

// recordTurn records that an address had a turn that next did not give it.
func (r *Rotation) recordTurn(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := slices.Index(r.queue, address); i >= 0 {
		r.queue = append(slices.Delete(r.queue, i, i+1), address)
	}
}

// leaderSearch chooses which controllers one call tries. In a pass over the addresses
// each one has its turn. Between two turns it follows a hint to the leader, also to an
// address that it has tried before: a leader that has not answered in time may only be slow.
// So a leader that this process can't reach, and that the others name, makes a pass twice as
// long at most.
type leaderSearch struct {
	client  *Client
	tried   map[string]bool // in this pass
	latest  string          // address of the latest attempt
	revisit bool            // the latest attempt was at an address that had been tried in this pass
}

func newLeaderSearch(c *Client) *leaderSearch {
	return &leaderSearch{client: c, tried: make(map[string]bool)}
}

// next returns the address of the next attempt. hint is the leader's address as the
// latest attempt has named it; empty if it has named none.
func (s *leaderSearch) next(hint string) string {
	address := s.choose(hint)
	s.tried[address], s.latest = true, address
	return address
}

func (s *leaderSearch) choose(hint string) string {
	if hint != "" && hint != s.latest && !(s.tried[hint] && s.revisit) {
		s.revisit = s.tried[hint]
		s.client.rotation.recordTurn(hint)
		return hint
	}
	s.revisit = false
	if l := s.client.knownLeader(); l != "" && !s.isTried(l) {
		s.client.rotation.recordTurn(l)
		return l
	}
	addresses := s.client.addresses()
	if a := s.client.rotation.next(addresses, s.isTried); a != "" {
		return a
	}
	clear(s.tried)
	return s.client.rotation.next(addresses, s.isTried)
}

func (s *leaderSearch) isTried(address string) bool { return s.tried[address] }
