package agent

import (
	"context"
	"sync"
)

// handover ends the watches of this agent when it drains, so that entry
// instances resume them elsewhere. The zero value is ready.
type handover struct {
	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
}

// context returns a context that ends when the watches are handed over.
func (h *handover) context() context.Context {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ctx == nil {
		h.ctx, h.cancel = context.WithCancel(context.Background())
	}
	return h.ctx
}

// handOver ends all watches that run now.
func (h *handover) handOver() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cancel != nil {
		h.cancel()
	}
	h.ctx, h.cancel = nil, nil
}
