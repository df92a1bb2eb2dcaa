package replica

import "time"

// ID identifies one controller replica. A replica that lost its disk gets a new
// ID.
type ID string

// EntryKind is the kind of a log entry.
type EntryKind uint8

const (
	// KindCommand entries carry an encoded command of the state machine.
	KindCommand EntryKind = iota + 1
	// KindBarrier entries carry no data. A new leader appends one to commit
	// the entries of earlier terms.
	KindBarrier
	// KindMembers entries carry the group's members. They take effect on a
	// replica as soon as they are in its log, committed or not.
	KindMembers
)

// Member is one replica of the group.
type Member struct {
	ID      ID
	Address string // where messages to the member are sent; opaque to this package
	Learner bool   // receives entries, but neither votes nor counts towards a quorum
}

// Entry is one record of the replicated log.
type Entry struct {
	Index uint64    // position in the log, from 1, without gaps
	Term  uint64    // term of the leader that appended it
	Kind  EntryKind // type of content
	Time  time.Time // leader's clock at the append
	Data  []byte    // encoded command; empty for other kinds

	Members []Member // set only for KindMembers; the slice is never modified
}

// HardState is the state that a replica must sync before it answers a message.
type HardState struct {
	Term uint64 // latest term seen
	Vote ID     // candidate voted for in Term; empty if none
}

// Snapshot is the state machine's state at one log position.
type Snapshot struct {
	Index uint64 // last entry included in the state
	Term  uint64 // term of that entry
	Data  []byte // encoded state

	Members []Member // as of Index; empty if they never changed
}

// Message is sent from one replica to another.
type Message struct {
	From ID
	To   ID
	Term uint64
	Body Body
}

// Body is the sealed set of message bodies: VoteRequest, VoteReply, Append,
// AppendReply, InstallSnapshot, SnapshotProgress and TimeoutNow.
type Body interface{ body() }

// VoteRequest asks for a vote, or, if PreVote is set, whether the vote would be
// granted.
type VoteRequest struct {
	PreVote   bool
	Transfer  bool // the leader requested this election by TimeoutNow
	LastIndex uint64
	LastTerm  uint64
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	PreVote bool
	Granted bool
}

// Append carries log entries, or none as a heartbeat.
type Append struct {
	PrevIndex uint64
	PrevTerm  uint64
	Commit    uint64
	Sent      time.Time // leader's clock; echoed by the reply
	Entries   []Entry
}

// AppendReply answers Append and InstallSnapshot.
type AppendReply struct {
	Rejected bool
	Match    uint64    // highest index known to match the leader's log; if Rejected, the index to retry after
	Sent     time.Time // Sent of the request
}

// InstallSnapshot carries one chunk of a snapshot to a follower that needs
// entries which the leader's log no longer has.
type InstallSnapshot struct {
	Index  uint64
	Term   uint64
	Offset uint64 // position of Data in the encoded snapshot, in bytes
	Last   bool   // Data is the final chunk
	Data   []byte
	Sent   time.Time

	Members []Member // as of Index; empty if they never changed
}

// SnapshotProgress answers an InstallSnapshot that did not complete the
// snapshot.
type SnapshotProgress struct {
	Index    uint64
	Received uint64 // bytes received without a gap from the start
	Sent     time.Time
}

// TimeoutNow makes a follower start an election immediately.
type TimeoutNow struct{}

func (VoteRequest) body()      {}
func (VoteReply) body()        {}
func (Append) body()           {}
func (AppendReply) body()      {}
func (InstallSnapshot) body()  {}
func (SnapshotProgress) body() {}
func (TimeoutNow) body()       {}

var (
	_ Body = VoteRequest{}
	_ Body = VoteReply{}
	_ Body = Append{}
	_ Body = AppendReply{}
	_ Body = InstallSnapshot{}
	_ Body = SnapshotProgress{}
	_ Body = TimeoutNow{}
)

// Ready is the outstanding work of a Replica. Its owner must send Immediate at
// once; write State, Snapshot and Entries to disk and sync them, then send
// AfterSync and call RecordSynced; install Snapshot in the state machine; apply
// Committed. During the write the owner may pass in messages and call
// ReadyDuringWrite.
type Ready struct {
	Immediate []Message  // may be sent before the disk is synced
	State     *HardState // nil if unchanged
	Snapshot  *Snapshot  // replaces the log and the state machine's state; nil if none
	Entries   []Entry    // replace the log from Entries[0].Index onwards
	AfterSync []Message  // must be sent after the disk is synced
	Committed []Entry    // to be applied, in order
	Commit    uint64     // highest index known to be committed; need not be synced
}

// LogRecord is what one write adds to the log on disk.
type LogRecord struct {
	State   *HardState // nil if unchanged
	Entries []Entry    // replace the log from Entries[0].Index onwards
	Commit  uint64     // highest index known to be committed at the write; 0 if unknown
}

// LogRecord returns what must be written of r.
func (r *Ready) LogRecord() LogRecord {
	return LogRecord{State: r.State, Entries: r.Entries, Commit: r.Commit}
}

// Empty reports whether there is no outstanding work.
func (r *Ready) Empty() bool {
	return len(r.Immediate) == 0 && r.State == nil && r.Snapshot == nil &&
		len(r.Entries) == 0 && len(r.AfterSync) == 0 && len(r.Committed) == 0
}
