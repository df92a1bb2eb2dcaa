package wire

import (
	"bytes"
	"runtime/debug"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/replica"
	"github.com/gentianrail/gentianrail/state"
)

// Groups of unknown fields may be nested. A message of them must neither exhaust the
// stack nor take long.
func TestDeeplyNestedMessagesAreRefusedQuickly(t *testing.T) {
	defer debug.SetMaxStack(debug.SetMaxStack(16 << 20))
	const (
		maxMessage = 8 << 20
		startGroup = 200<<3 | 3 // of an unknown field
		endGroup   = 200<<3 | 4
	)
	start, end := []byte{startGroup&0x7f | 0x80, startGroup >> 7}, []byte{endGroup&0x7f | 0x80, endGroup >> 7}
	open := bytes.Repeat(start, maxMessage/2)
	closed := append(bytes.Repeat(start, maxMessage/4), bytes.Repeat(end, maxMessage/4)...)
	for name, data := range map[string][]byte{"open": open, "closed": closed} {
		for _, m := range []proto.Message{
			&pb.Command{}, &pb.ReplicaMessage{}, &pb.AgentReport{}, &pb.AgentOrder{}, &pb.CallRequest{}, &pb.SyncRequest{}, &pb.ViewUpdate{}, &pb.State{}, &pb.DiskRecord{}, &pb.Open{},
		} {
			began := time.Now()
			if err := proto.Unmarshal(data, m); err == nil {
				t.Errorf("%s groups as %T were accepted", name, m)
			}
			if took := time.Since(began); took > 5*time.Second {
				t.Errorf("%s groups as %T took %s", name, m, took)
			}
		}
	}
}

// FuzzState decodes snapshots of the state and restores those that are valid.
func FuzzState(f *testing.F) {
	var m state.Machine
	for i, c := range sampleCommands() {
		m.Apply(uint64(i+1), time.Unix(int64(i), 0), c)
		data, err := MarshalState(m.Contents())
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := UnmarshalState(data)
		if err != nil {
			return
		}
		if _, err := MarshalState(c); err != nil {
			t.Errorf("a decoded state cannot be encoded: %v", err)
		}
	})
}

// FuzzDisk decodes the records, the snapshots and the identity of a data folder.
func FuzzDisk(f *testing.F) {
	record, err := MarshalLogRecord(replica.LogRecord{
		Entries: []replica.Entry{{Index: 1, Term: 1, Kind: replica.KindCommand, Data: []byte("c")}}, State: &replica.HardState{Term: 2, Vote: "r1"}, Commit: 1,
	})
	if err != nil {
		f.Fatal(err)
	}
	snapshot, err := MarshalSnapshot(replica.Snapshot{Index: 5, Term: 1, Data: []byte("s"), Members: []replica.Member{{ID: "r1", Address: "127.0.0.1:1"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(record)
	f.Add(snapshot)
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := UnmarshalLogRecord(data); err == nil {
			if _, err := MarshalLogRecord(r); err != nil {
				t.Errorf("a decoded record cannot be encoded: %v", err)
			}
		}
		if s, err := UnmarshalSnapshot(data); err == nil {
			if _, err := MarshalSnapshot(s); err != nil {
				t.Errorf("a decoded snapshot cannot be encoded: %v", err)
			}
		}
		_, _, _ = UnmarshalIdentity(data) // may be refused
	})
}
