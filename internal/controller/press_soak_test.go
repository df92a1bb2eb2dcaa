package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/submission"
)

// pressed reports whether clients of the soak submit large work without restraint, at
// controllers with low limits.
func (s *soak) pressed() bool { return s.seed%3 == 0 }

func (s *soak) acceptedLimits() AcceptedLimits {
	if !s.pressed() {
		return AcceptedLimits{}
	}
	return AcceptedLimits{LogBytes: 4 << 20, SnapshotBytes: 512 << 10, RetainedBytes: 128 << 10, StoredBytes: 8 << 20, LargeBytes: 2 << 20}
}

// press submits large work that no worker can run, and resends and cancels some of it.
// It guards against a resend of accepted work that is rejected, and against work that is
// known although it was rejected as not run.
func (s *soak) press(ctx context.Context, rnd *rand.Rand, sleep func(time.Duration) bool) {
	addresses := make([]string, 0, len(s.members))
	for _, m := range s.members {
		addresses = append(addresses, m.Address)
	}
	client := control.NewClient(addresses)
	defer client.Close()
	call := func(id string, verb control.Verb) error {
		callCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
		defer cancel()
		spec := submission.Spec{Steps: []submission.Step{{Count: 1, Requirement: "absent", Image: strings.Repeat("x", 100_000)}}}
		_, err := client.Call(callCtx, control.Call{Host: "h.example", Path: "/" + id, Verb: verb, Spec: spec})
		return err
	}
	var known, rejected []string
	report := func(text string) {
		s.model.mu.Lock()
		defer s.model.mu.Unlock()
		s.violations = append(s.violations, violation{cause: limitedWork, text: text})
	}
	for n := 0; sleep(between(rnd, time.Millisecond, 50*time.Millisecond)); n++ {
		id := fmt.Sprint("large", n)
		switch err := call(id, control.Submit); fault.CodeOf(err) {
		case fault.OK:
			known = append(known, id)
		case fault.Overloaded:
			rejected = append(rejected, id)
		}
		if len(known) > 0 {
			id := known[rnd.IntN(len(known))]
			if fault.CodeOf(call(id, control.Submit)) == fault.Overloaded {
				report(id + " was accepted, and its resend rejected")
			}
			if rnd.IntN(3) == 0 {
				_ = call(id, control.Cancel)
			}
		}
		if len(rejected) > 0 {
			id := rejected[rnd.IntN(len(rejected))]
			if err := call(id, control.Describe); err == nil {
				report(id + " is known, and was rejected as not run")
			}
		}
	}
	s.note("large work: %d accepted, %d rejected", len(known), len(rejected))
}
