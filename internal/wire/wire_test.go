package wire

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/replica"
)

// TestReplicaMessageRoundTrip checks that each kind of replica message keeps
// its fields when it is encoded and decoded.
func TestReplicaMessageRoundTrip(t *testing.T) {
	at := time.Unix(1_000_000, 5).UTC()
	entry := replica.Entry{Index: 3, Term: 2, Kind: replica.KindCommand, Time: at, Data: []byte("c")}
	for _, body := range []replica.Body{
		replica.VoteRequest{PreVote: true, Transfer: true, LastIndex: 1, LastTerm: 2},
		replica.VoteReply{PreVote: true, Granted: true},
		replica.Append{PrevIndex: 2, PrevTerm: 1, Commit: 1, Sent: at, Entries: []replica.Entry{entry}},
		replica.AppendReply{Rejected: true, Match: 3, Sent: at},
		replica.InstallSnapshot{Index: 3, Term: 2, Offset: 4, Last: true, Data: []byte("s"), Sent: at},
		replica.SnapshotProgress{Index: 3, Received: 4, Sent: at},
		replica.TimeoutNow{},
	} {
		want := replica.Message{From: "r1", To: "r2", Term: 4, Body: body}
		got, err := DecodeReplicaMessage(EncodeReplicaMessage(want))
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, %v; want %+v", got, err, want)
		}
	}
}

func FuzzCommand(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0x0a, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		cmd, err := UnmarshalCommand(data)
		if err != nil {
			return
		}
		if _, err := MarshalCommand(cmd); err != nil {
			t.Errorf("%T was decoded but cannot be encoded: %v", cmd, err)
		}
	})
}

func FuzzMessage(f *testing.F) {
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		var m pb.ReplicaMessage
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		got, err := DecodeReplicaMessage(&m)
		if err != nil {
			return
		}
		again, err := DecodeReplicaMessage(EncodeReplicaMessage(got))
		if err != nil || !reflect.DeepEqual(again, got) {
			t.Errorf("%+v decoded again as %+v, %v", got, again, err)
		}
	})
}
