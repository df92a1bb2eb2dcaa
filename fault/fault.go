// Package fault defines the numbered result codes of gentianrail.
//
// A code states what happened, whether the work ran, and when the caller may
// retry. docs/ERRORS.md explains each code; a test compares that page with the
// table here.
package fault

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/samber/oops"
)

// Ran states whether the requested work ran.
type Ran uint8

const (
	// RanNo means that the work certainly did not run.
	RanNo Ran = iota + 1
	// RanUnknown means that the work may have run.
	RanUnknown
	// RanYes means that the work ran.
	RanYes
)

// String returns the word used in responses: no, unknown or yes.
func (r Ran) String() string {
	switch r {
	case RanNo:
		return "no"
	case RanUnknown:
		return "unknown"
	case RanYes:
		return "yes"
	}
	return "unknown"
}

// Code is a numbered result.
type Code int

// Codes by subject: 11xx catalogue, 12xx requests, 13xx claims, 14xx jobs,
// 15xx control, 16xx settings and files.
const (
	OK Code = 1000

	BadDeclaration  Code = 1101
	VersionConflict Code = 1102
	EntryNotFound   Code = 1103
	BadEntryName    Code = 1104
	WrongClass      Code = 1105

	BadRequest     Code = 1201
	NoTarget       Code = 1202
	Overloaded     Code = 1203
	QueueTimeout   Code = 1204
	RequestTimeout Code = 1205
	BodyTooLarge   Code = 1206
	TargetFailed   Code = 1207
	AgentLost      Code = 1208
	AnswerBroken   Code = 1209
	Draining       Code = 1210
	NotFound       Code = 1211
	CallerGone     Code = 1212
	TargetDown     Code = 1213

	KeyRequired       Code = 1301
	KeyMismatch       Code = 1302
	KeyInProgress     Code = 1303
	KeyOutcomeUnknown Code = 1304
	AnswerNotKept     Code = 1305
	BadKey            Code = 1306
	ClaimNotStored    Code = 1307

	JobNotFound    Code = 1401
	JobNotFinished Code = 1402
	JobCancelled   Code = 1403
	JobFailed      Code = 1404
	JobEnded       Code = 1406
	StaleAttempt   Code = 1407

	NoLeader       Code = 1501
	MaybeApplied   Code = 1502
	WorkerNotFound Code = 1503
	StaleWorker    Code = 1504
	RevisionGone   Code = 1505
	NotReady       Code = 1506
	ZoneNotFound   Code = 1507
	Internal       Code = 1599

	BadSettings  Code = 1601
	DataLocked   Code = 1602
	DataDamaged  Code = 1603
	DataUnusable Code = 1604
)

// Definition describes a code.
type Definition struct {
	Code       Code
	Name       string        // in snake case; never changes
	HTTPStatus int           // status of a response with this code
	Ran        Ran           // whether the work ran, unless the error overrides it
	RetryAfter time.Duration // delay before a retry; 0 for never
}

var _definitions = []Definition{
	{OK, "ok", http.StatusOK, RanYes, 0},
	{BadDeclaration, "bad_declaration", http.StatusBadRequest, RanNo, 0},
	{VersionConflict, "version_conflict", http.StatusConflict, RanNo, 0},
	{EntryNotFound, "entry_not_found", http.StatusNotFound, RanNo, 0},
	{BadEntryName, "bad_entry_name", http.StatusBadRequest, RanNo, 0},
	{WrongClass, "wrong_class", http.StatusBadRequest, RanNo, 0},
	{BadRequest, "bad_request", http.StatusBadRequest, RanNo, 0},
	{NoTarget, "no_target", http.StatusServiceUnavailable, RanNo, time.Second},
	{Overloaded, "overloaded", http.StatusServiceUnavailable, RanNo, time.Second},
	{QueueTimeout, "queue_timeout", http.StatusServiceUnavailable, RanNo, time.Second},
	{RequestTimeout, "request_timeout", http.StatusGatewayTimeout, RanUnknown, 0},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, RanNo, 0},
	{TargetFailed, "target_failed", http.StatusBadGateway, RanUnknown, 0},
	{AgentLost, "agent_lost", http.StatusBadGateway, RanUnknown, 0},
	{AnswerBroken, "answer_broken", http.StatusBadGateway, RanYes, 0},
	{Draining, "draining", http.StatusServiceUnavailable, RanNo, time.Second},
	{NotFound, "not_found", http.StatusNotFound, RanNo, 0},
	{CallerGone, "caller_gone", 499, RanUnknown, 0},
	{TargetDown, "target_down", http.StatusServiceUnavailable, RanNo, time.Second},
	{KeyRequired, "key_required", http.StatusBadRequest, RanNo, 0},
	{KeyMismatch, "key_mismatch", http.StatusUnprocessableEntity, RanNo, 0},
	{KeyInProgress, "key_in_progress", http.StatusConflict, RanUnknown, time.Second},
	{KeyOutcomeUnknown, "key_outcome_unknown", http.StatusConflict, RanUnknown, 0},
	{AnswerNotKept, "answer_not_kept", http.StatusConflict, RanYes, 0},
	{BadKey, "bad_key", http.StatusBadRequest, RanNo, 0},
	{ClaimNotStored, "claim_not_stored", http.StatusServiceUnavailable, RanNo, time.Second},
	{JobNotFound, "job_not_found", http.StatusNotFound, RanNo, 0},
	{JobNotFinished, "job_not_finished", http.StatusAccepted, RanUnknown, time.Second},
	{JobCancelled, "job_cancelled", http.StatusGone, RanUnknown, 0},
	{JobFailed, "job_failed", http.StatusBadGateway, RanYes, 0},
	{JobEnded, "job_ended", http.StatusConflict, RanYes, 0},
	{StaleAttempt, "stale_attempt", http.StatusConflict, RanUnknown, 0},
	{NoLeader, "no_leader", http.StatusServiceUnavailable, RanNo, time.Second},
	{MaybeApplied, "maybe_applied", http.StatusGatewayTimeout, RanUnknown, time.Second},
	{WorkerNotFound, "worker_not_found", http.StatusNotFound, RanNo, 0},
	{StaleWorker, "stale_worker", http.StatusConflict, RanNo, 0},
	{RevisionGone, "revision_gone", http.StatusGone, RanNo, 0},
	{NotReady, "not_ready", http.StatusServiceUnavailable, RanNo, time.Second},
	{ZoneNotFound, "zone_not_found", http.StatusNotFound, RanNo, 0},
	{Internal, "internal", http.StatusInternalServerError, RanUnknown, 0},
	{BadSettings, "bad_settings", http.StatusBadRequest, RanNo, 0},
	{DataLocked, "data_locked", http.StatusConflict, RanNo, 0},
	{DataDamaged, "data_damaged", http.StatusInternalServerError, RanNo, 0},
	{DataUnusable, "data_unusable", http.StatusInternalServerError, RanNo, 0},
}

var _byCode = func() map[Code]Definition {
	m := make(map[Code]Definition, len(_definitions))
	for _, d := range _definitions {
		m[d.Code] = d
	}
	return m
}()

// Definitions returns the definitions of all codes in ascending order.
func Definitions() []Definition {
	return append([]Definition(nil), _definitions...)
}

// Definition returns the definition of c, or that of Internal for an unknown
// code.
func (c Code) Definition() Definition {
	if d, ok := _byCode[c]; ok {
		return d
	}
	return _byCode[Internal]
}

// Name returns the code's stable name.
func (c Code) Name() string { return c.Definition().Name }

// Error is an error with a code. It holds all data of an error response.
type Error struct {
	code    Code
	ran     Ran           // 0 means the code's default
	retry   time.Duration // 0 means the code's default
	message string
	cause   error
}

// New returns an error with a code and a formatted message. Ran and RetryAfter
// have the code's defaults.
func New(code Code, format string, args ...any) *Error {
	return &Error{code: code, message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error with a code and a cause. The cause records the stack
// trace of the call to Wrap.
func Wrap(code Code, cause error, format string, args ...any) *Error {
	message := fmt.Sprintf(format, args...)
	return &Error{
		code:    code,
		message: message + ": " + cause.Error(),
		cause:   oops.Code(code.Name()).Wrap(cause),
	}
}

// WithRan returns a copy that overrides the code's default of Ran.
func (e *Error) WithRan(ran Ran) *Error {
	c := *e
	c.ran = ran
	return &c
}

// WithRetryAfter returns a copy that overrides the code's default of RetryAfter.
func (e *Error) WithRetryAfter(after time.Duration) *Error {
	c := *e
	c.retry = after
	return &c
}

// Error returns the message with the code.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s, code %d)", e.message, e.code.Name(), int(e.code))
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Code returns the numbered code.
func (e *Error) Code() Code { return e.code }

// Message returns the text without the code.
func (e *Error) Message() string { return e.message }

// Ran returns whether the work ran.
func (e *Error) Ran() Ran {
	if e.ran != 0 {
		return e.ran
	}
	return e.code.Definition().Ran
}

// RetryAfter returns the delay before a retry; 0 means never.
func (e *Error) RetryAfter() time.Duration {
	if e.retry != 0 {
		return e.retry
	}
	return e.code.Definition().RetryAfter
}

// From returns the first Error in the chain of err, or wraps err as Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Internal, err, "internal error")
}

// CodeOf returns the code of err, or OK for nil.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	return From(err).Code()
}

// ParseRan parses the result of String. Any other string gives RanUnknown.
func ParseRan(s string) Ran {
	for _, r := range []Ran{RanNo, RanYes} {
		if r.String() == s {
			return r
		}
	}
	return RanUnknown
}
