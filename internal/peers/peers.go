// Package peers sends the messages of a controller's replica to the others. It
// keeps one task and one stream for each of them; a stream that has gone silent
// is opened anew.
package peers

import (
	"context"
	"sync"

	"github.com/gentianrail/gentianrail/replica"
)

// Set holds the tasks. It learns addresses from the members and from whoever
// connects.
type Set struct {
	ctx     context.Context
	self    string // own address, told to the others
	mu      sync.Mutex
	peers   map[replica.ID]*peer
	running sync.WaitGroup
}

// New returns a set whose tasks end with the context. self is the own address,
// which the others are told.
func New(ctx context.Context, self string) *Set {
	return &Set{ctx: ctx, self: self, peers: make(map[replica.ID]*peer)}
}

// Learn notes where a replica is.
func (s *Set) Learn(id replica.ID, address string) {
	if address == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.peers[id]; ok {
		if p.address == address {
			return
		}
		p.cancel()
	}
	ctx, cancel := context.WithCancel(s.ctx)
	p := &peer{address: address, self: s.self, box: newMailbox(), cancel: cancel}
	s.peers[id] = p
	s.running.Go(func() { p.run(ctx) })
}

// Address returns where a replica is, or "" if that is not known.
func (s *Set) Address(id replica.ID) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.peers[id]; ok {
		return p.address
	}
	return ""
}

// Keep learns the members' addresses and ends the tasks of all others.
func (s *Set) Keep(self replica.ID, members []replica.Member) {
	if len(members) == 0 {
		return
	}
	wanted := make(map[replica.ID]bool, len(members))
	for _, m := range members {
		wanted[m.ID] = true
		if m.ID != self {
			s.Learn(m.ID, m.Address)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, p := range s.peers {
		if !wanted[id] {
			p.cancel()
			delete(s.peers, id)
		}
	}
}

// Send passes messages on to the tasks of their receivers.
func (s *Set) Send(ms []replica.Message) {
	for _, m := range ms {
		s.mu.Lock()
		p := s.peers[m.To]
		s.mu.Unlock()
		if p != nil {
			p.box.put(m)
		}
	}
}

// Wait returns when all tasks have ended.
func (s *Set) Wait() { s.running.Wait() }
