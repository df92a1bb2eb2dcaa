package controller

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/gentianrail/gentianrail/dispatch"
	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/disk"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/replica"
	"github.com/gentianrail/gentianrail/submission"
)

// TestRemotePenaltyReachesScheduler starts a controller with a remote penalty and makes it
// lead anew. It guards against a setting that is lost on the way or with the leadership, and
// against waits that neither the log nor the metrics show.
func TestRemotePenaltyReachesScheduler(t *testing.T) {
	for _, penalty := range []float64{0, 3} {
		files, err := disk.OpenFolder(t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		registry := metrics.NewRegistry()
		c, err := NewCore(CoreConfig{
			Replica: replica.Config{ID: "a", InitialMembers: []replica.Member{{ID: "a"}}, ElectionTimeout: time.Second, Heartbeat: time.Second, Rand: rand.New(rand.NewPCG(1, 1))},
			Files:   files, Send: func([]replica.Message) {}, SnapshotEntries: 1000, RemotePenalty: penalty, Metrics: registry,
		}, clock.Now())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.store.Close() })
		now := time.Unix(1_700_000_000, 0)
		c.sessions.reset(now)
		at := dispatch.Clocks{Now: now, Log: now, Wall: now}
		var store submission.Store
		for i, rack := range []string{"r0", "r1"} {
			c.sessions.scheduler.SetWorker(&store, dispatch.Worker{
				Incarnation: rack, Service: "s", Rack: rack, Capacity: submission.Resources{CPU: 1000, Memory: 1000}, Schedulable: true,
			})
			step := submission.Step{Count: 1, Needs: submission.Resources{CPU: 1000, Memory: 1}, Estimate: 500 * time.Millisecond, DataRack: "r0"}
			store.Submit(submission.Submission{
				Spec: submission.Spec{ID: []string{"first", "second"}[i], Queue: "q", Steps: []submission.Step{step}}, Service: "s", Slack: 9, BaseObjective: time.Minute,
			}, now)
		}
		starts := c.sessions.scheduler.Starts(at, &store)
		if want := map[float64]int{0: 2, 3: 1}[penalty]; len(starts) != want {
			t.Fatalf("penalty %v: %d tasks start, want %d", penalty, len(starts), want)
		}
		store.Start(starts, now)
		for _, st := range starts {
			c.sessions.scheduler.RecordStart(now, &store, st)
		}
		c.preferredWaits.update(c.sessions.scheduler.PreferenceCounts())
		if got := metrics.GetOrRegisterGauge("controller.preferred_waits", registry).Value(); got != int64(2-len(starts)) {
			t.Errorf("penalty %v: the metric shows %d waits", penalty, got)
		}
		for _, w := range c.sessions.scheduler.ExplainWaits(at, &store, 5) {
			fields := make(event.Fields)
			addPreferredWait(fields, now, w.Preferred)
			until, _ := fields["preferred_until_ms"].(int64)
			if fields["preferred_rack"] != "r0" || until < 1000 || until > 1100 || fields["preferred_reason"] != "worthwhile" || fields["preferred_tasks"] != 1 {
				t.Errorf("fields %v", fields)
			}
		}
	}
}
