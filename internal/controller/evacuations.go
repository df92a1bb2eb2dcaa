package controller

import (
	"context"
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/dispatch"
	"github.com/gentianrail/gentianrail/evacuation"
	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/submission"
	"github.com/gentianrail/gentianrail/worker"
)

const (
	// _zonesUnknownTime is the time from an election during which no zone counts as unknown:
	// not all agents have reported to the new leader, and the former one may have accepted an
	// order that is not in the log yet.
	_zonesUnknownTime = 2 * time.Second
	// _maxReportedZones bounds the zones of workers that a leader remembers.
	_maxReportedZones = 1000
)

// zones is what a controller knows of the availability zones besides the record.
type zones struct {
	configured map[string]bool // by the settings
	reported   map[string]bool // by workers, since the election
	proposed   map[string]bool // zones of orders that were proposed since the election
}

func newZones(configured []string) zones {
	z := zones{configured: make(map[string]bool)}
	z.reset()
	for _, name := range configured {
		z.configured[name] = true
	}
	return z
}

// reset forgets what the present leader has learnt.
func (z *zones) reset() { z.reported, z.proposed = make(map[string]bool), make(map[string]bool) }

// report records a zone that a worker names.
func (z *zones) report(name string) {
	if len(z.reported) < _maxReportedZones && evacuation.CheckName(name) == nil {
		z.reported[name] = true
	}
}

// zoneOfOrder returns the zone of a command that starts or finishes an evacuation.
func zoneOfOrder(cmd state.Command) (zone string, ok bool) {
	switch cmd := cmd.(type) {
	case state.StartEvacuation:
		return cmd.Zone, true
	case state.FinishEvacuation:
		return cmd.Zone, true
	}
	return "", false
}

// checkOrder returns the reply to an order of a zone that must not be proposed, or nil. An
// order whose sender has gone may have been overtaken by a later one.
func (s *rpcService) checkOrder(ctx context.Context, zone string) (reply *pb.ProposeReply, err error) {
	err = s.core.Do(ctx, func(c *Core, now time.Time) {
		if !c.holdsLease(now) {
			reply = &pb.ProposeReply{NotLeader: true, LeaderAddress: c.leaderAddress()}
			return
		}
		if err := c.checkZone(now, zone); err != nil {
			reply = &pb.ProposeReply{Outcome: wire.EncodeOutcome(state.Outcome{Err: err})}
		}
	})
	if err == nil {
		err = ctx.Err()
	}
	return reply, err
}

// checkZone returns an error for an order of a zone that does not exist. A zone of which an
// order was accepted is known from then on, so that no repeated order is rejected.
func (c *Core) checkZone(now time.Time, zone string) error {
	if err := evacuation.CheckName(zone); err != nil {
		return err
	}
	switch {
	case c.isKnownZone(zone) || !c.knowsAnyZone():
		c.zones.proposed[zone] = true
		return nil
	case now.Sub(c.sessions.leaderSince) < _zonesUnknownTime:
		return fault.New(fault.NotReady, "zone %q is not known; the leader was elected just now, and not all workers have reported to it", zone)
	}
	return fault.New(fault.ZoneNotFound, "no zone %q", zone)
}

func (c *Core) isKnownZone(zone string) bool {
	z := &c.zones
	return z.configured[zone] || z.reported[zone] || z.proposed[zone] || c.machine.Evacuations().IsKnown(zone) ||
		slices.ContainsFunc(c.machine.Workers().Workers(), func(w worker.Worker) bool { return w.Zone == zone })
}

// knowsAnyZone reports whether the settings or a worker name zones.
func (c *Core) knowsAnyZone() bool {
	return len(c.zones.configured)+len(c.zones.reported)+c.machine.Workers().Len() > 0
}

// syncEvacuations tells the scheduler which zones are evacuated.
func (c *Core) syncEvacuations(now time.Time) {
	c.sessions.scheduler.SetEvacuatedZones(now, c.machine.Submissions(), c.machine.Evacuations().Evacuated())
}

// handleEvacuation tells the agents of a zone that its evacuation has started or ended.
func (c *Core) handleEvacuation(now time.Time, zone string, r state.Result) {
	if r.Outcome.Err != nil || r.Outcome.Repeated {
		return
	}
	fields := event.Fields{"zone": zone, "evacuated_zones": c.machine.Evacuations().Count()}
	if c.machine.Evacuations().IsEvacuated(zone) {
		c.log.Emit(event.EvacuationStarted, fields, "evacuation of a zone started; nothing is started on its workers")
	} else {
		c.log.Emit(event.EvacuationFinished, fields, "evacuation of a zone finished; its workers receive tasks again")
	}
	c.syncEvacuations(now)
	for _, sess := range c.sessions.byIncarnation {
		if sess.worker.Zone == zone {
			sess.outbox.put(c.newOrder(sess))
		}
	}
}

// isEvacuated reports whether the zone of a session's worker is evacuated.
func (c *Core) isEvacuated(sess *session) bool {
	return sess != nil && c.machine.Evacuations().IsEvacuated(sess.worker.Zone)
}

// rejectInEvacuatedZones returns the recorded starts that may be ordered. It proposes the
// ends of the others: their zones were evacuated after the starts were proposed. The members
// of a gang start together or not at all. If an agent is away, its order says that the zone
// is evacuated when it attaches, and the agent cancels the start.
func (c *Core) rejectInEvacuatedZones(now time.Time, starts []submission.Start) []submission.Start {
	if c.machine.Evacuations().Count() == 0 {
		return starts
	}
	rejected, gangs := make(map[submission.RunID]bool), make(map[dispatch.StepID]bool)
	stepOf := func(t submission.TaskID) dispatch.StepID {
		return stepOf(t)
	}
	for _, st := range starts {
		if !c.isEvacuated(c.sessions.byIncarnation[st.Worker]) {
			continue
		}
		rejected[st.Run] = true
		if s, ok := c.machine.Submissions().Submission(st.Run.Task.Submission); ok && s.Steps[st.Run.Task.Step].Gang {
			gangs[stepOf(st.Run.Task)] = true
		}
	}
	var ends []submission.End
	allowed := slices.DeleteFunc(slices.Clone(starts), func(st submission.Start) bool {
		if !rejected[st.Run] && !gangs[stepOf(st.Run.Task)] {
			return false
		}
		ends = append(ends, submission.End{Run: st.Run, Worker: st.Worker, Reason: submission.Rejected})
		return true
	})
	c.proposeEnds(now, ends)
	return allowed
}

// updateEvacuationMetric sets the metric of the evacuated zones.
func (c *Core) updateEvacuationMetric() {
	c.evacuatedZones.Update(int64(c.machine.Evacuations().Count()))
}
