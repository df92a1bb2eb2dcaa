package controller

import (
	"context"
	"sync"

	"github.com/gentianrail/gentianrail/replica"
)

// transport sends messages to other replicas. It keeps one task for each of
// them and learns addresses from the members and from whoever connects.
type transport struct {
	ctx     context.Context
	self    string // own address, told to the others
	mu      sync.Mutex
	peers   map[replica.ID]*peer
	running sync.WaitGroup
}

func newTransport(ctx context.Context, self string) *transport {
	return &transport{ctx: ctx, self: self, peers: make(map[replica.ID]*peer)}
}

// learn notes where a replica is.
func (t *transport) learn(id replica.ID, address string) {
	if address == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.peers[id]; ok {
		if p.address == address {
			return
		}
		p.cancel()
	}
	ctx, cancel := context.WithCancel(t.ctx)
	p := &peer{address: address, self: t.self, box: newMailbox(), cancel: cancel}
	t.peers[id] = p
	t.running.Go(func() { p.run(ctx) })
}

// address returns where a replica is, or "" if that is not known.
func (t *transport) address(id replica.ID) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.peers[id]; ok {
		return p.address
	}
	return ""
}

// keep learns the members' addresses and ends the tasks of all others.
func (t *transport) keep(self replica.ID, members []replica.Member) {
	if len(members) == 0 {
		return
	}
	wanted := make(map[replica.ID]bool, len(members))
	for _, m := range members {
		wanted[m.ID] = true
		if m.ID != self {
			t.learn(m.ID, m.Address)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, p := range t.peers {
		if !wanted[id] {
			p.cancel()
			delete(t.peers, id)
		}
	}
}

// send passes messages on to the tasks of their receivers.
func (t *transport) send(ms []replica.Message) {
	for _, m := range ms {
		t.mu.Lock()
		p := t.peers[m.To]
		t.mu.Unlock()
		if p != nil {
			p.box.put(m)
		}
	}
}

// wait returns when all tasks have ended.
func (t *transport) wait() { t.running.Wait() }
