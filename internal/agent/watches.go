package agent

import (
	"context"
	"sync"
)

// watchSet ends the watches of this agent when the worker drains or the agent
// stops, so that entry instances resume the watches elsewhere. The zero value is
// ready to use.
type watchSet struct {
	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
}

// context returns a context that is cancelled when the current watches are
// ended.
func (w *watchSet) context() context.Context {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ctx == nil {
		w.ctx, w.cancel = context.WithCancel(context.Background())
	}
	return w.ctx
}

// endAll ends all current watches.
func (w *watchSet) endAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel != nil {
		w.cancel()
	}
	w.ctx, w.cancel = nil, nil
}
