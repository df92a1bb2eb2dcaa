// Package event defines the numbered log events of gentianrail and writes the log.
//
// Each event has a number and a name that stay the same over releases, so
// that alarms can be set on them. docs/EVENTS.md explains each event; a test
// compares the table here with that page.
package event

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// Number identifies an event.
type Number int

// Events by subject: 1xx process, 2xx controller, 3xx agent, 4xx entry.
const (
	Started            Number = 101
	Draining           Number = 102
	Stopped            Number = 103
	SecondSignal       Number = 104
	TaskFailed         Number = 105
	LogEndCut          Number = 106
	LinesDropped       Number = 107
	Reloaded           Number = 108
	ReloadFailed       Number = 109
	CallPanicked       Number = 110
	ClientsLimited     Number = 111
	RoleChanged        Number = 201
	SnapshotSaved      Number = 202
	DiskFailed         Number = 203
	WorkerAdded        Number = 204
	WorkerLost         Number = 205
	ChangeAccepted     Number = 206
	JobPlaced          Number = 207
	JobEnded           Number = 208
	JobUnplaceable     Number = 209
	SnapshotLoaded     Number = 210
	MembersChanged     Number = 211
	AgentAttached      Number = 212
	AgentDetached      Number = 213
	RunPlaced          Number = 214
	RunEnded           Number = 215
	PoolState          Number = 216
	RunStopped         Number = 217
	StepWaits          Number = 218
	AdviceGiven        Number = 219
	AdviceFailed       Number = 220
	SubmissionAccepted Number = 221
	SubmissionRejected Number = 222
	SubmissionEnded    Number = 223
	QueuesInForce      Number = 224
	OrderAnswered      Number = 225
	PressLearnt        Number = 226
	ProposalLost       Number = 227
	PeerMessageRefused Number = 228
	TaskGivenUp        Number = 229
	StrayRun           Number = 230
	VotersMissing      Number = 231
	EvacuationStarted  Number = 234
	EvacuationFinished Number = 235
	DiskFull           Number = 241
	DiskAvailable      Number = 242
	SilenceTakenOver   Number = 243
	TaskAcquitted      Number = 244
	AgentJoined        Number = 301
	ControllerLost     Number = 302
	TaskStarted        Number = 303
	TaskEnded          Number = 304
	LeaseExpired       Number = 305
	TargetSilent       Number = 306
	ClaimUnsettled     Number = 307
	TargetBack         Number = 308
	WorkerDraining     Number = 309
	StartAnswered      Number = 310
	RunPaced           Number = 311
	WorkerIgnored      Number = 312
	WorkerCrashed      Number = 313
	WorkerSuperseded   Number = 314
	EndedRunListed     Number = 315
	RunEndInferred     Number = 316
	StartCancelled     Number = 317
	ViewLost           Number = 401
	ConnectionDead     Number = 402
	WorkerEjected      Number = 403
	AnswerCut          Number = 404
	BurnNotSent        Number = 405
	WatchMoved         Number = 406
	LeaderLost         Number = 407
	LeaderBack         Number = 408
	CallAnswered       Number = 409
)

// Definition describes an event.
type Definition struct {
	Number Number
	Name   string // in snake case; never changes
	Level  logrus.Level
}

var _definitions = []Definition{
	{Started, "started", logrus.InfoLevel},
	{Draining, "draining", logrus.InfoLevel},
	{Stopped, "stopped", logrus.InfoLevel},
	{SecondSignal, "second_signal", logrus.WarnLevel},
	{TaskFailed, "task_failed", logrus.ErrorLevel},
	{LogEndCut, "log_end_cut", logrus.WarnLevel},
	{LinesDropped, "lines_dropped", logrus.WarnLevel},
	{Reloaded, "reloaded", logrus.InfoLevel},
	{ReloadFailed, "reload_failed", logrus.WarnLevel},
	{CallPanicked, "call_panicked", logrus.ErrorLevel},
	{ClientsLimited, "clients_limited", logrus.WarnLevel},
	{RoleChanged, "role_changed", logrus.InfoLevel},
	{SnapshotSaved, "snapshot_saved", logrus.InfoLevel},
	{DiskFailed, "disk_failed", logrus.ErrorLevel},
	{WorkerAdded, "worker_added", logrus.InfoLevel},
	{WorkerLost, "worker_lost", logrus.WarnLevel},
	{ChangeAccepted, "change_accepted", logrus.InfoLevel},
	{JobPlaced, "job_placed", logrus.DebugLevel},
	{JobEnded, "job_ended", logrus.DebugLevel},
	{JobUnplaceable, "job_unplaceable", logrus.WarnLevel},
	{SnapshotLoaded, "snapshot_loaded", logrus.InfoLevel},
	{MembersChanged, "members_changed", logrus.InfoLevel},
	{AgentAttached, "agent_attached", logrus.InfoLevel},
	{AgentDetached, "agent_detached", logrus.InfoLevel},
	{RunPlaced, "run_placed", logrus.InfoLevel},
	{RunEnded, "run_ended", logrus.InfoLevel},
	{PoolState, "pool_state", logrus.InfoLevel},
	{RunStopped, "run_stopped", logrus.InfoLevel},
	{StepWaits, "step_waits", logrus.InfoLevel},
	{AdviceGiven, "advice_given", logrus.DebugLevel},
	{AdviceFailed, "advice_failed", logrus.WarnLevel},
	{SubmissionAccepted, "submission_accepted", logrus.InfoLevel},
	{SubmissionRejected, "submission_rejected", logrus.InfoLevel},
	{SubmissionEnded, "submission_ended", logrus.InfoLevel},
	{QueuesInForce, "queues_in_force", logrus.InfoLevel},
	{OrderAnswered, "order_answered", logrus.InfoLevel},
	{PressLearnt, "press_learnt", logrus.InfoLevel},
	{ProposalLost, "proposal_lost", logrus.WarnLevel},
	{PeerMessageRefused, "peer_message_refused", logrus.WarnLevel},
	{TaskGivenUp, "task_given_up", logrus.WarnLevel},
	{StrayRun, "stray_run", logrus.WarnLevel},
	{VotersMissing, "voters_missing", logrus.WarnLevel},
	{EvacuationStarted, "evacuation_started", logrus.WarnLevel},
	{EvacuationFinished, "evacuation_finished", logrus.InfoLevel},
	{DiskFull, "disk_full", logrus.ErrorLevel},
	{DiskAvailable, "disk_available", logrus.InfoLevel},
	{SilenceTakenOver, "silence_taken_over", logrus.InfoLevel},
	{TaskAcquitted, "task_acquitted", logrus.InfoLevel},
	{AgentJoined, "agent_joined", logrus.InfoLevel},
	{ControllerLost, "controller_lost", logrus.WarnLevel},
	{TaskStarted, "task_started", logrus.DebugLevel},
	{TaskEnded, "task_ended", logrus.DebugLevel},
	{LeaseExpired, "lease_expired", logrus.WarnLevel},
	{TargetSilent, "target_silent", logrus.WarnLevel},
	{ClaimUnsettled, "claim_unsettled", logrus.WarnLevel},
	{TargetBack, "target_back", logrus.InfoLevel},
	{WorkerDraining, "worker_draining", logrus.InfoLevel},
	{StartAnswered, "start_answered", logrus.InfoLevel},
	{RunPaced, "run_paced", logrus.InfoLevel},
	{WorkerIgnored, "worker_ignored", logrus.WarnLevel},
	{WorkerCrashed, "worker_crashed", logrus.WarnLevel},
	{WorkerSuperseded, "worker_superseded", logrus.WarnLevel},
	{EndedRunListed, "ended_run_listed", logrus.WarnLevel},
	{RunEndInferred, "run_end_inferred", logrus.InfoLevel},
	{StartCancelled, "start_cancelled", logrus.InfoLevel},
	{ViewLost, "view_lost", logrus.WarnLevel},
	{ConnectionDead, "connection_dead", logrus.WarnLevel},
	{WorkerEjected, "worker_ejected", logrus.WarnLevel},
	{AnswerCut, "answer_cut", logrus.WarnLevel},
	{BurnNotSent, "burn_not_sent", logrus.WarnLevel},
	{WatchMoved, "watch_moved", logrus.InfoLevel},
	{LeaderLost, "leader_lost", logrus.WarnLevel},
	{LeaderBack, "leader_back", logrus.InfoLevel},
	{CallAnswered, "call_answered", logrus.InfoLevel},
}

var _byNumber = func() map[Number]Definition {
	m := make(map[Number]Definition, len(_definitions))
	for _, d := range _definitions {
		m[d.Number] = d
	}
	return m
}()

// Definitions returns all events in ascending order.
func Definitions() []Definition { return append([]Definition(nil), _definitions...) }

// Fields are the values of one event.
type Fields = logrus.Fields

// Log writes numbered events. The zero value discards them.
type Log struct {
	entry      *logrus.Entry
	limiter    *limiter
	countEvent func(name string) // called for each event, written or not; nil for none
}

// Format is the format of the log lines.
type Format uint8

const (
	// JSON writes one JSON object per line.
	JSON Format = iota + 1
	// Text writes key=value lines.
	Text
)

// NewLog returns a log that writes to w.
func NewLog(w io.Writer, format Format, level logrus.Level) Log {
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(level)
	if format == JSON {
		l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	}
	return Log{entry: logrus.NewEntry(l), limiter: &limiter{}}
}

// WithCounter returns a log that also passes the name of each event to count.
func (l Log) WithCounter(count func(name string)) Log {
	l.countEvent = count
	return l
}

// With returns a log whose events all carry the field.
func (l Log) With(key string, value any) Log {
	if l.entry == nil {
		return l
	}
	l.entry = l.entry.WithField(key, value)
	return l
}

// Emit writes an event. Lines of one event above the rate limit are suppressed;
// the next written line has their number in the field left_out.
func (l Log) Emit(n Number, fields Fields, message string) {
	if l.entry == nil {
		return
	}
	d := _byNumber[n]
	if l.countEvent != nil {
		l.countEvent(d.Name)
	}
	if !l.entry.Logger.IsLevelEnabled(d.Level) {
		return
	}
	ok, suppressed := l.limiter.allowLine(time.Now(), n)
	if !ok {
		return
	}
	e := l.entry.WithFields(fields).WithField("event", int(n)).WithField("event_name", d.Name)
	if suppressed > 0 {
		e = e.WithField("left_out", suppressed)
	}
	e.Log(d.Level, message)
}
