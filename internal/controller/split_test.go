package controller

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/submission"
)

// TestSplitOrderKeepsEachPartSmall guards against an order that an agent can't receive, and
// against starts that a split loses or repeats.
func TestSplitOrderKeepsEachPartSmall(t *testing.T) {
	for _, tc := range []struct {
		name            string
		starts, bytes   int
		minOrders, most int // number of parts
	}{
		{"no start", 0, 0, 1, 1},
		{"a few", 10, 4000, 1, 1},
		{"many", 3000, 4000, 12, 13},
		{"each larger than a part", 3, _maxOrderBytes + 1, 3, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			o := &pb.AgentOrder{Term: 3, Attachment: 5, Sent: 7, Lease: 9, Taken: 11, Evacuated: true}
			for i := range tc.starts {
				run := submission.RunID{Task: submission.TaskID{Submission: "s", Index: i}, Number: 1}
				o.Starts = append(o.Starts, &pb.StartOrder{Run: wire.EncodeRun(run), Text: strings.Repeat("x", tc.bytes)})
			}
			next := 0
			parts := splitOrder(o)
			for i, p := range parts {
				if p.GetTerm() != 3 || p.GetAttachment() != 5 || !p.GetEvacuated() || (p.GetLease() == 9) != (i == 0) || (p.GetTaken() == 11) != (i == 0) {
					t.Errorf("part %d: %v", i, p)
				}
				if size := proto.Size(p); size > _maxOrderBytes+100 && len(p.GetStarts()) > 1 {
					t.Errorf("part %d has %d bytes", i, size)
				}
				for _, s := range p.GetStarts() {
					if got := wire.DecodeRun(s.GetRun()).Task.Index; got != next {
						t.Fatalf("part %d: start %d, want %d", i, got, next)
					}
					next++
				}
			}
			if next != tc.starts || len(parts) < tc.minOrders || len(parts) > tc.most {
				t.Errorf("%d starts in %d parts", next, len(parts))
			}
		})
	}
}
