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

// HeaderReplayed marks an answer that was recorded by an earlier request with
// the same key.
const HeaderReplayed = "Idempotency-Replayed"

// Timing of claims.
const (
	_claimMargin = time.Second     // a claim's deadline behind the request's
	_recordLimit = 2 * time.Second // that an answer waits for being recorded
	_settleLimit = time.Minute     // for recording or releasing in the background
)

// runClaimed runs a request with an idempotency key at most once, whichever
// agent a resend of it reaches.
func (r *request) runClaimed(ctx context.Context) error {
	token := fmt.Sprintf("%s/%d/%d", r.id, r.out.first.GetAttempt(), r.agent.incarnation)
	got, err := r.begin(ctx, token)
	if err != nil {
		r.agent.gate.leave(r.ticket)
		return err
	}
	if got.State == claim.Finished {
		r.agent.gate.leave(r.ticket)
		return r.replay(got.Answer)
	}
	if !time.Now().Before(r.deadline) {
		r.agent.gate.leave(r.ticket)
		r.release(token)
		return fault.New(fault.QueueTimeout, "the deadline passed before the request was sent to the target")
	}
	err = r.run(ctx, func(a claim.Answer) { r.record(token, a) })
	if err != nil && fault.From(err).Ran() == fault.RanNo {
		r.release(token)
	}
	return err
}

func (r *request) begin(ctx context.Context, token string) (claim.Claim, error) {
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
		return claim.Claim{}, fault.Wrap(fault.ClaimNotStored, err, "the request was not run, since its key could not be claimed")
	case fault.MaybeApplied:
		r.release(token)
		return claim.Claim{}, fault.Wrap(fault.ClaimNotStored, err, "the request was not run, since its key could not be claimed")
	default:
		return claim.Claim{}, err
	}
}

// record stores the answer before the caller gets it, so that a resend gets
// the same. If the controllers cannot be reached it goes on in the
// background, and the caller is answered meanwhile.
func (r *request) record(token string, a claim.Answer) {
	cmd := state.FinishClaim{Entry: r.open.GetEntry(), Key: r.open.GetKey(), Token: token, Answer: a}
	ctx, cancel := context.WithTimeout(context.Background(), _recordLimit)
	defer cancel()
	if _, err := r.agent.controllers.Propose(ctx, cmd); err == nil || !unsettled(err) {
		return
	}
	r.agent.settle(cmd)
}

// release gives a claim back in the background.
func (r *request) release(token string) {
	r.agent.settle(state.ReleaseClaim{Entry: r.open.GetEntry(), Key: r.open.GetKey(), Token: token})
}

func unsettled(err error) bool {
	code := fault.CodeOf(err)
	return code == fault.NoLeader || code == fault.MaybeApplied
}

// settle has a command applied in the background.
func (a *Agent) settle(cmd state.Command) {
	a.runs.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), _settleLimit)
		defer cancel()
		if _, err := a.controllers.Propose(ctx, cmd); err != nil && unsettled(err) {
			a.log.Emit(event.ClaimUnsettled, event.Fields{"error": err.Error()},
				"a claim could not be settled; a resend of its request is told that the outcome is unknown")
		}
	})
}

// replay answers with what an earlier request recorded.
func (r *request) replay(a claim.Answer) error {
	if !a.Whole {
		return fault.New(fault.AnswerNotKept, "the request has run and was answered with status %d, but the answer was too large to keep", a.Status)
	}
	head := &pb.AnswerHead{Status: int32(a.Status), Headers: []*pb.Header{{Name: HeaderReplayed, Value: "true"}}}
	for _, h := range a.Headers {
		head.Headers = append(head.Headers, &pb.Header{Name: h.Name, Value: h.Value})
	}
	return r.sendWhole(head, a.Body)
}
