// Package peers sends the messages of a controller's replica to the other
// replicas. Each other replica has its own goroutine and stream; a stream
// without heartbeats is reopened.
package peers

import (
	"context"
	"sync"

	"github.com/gentianrail/gentianrail/replica"
)

// Set holds the senders to the other replicas. It gets addresses from the
// member list and from replicas that connect.
type Set struct {
	ctx     context.Context
	self    string // address of this replica, sent with each message
	mu      sync.Mutex
	peers   map[replica.ID]*peer
	running sync.WaitGroup
}

// New returns a set whose goroutines end with the context. self is the address of
// this replica.
func New(ctx context.Context, self string) *Set {
	return &Set{ctx: ctx, self: self, peers: make(map[replica.ID]*peer)}
}

// UpdateAddress records the address of a replica and starts a sender to it.
func (s *Set) UpdateAddress(id replica.ID, address string) {
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
	p := &peer{address: address, self: s.self, mailbox: newMailbox(), cancel: cancel}
	s.peers[id] = p
	s.running.Go(func() { p.run(ctx) })
}

// Address returns the address of a replica, or "" if it is unknown.
func (s *Set) Address(id replica.ID) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.peers[id]; ok {
		return p.address
	}
	return ""
}

// UpdateMembers records the members' addresses and stops the senders to all
// other replicas.
func (s *Set) UpdateMembers(self replica.ID, members []replica.Member) {
	if len(members) == 0 {
		return
	}
	isMember := make(map[replica.ID]bool, len(members))
	for _, m := range members {
		isMember[m.ID] = true
		if m.ID != self {
			s.UpdateAddress(m.ID, m.Address)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, p := range s.peers {
		if !isMember[id] {
			p.cancel()
			delete(s.peers, id)
		}
	}
}

// Send queues messages for their receivers.
func (s *Set) Send(ms []replica.Message) {
	for _, m := range ms {
		s.mu.Lock()
		p := s.peers[m.To]
		s.mu.Unlock()
		if p != nil {
			p.mailbox.put(m)
		}
	}
}

// Wait blocks until all goroutines have ended.
func (s *Set) Wait() { s.running.Wait() }
