package controller

import (
	"google.golang.org/protobuf/proto"

	"github.com/gentianrail/gentianrail/internal/wire/pb"
)

// _maxOrderBytes bounds the starts of one order. It is far below link.MaxMessageBytes, so
// that the rest of the order has room, and a lease doesn't wait behind all starts.
const _maxOrderBytes = 1 << 20

// splitOrder divides an order whose starts exceed _maxOrderBytes. The first part has all
// but the further starts. Each part has a start at least, however large, and says whether the
// zone is evacuated.
func splitOrder(o *pb.AgentOrder) []*pb.AgentOrder {
	starts := o.GetStarts()
	n := countStarts(starts)
	if n == len(starts) {
		return []*pb.AgentOrder{o}
	}
	o.Starts = starts[:n]
	out := []*pb.AgentOrder{o}
	for starts = starts[n:]; len(starts) > 0; starts = starts[n:] {
		n = countStarts(starts)
		out = append(out, &pb.AgentOrder{Term: o.GetTerm(), Attachment: o.GetAttachment(), Evacuated: o.GetEvacuated(), Starts: starts[:n]})
	}
	return out
}

// countStarts returns how many of the starts fit into one order.
func countStarts(starts []*pb.StartOrder) int {
	bytes := 0
	for i, s := range starts {
		if bytes += proto.Size(s); bytes > _maxOrderBytes && i > 0 {
			return i
		}
	}
	return len(starts)
}
