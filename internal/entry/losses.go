package entry

import (
	"time"

	"github.com/gentianrail/gentianrail/fault"
)

// _maxRequestLosses is the number of workers that one request may lose while it may
// have been running. A request that crashes its target would otherwise take down
// each target that it is sent to.
const _maxRequestLosses = 2

// mayHaveCausedLoss reports whether an attempt ended because its agent or target was
// lost while it may have been running.
func mayHaveCausedLoss(err error) bool {
	f := fault.From(err)
	switch f.Code() {
	case fault.AgentLost, fault.TargetFailed, fault.AnswerBroken:
		return f.Ran() != fault.RanNo
	}
	return false
}

// Parameters of the suspicion that opening a watch crashes its targets.
const (
	_promptLoss      = time.Second // after the opening; a healthy watch stays open for longer
	_maxPromptLosses = 3           // in a row
	_maxSuspectDelay = time.Minute // before the next resumption of a suspected watch
)

// resumption decides how long a watch that has lost its worker waits before it
// opens at another one. The zero value is that of a watch that has not lost one.
type resumption struct {
	delay        time.Duration // before the latest resumption; 0 before the first
	promptLosses int           // in a row, of workers that may have been lost because of the watch
}

// next returns the delay before the next resumption, after the watch was open for a
// time. advanced means that it has received an event in that time.
func (r *resumption) next(open time.Duration, advanced bool, err error) time.Duration {
	switch {
	case advanced:
		*r = resumption{}
	case !mayHaveCausedLoss(err):
	case open < _promptLoss:
		r.promptLosses++
	default:
		r.promptLosses = 0
	}
	limit := _maxResumeDelay
	if r.promptLosses >= _maxPromptLosses {
		limit = _maxSuspectDelay
	}
	r.delay = min(max(2*r.delay, _minResumeDelay), limit)
	return r.delay
}
