package link

import (
	"runtime/debug"

	"storj.io/drpc"

	"github.com/gentianrail/gentianrail/fault"
)

// RecoveringHandler serves calls with another handler. A panic ends the call that
// caused it with an error, not the process.
type RecoveringHandler struct {
	Handler drpc.Handler
	OnPanic func(rpc string, value any, stack string) // may be nil
}

var _ drpc.Handler = RecoveringHandler{}

// HandleRPC serves one call.
func (h RecoveringHandler) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		if h.OnPanic != nil {
			h.OnPanic(rpc, v, string(debug.Stack()))
		}
		err = fault.New(fault.Internal, "the call failed unexpectedly: %v", v)
	}()
	return h.Handler.HandleRPC(stream, rpc)
}
