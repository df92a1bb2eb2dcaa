package entry

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/link"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/routing"
	"github.com/gentianrail/gentianrail/worker"
)

// acceptingStream is the stream of an agent that admits each request and accepts all that
// is sent.
type acceptingStream struct{ pb.DRPCAgent_ServeClient }

func (acceptingStream) Send(*pb.RequestFrame) error { return nil }

func (acceptingStream) Recv() (*pb.AnswerFrame, error) {
	return &pb.AnswerFrame{Kind: &pb.AnswerFrame_Admitted{Admitted: true}}, nil
}

// TestBodiesThatFailEjectNoWorker guards against callers whose bodies end early or are cut
// off, again and again, and count as failures of the workers that receive them.
func TestBodiesThatFailEjectNoWorker(t *testing.T) {
	e := &Entry{router: newRouter(1, 1)}
	w := worker.Worker{ID: "w1", AgentIncarnation: 1}
	for range 50 {
		ours, theirs := net.Pipe()
		c := &call{entry: e, idempotent: true, w: httptest.NewRecorder(), r: httptest.NewRequest(http.MethodPut, "/", nil)}
		c.body = requestBody{limit: 1 << 20, rest: io.NopCloser(io.MultiReader(strings.NewReader("x"), errorReader{}))}
		u := &upstream{
			entry: e, worker: w, conn: &link.Conn{Conn: drpcconn.New(ours)}, stream: acceptingStream{}, open: &pb.Open{},
			unresponsiveTimer: time.NewTimer(time.Hour),
		}
		if err := c.exchange(u); fault.CodeOf(err) != fault.BadRequest || fault.From(err).Ran() != fault.RanUnknown {
			t.Fatalf("the request ends with %v", err)
		}
		_ = theirs.Close()
	}
	e.router.withTable(func(table *routing.Table) {
		for range 2 { // fewer failures than eject a worker
			if table.RecordFailure(time.Now(), w, time.Second, 4) {
				t.Error("the worker is ejected at its first failures")
			}
		}
	})
}

// errorReader is the rest of a body that was cut off.
type errorReader struct{}

func (errorReader) Read([]byte) (int, error) {
	return 0, fault.New(fault.Overloaded, "the body came to a halt while others waited")
}
