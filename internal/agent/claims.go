package agent

import (
	"context"
	"fmt"
	"time"

	"github.com/gentianrail/gentianrail/claim"
	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/state"
)

// HeaderReplayed is the header that marks an answer recorded by an earlier
// request with the same key.
const HeaderReplayed = "Idempotency-Replayed"

// Timing of claims.
const (
	_claimMargin    = time.Second     // from a request's deadline to its claim's deadline
	_recordTimeout  = 2 * time.Second // for which an answer may wait to be recorded
	_resolveTimeout = time.Minute     // to record or release a claim in the background
)

// runClaimed runs a request with an idempotency key at most once, whichever
// agent a resend of the request reaches.
func (r *request) runClaimed(ctx context.Context) error {
	token := fmt.Sprintf("%s/%d/%d", r.id, r.out.openFrame.GetAttempt(), r.agent.agentIncarnation.Load())
	stored, err := r.beginClaim(ctx, token)
	if err != nil {
		r.agent.gate.release(r.ticket)
		return err
	}
	if stored.State == claim.Finished {
		r.agent.gate.release(r.ticket)
		return r.replayAnswer(stored.Answer)
	}
	if !time.Now().Before(r.deadline) {
		r.agent.gate.release(r.ticket)
		r.releaseClaim(token)
		return fault.New(fault.QueueTimeout, "the deadline passed before the request was sent to the target")
	}
	err = r.run(ctx, func(a claim.Answer) { r.recordAnswer(token, a) })
	if err != nil && fault.From(err).Ran() == fault.RanNo {
		r.releaseClaim(token)
	}
	return err
}

func (r *request) beginClaim(ctx context.Context, token string) (claim.Claim, error) {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	o, err := r.agent.controllers.Propose(ctx, state.BeginClaim{
		Claim: claim.Claim{
			Entry:       r.open.GetEntry(),
			Key:         r.open.GetKey(),
			Fingerprint: r.open.GetFingerprint(),
			Token:       token,
		},
		Remaining: time.Until(r.deadline) + _claimMargin,
	})
	switch fault.CodeOf(err) {
	case fault.OK:
		return *o.Claim, nil
	case fault.NoLeader:
		return claim.Claim{}, fault.Wrap(fault.ClaimNotStored, err, "request not run: its idempotency key could not be claimed")
	case fault.MaybeApplied:
		r.releaseClaim(token)
		return claim.Claim{}, fault.Wrap(fault.ClaimNotStored, err, "request not run: its idempotency key could not be claimed")
	default:
		return claim.Claim{}, err
	}
}

// recordAnswer stores the answer before the caller gets it, so that a resend
// gets the same answer. If the controllers cannot be reached in time, recording
// continues in the background and the caller gets the answer meanwhile.
func (r *request) recordAnswer(token string, a claim.Answer) {
	cmd := state.FinishClaim{Entry: r.open.GetEntry(), Key: r.open.GetKey(), Token: token, Answer: a}
	ctx, cancel := context.WithTimeout(context.Background(), _recordTimeout)
	defer cancel()
	if _, err := r.agent.controllers.Propose(ctx, cmd); err == nil || !isUnresolved(err) {
		return
	}
	r.agent.proposeInBackground(cmd)
}

// releaseClaim releases the claim in the background.
func (r *request) releaseClaim(token string) {
	r.agent.proposeInBackground(state.ReleaseClaim{Entry: r.open.GetEntry(), Key: r.open.GetKey(), Token: token})
}

// isUnresolved reports whether a proposal that failed with err has to be
// retried: no leader answered, or the outcome is unknown.
func isUnresolved(err error) bool {
	code := fault.CodeOf(err)
	return code == fault.NoLeader || code == fault.MaybeApplied
}

// proposeInBackground proposes a command without blocking the caller.
func (a *Agent) proposeInBackground(cmd state.Command) {
	a.runs.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), _resolveTimeout)
		defer cancel()
		if _, err := a.controllers.Propose(ctx, cmd); err != nil && isUnresolved(err) {
			a.log.Emit(event.ClaimUnsettled, event.Fields{"error": err.Error()},
				"claim not resolved; a resend of its request is rejected because the outcome is unknown")
		}
	})
}

// replayAnswer sends the answer that an earlier request recorded.
func (r *request) replayAnswer(a claim.Answer) error {
	if !a.BodyComplete {
		return fault.New(fault.AnswerNotKept, "the request ran and was answered with status %d, but the answer is not stored", a.Status)
	}
	head := &pb.AnswerHead{Status: int32(a.Status), Headers: []*pb.Header{{Name: HeaderReplayed, Value: []byte("true")}}}
	for _, h := range a.Headers {
		head.Headers = append(head.Headers, &pb.Header{Name: h.Name, Value: []byte(h.Value)})
	}
	return r.sendCompleteAnswer(head, a.Body)
}
