package controller

import (
	"time"

	"github.com/gentianrail/gentianrail/dispatch"
	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/state"
)

// forecast answers where the tasks of a submission would start now. The submission is
// checked as one that is submitted, and nothing changes.
func (c *Core) forecast(out *pb.CallReply, cmd state.Command) {
	submit, ok := cmd.(state.Submit)
	if !ok {
		return // rejected
	}
	sub, err := c.machine.NewSubmission(submit.Submission)
	if err != nil {
		setFault(out, err)
		return
	}
	now := clock.Now()
	out.Forecast = c.encodeForecast(now, c.sessions.scheduler.Forecast(c.clocks(now, time.Now()), c.machine.Submissions(), sub))
}

// repeatedForecast is the forecast of a submission that was accepted before.
func (c *Core) repeatedForecast() *pb.Forecast {
	return &pb.Forecast{Term: c.replica.Term(), Leader: string(c.replica.Leader()), RepeatedSubmission: true}
}

func (c *Core) encodeForecast(now time.Time, f dispatch.Forecast) *pb.Forecast {
	out := &pb.Forecast{Term: c.replica.Term(), Leader: string(c.replica.Leader())}
	for _, s := range f.Steps {
		step := &pb.StepForecast{
			Tasks: int64(s.Tasks), Ready: s.Ready, LatenessClass: int64(s.LatenessClass), Ahead: int64(s.Ahead), Obstacles: make(map[string]int64, len(s.Obstacles)),
		}
		for _, w := range s.Starts {
			step.Starts = append(step.Starts, &pb.WorkerForecast{Worker: w.Worker, Rack: w.Rack, Tasks: int64(w.Tasks)})
		}
		for o, n := range s.Obstacles {
			step.Obstacles[o.String()] = int64(n)
		}
		if p := s.Preferred; p != nil {
			step.Preferred = &pb.PreferredWait{
				Rack: p.Rack, Tasks: int64(p.Tasks), Left: int64(p.Until.Sub(now)), Expected: int64(p.Expected), Reason: p.Reason.String(),
			}
		}
		out.Steps = append(out.Steps, step)
	}
	return out
}
