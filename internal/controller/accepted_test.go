package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/submission"
)

// submit sends a submission of one step and returns the code of the answer.
func (l *leader) submit(id string, tasks, imageBytes int) fault.Code {
	l.Helper()
	spec := submission.Spec{Steps: []submission.Step{{Count: tasks, Image: strings.Repeat("x", imageBytes)}}}
	out, err := l.rpc.Call(l.Context(), &pb.CallRequest{
		Verb: uint32(control.Submit), Host: "h.example", Path: "/" + id, Spec: wire.EncodeSubmissionSpec(spec),
	})
	if err != nil {
		l.Fatal(err)
	}
	return fault.Code(out.GetCode())
}

func (l *leader) do(run func(c *Core)) {
	l.Helper()
	if err := l.core.Do(l.Context(), func(c *Core, _ time.Time) { run(c) }); err != nil {
		l.Fatal(err)
	}
}

// TestWorkBeyondLimitsIsRejected guards against accepted work that fills the memory of
// a controller, against a resend of accepted work that is rejected, and against large
// work that keeps ordinary submissions out.
func TestWorkBeyondLimitsIsRejected(t *testing.T) {
	l := newLeaderWithTask(t)
	l.do(func(c *Core) { c.accepted.limits = AcceptedLimits{StoredBytes: 4 << 20, LargeBytes: 2 << 20} })
	accepted := 0
	for i := range 40 {
		switch code := l.submit(fmt.Sprint("large", i), 1, 200_000); code {
		case 0:
			accepted++
		case fault.Overloaded:
		default:
			t.Fatalf("got %s", code.Name())
		}
	}
	if accepted != 10 {
		t.Errorf("%d large submissions were accepted, want 10", accepted)
	}
	if code := l.submit("large0", 1, 200_000); code != 0 {
		t.Errorf("a resend got %s", code.Name())
	}
	if code := l.submit("tasks", 20_000, 1); code != fault.Overloaded {
		t.Errorf("a submission of 20,000 tasks got %s", code.Name())
	}
	for i := range 100 {
		if code := l.submit(fmt.Sprint("small", i), 10, 10); code != 0 {
			t.Fatalf("an ordinary submission got %s", code.Name())
		}
	}
	l.propose(state.CancelSubmission{ID: "large0"})
	l.do(func(c *Core) {
		for _, s := range c.machine.Submissions().Unended() {
			if s.ID != "s1" && !strings.HasPrefix(s.ID, "small") && !strings.HasPrefix(s.ID, "large") {
				t.Errorf("%s was accepted", s.ID)
			}
		}
		if a := c.accepted; len(a.proposed) != 0 || a.sum != (work{}) || a.sumLarge != 0 {
			t.Errorf("after the answers, %+v is counted as proposed", a)
		}
		c.accepted.limits = AcceptedLimits{StoredBytes: 1 << 20}
	})
	if code := l.submit("more", 1, 1); code != fault.Overloaded {
		t.Errorf("beyond the limit of stored work, a small submission got %s", code.Name())
	}
}

// TestLogBytesAreBounded guards against a log that holds large entries in memory
// until their number reaches the limit of a snapshot.
func TestLogBytesAreBounded(t *testing.T) {
	l := newLeaderWithTask(t)
	l.do(func(c *Core) {
		c.accepted.limits = AcceptedLimits{LogBytes: 4 << 20, SnapshotBytes: 1 << 20, RetainedBytes: 512 << 10}
	})
	rejected := 0
	for i := range 200 {
		id := fmt.Sprint("s-", i)
		for l.submit(id, 1, 100_000) == fault.Overloaded { // until the snapshot is written
			rejected++
			time.Sleep(10 * time.Millisecond)
		}
		l.do(func(c *Core) {
			if n := c.replica.LogBytes(); n > 4<<20 {
				t.Fatalf("the log holds %d bytes", n)
			}
		})
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		var held int64
		l.do(func(c *Core) { held = c.replica.LogBytes() })
		if held <= 2<<20 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("the log still holds %d bytes; %d submissions were rejected", held, rejected)
		}
	}
}
