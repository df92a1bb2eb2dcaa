package wire

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/replica"
)

func encodeLogEntries(entries []replica.Entry) []*pb.LogEntry {
	out := make([]*pb.LogEntry, 0, len(entries))
	for _, e := range entries {
		out = append(out, &pb.LogEntry{
			Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Time: encodeTime(e.Time), Data: e.Data,
			Members: encodeMembers(e.Members),
		})
	}
	return out
}

func decodeLogEntries(ms []*pb.LogEntry) []replica.Entry {
	out := make([]replica.Entry, 0, len(ms))
	for _, m := range ms {
		out = append(out, replica.Entry{
			Index: m.GetIndex(), Term: m.GetTerm(), Kind: replica.EntryKind(m.GetKind()),
			Time: decodeTime(m.GetTime()), Data: m.GetData(), Members: decodeMembers(m.GetMembers()),
		})
	}
	return out
}

// EncodeReplicaMessage returns the wire message of a replica's message.
func EncodeReplicaMessage(m replica.Message) *pb.ReplicaMessage {
	out := &pb.ReplicaMessage{From: string(m.From), To: string(m.To), Term: m.Term}
	switch b := m.Body.(type) {
	case replica.VoteRequest:
		out.Body = &pb.ReplicaMessage_VoteRequest{VoteRequest: &pb.VoteRequest{
			Pre: b.PreVote, Transfer: b.Transfer, LastIndex: b.LastIndex, LastTerm: b.LastTerm,
		}}
	case replica.VoteReply:
		out.Body = &pb.ReplicaMessage_VoteReply{VoteReply: &pb.VoteReply{Pre: b.PreVote, Granted: b.Granted}}
	case replica.Append:
		out.Body = &pb.ReplicaMessage_Append{Append: &pb.Append{
			PrevIndex: b.PrevIndex, PrevTerm: b.PrevTerm, Commit: b.Commit,
			Sent: encodeTime(b.Sent), Entries: encodeLogEntries(b.Entries),
		}}
	case replica.AppendReply:
		out.Body = &pb.ReplicaMessage_AppendReply{AppendReply: &pb.AppendReply{
			Rejected: b.Rejected, Match: b.Match, Sent: encodeTime(b.Sent),
		}}
	case replica.InstallSnapshot:
		out.Body = &pb.ReplicaMessage_InstallSnapshot{InstallSnapshot: &pb.InstallSnapshot{
			Index: b.Index, Term: b.Term, Offset: b.Offset, Last: b.Last, Data: b.Data, Sent: encodeTime(b.Sent),
			Members: encodeMembers(b.Members),
		}}
	case replica.SnapshotProgress:
		out.Body = &pb.ReplicaMessage_SnapshotProgress{SnapshotProgress: &pb.SnapshotProgress{
			Index: b.Index, Received: b.Received, Sent: encodeTime(b.Sent),
		}}
	case replica.TimeoutNow:
		out.Body = &pb.ReplicaMessage_TimeoutNow{TimeoutNow: &pb.TimeoutNow{}}
	default:
		panic(fmt.Sprintf("wire: unexpected message body %T", b))
	}
	return out
}

// DecodeReplicaMessage returns the replica's message of a wire message.
func DecodeReplicaMessage(m *pb.ReplicaMessage) (replica.Message, error) {
	out := replica.Message{From: replica.ID(m.GetFrom()), To: replica.ID(m.GetTo()), Term: m.GetTerm()}
	switch k := m.GetBody().(type) {
	case *pb.ReplicaMessage_VoteRequest:
		b := k.VoteRequest
		out.Body = replica.VoteRequest{
			PreVote: b.GetPre(), Transfer: b.GetTransfer(), LastIndex: b.GetLastIndex(), LastTerm: b.GetLastTerm(),
		}
	case *pb.ReplicaMessage_VoteReply:
		out.Body = replica.VoteReply{PreVote: k.VoteReply.GetPre(), Granted: k.VoteReply.GetGranted()}
	case *pb.ReplicaMessage_Append:
		b := k.Append
		out.Body = replica.Append{
			PrevIndex: b.GetPrevIndex(), PrevTerm: b.GetPrevTerm(), Commit: b.GetCommit(),
			Sent: decodeTime(b.GetSent()), Entries: decodeLogEntries(b.GetEntries()),
		}
	case *pb.ReplicaMessage_AppendReply:
		b := k.AppendReply
		out.Body = replica.AppendReply{Rejected: b.GetRejected(), Match: b.GetMatch(), Sent: decodeTime(b.GetSent())}
	case *pb.ReplicaMessage_InstallSnapshot:
		b := k.InstallSnapshot
		out.Body = replica.InstallSnapshot{
			Index: b.GetIndex(), Term: b.GetTerm(), Offset: b.GetOffset(), Last: b.GetLast(),
			Data: b.GetData(), Sent: decodeTime(b.GetSent()),
			Members: decodeMembers(b.GetMembers()),
		}
	case *pb.ReplicaMessage_SnapshotProgress:
		b := k.SnapshotProgress
		out.Body = replica.SnapshotProgress{Index: b.GetIndex(), Received: b.GetReceived(), Sent: decodeTime(b.GetSent())}
	case *pb.ReplicaMessage_TimeoutNow:
		out.Body = replica.TimeoutNow{}
	default:
		return out, fault.New(fault.BadRequest, "unknown replica message %T", k)
	}
	return out, nil
}

// MarshalLogRecord returns the payload of one frame of a log segment.
func MarshalLogRecord(r replica.LogRecord) ([]byte, error) {
	m := &pb.DiskRecord{Entries: encodeLogEntries(r.Entries), Commit: r.Commit}
	if r.State != nil {
		m.State = &pb.HardState{Term: r.State.Term, Vote: string(r.State.Vote)}
	}
	return proto.Marshal(m)
}

// UnmarshalLogRecord decodes the bytes of MarshalLogRecord.
func UnmarshalLogRecord(data []byte) (replica.LogRecord, error) {
	var m pb.DiskRecord
	if err := proto.Unmarshal(data, &m); err != nil {
		return replica.LogRecord{}, fault.Wrap(fault.DataDamaged, err, "decode a log record")
	}
	r := replica.LogRecord{Entries: decodeLogEntries(m.GetEntries()), Commit: m.GetCommit()}
	if s := m.GetState(); s != nil {
		r.State = &replica.HardState{Term: s.GetTerm(), Vote: replica.ID(s.GetVote())}
	}
	return r, nil
}

// MarshalSnapshot returns the bytes of a snapshot file.
func MarshalSnapshot(s replica.Snapshot) ([]byte, error) {
	return proto.Marshal(&pb.DiskSnapshot{Index: s.Index, Term: s.Term, Data: s.Data, Members: encodeMembers(s.Members)})
}

// UnmarshalSnapshot decodes the bytes of MarshalSnapshot.
func UnmarshalSnapshot(data []byte) (replica.Snapshot, error) {
	var m pb.DiskSnapshot
	if err := proto.Unmarshal(data, &m); err != nil {
		return replica.Snapshot{}, fault.Wrap(fault.DataDamaged, err, "decode a snapshot file")
	}
	return replica.Snapshot{
		Index: m.GetIndex(), Term: m.GetTerm(), Data: m.GetData(), Members: decodeMembers(m.GetMembers()),
	}, nil
}

// MarshalIdentity returns the bytes of a controller's identity file.
func MarshalIdentity(id replica.ID, initialMembers []replica.Member) ([]byte, error) {
	return proto.Marshal(&pb.DiskIdentity{Id: string(id), Founders: encodeMembers(initialMembers)})
}

// UnmarshalIdentity decodes the bytes of MarshalIdentity.
func UnmarshalIdentity(data []byte) (replica.ID, []replica.Member, error) {
	var m pb.DiskIdentity
	if err := proto.Unmarshal(data, &m); err != nil {
		return "", nil, fault.Wrap(fault.DataDamaged, err, "decode an identity file")
	}
	return replica.ID(m.GetId()), decodeMembers(m.GetFounders()), nil
}
