package replica

import "time"

// ID names one controller replica. It is never reused for a replica that lost
// its disk.
type ID string

// EntryKind tells what a log entry carries.
type EntryKind uint8

const (
	// KindCommand entries carry an encoded command of the state machine.
	KindCommand EntryKind = iota + 1
	// KindBarrier entries carry nothing. A new leader appends one to commit
	// the entries of earlier terms.
	KindBarrier
	// KindMembers entries carry the group's members. They are in force from
	// the moment that they stand in a replica's log.
	KindMembers
)

// Member is one replica of the group.
type Member struct {
	ID      ID
	Address string // where its messages are sent; opaque to this package
	Learner bool   // it takes entries, but neither votes nor counts for a commit
}

// Entry is one record of the replicated log.
type Entry struct {
	Index uint64    // position in the log, from 1, without gaps
	Term  uint64    // term of the leader that appended it
	Kind  EntryKind // what Data holds
	Time  time.Time // leader's clock when it appended the entry
	Data  []byte    // encoded command; empty for other kinds

	Members []Member // set for KindMembers alone; never changed
}

// HardState is what a replica must have on disk before it answers.
type HardState struct {
	Term uint64 // latest term seen
	Vote ID     // candidate voted for in Term; empty if none
}

// Snapshot is the state machine's state at one log position.
type Snapshot struct {
	Index uint64 // last entry that the state includes
	Term  uint64 // term of that entry
	Data  []byte // encoded state

	Members []Member // as of Index; empty if the group never changed them
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

// VoteRequest asks for a vote, or with Pre set whether a vote would be given.
type VoteRequest struct {
	Pre       bool
	Transfer  bool // the old leader asked for this election
	LastIndex uint64
	LastTerm  uint64
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	Pre     bool
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
	Match    uint64    // highest index known to agree, or the retry hint when rejected
	Sent     time.Time // copied from the request
}

// InstallSnapshot carries one chunk of a snapshot to a follower that is too
// far behind.
type InstallSnapshot struct {
	Index  uint64
	Term   uint64
	Offset uint64 // position of Data in the encoded snapshot, in bytes
	Last   bool   // Data is the final chunk
	Data   []byte
	Sent   time.Time

	Members []Member // of the snapshot
}

// SnapshotProgress answers an InstallSnapshot that did not complete the
// snapshot.
type SnapshotProgress struct {
	Index    uint64
	Received uint64 // bytes held, from the start
	Sent     time.Time
}

// TimeoutNow tells a follower to start an election at once.
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

// Ready is what the owner of a Replica must carry out: send Early at once;
// write State, Snapshot and Entries to disk and sync them, then send Late and
// call Persisted; install Snapshot in the state machine; apply Committed. The
// owner may go on with messages and Urgent while the write is under way.
type Ready struct {
	Early     []Message  // may leave before the disk is synced
	State     *HardState // nil if unchanged
	Snapshot  *Snapshot  // replaces log and state machine; nil if none
	Entries   []Entry    // replace the log from Entries[0].Index on
	Late      []Message  // must not leave before the disk is synced
	Committed []Entry    // to be applied, in order
}

// Empty reports that there is nothing to carry out.
func (r *Ready) Empty() bool {
	return len(r.Early) == 0 && r.State == nil && r.Snapshot == nil &&
		len(r.Entries) == 0 && len(r.Late) == 0 && len(r.Committed) == 0
}
