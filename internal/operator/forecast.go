package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/internal/declaration"
	"github.com/gentianrail/gentianrail/internal/web"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
)

// ForecastDocument is the JSON form of where the tasks of a submission would start if it
// were submitted now.
type ForecastDocument struct {
	Submission string                 `json:"submission"`
	Rejected   string                 `json:"rejected,omitempty"` // why the submission would be rejected
	Code       string                 `json:"code,omitempty"`     // of the rejection
	Repeated   bool                   `json:"repeated,omitempty"` // a submission with this ID was accepted before; submitting it again changes nothing
	Leader     string                 `json:"leader"`
	Term       uint64                 `json:"term"`
	AgeMS      int64                  `json:"age_ms"` // at most, of the leader's answer
	Steps      []StepForecastDocument `json:"steps,omitempty"`
}

// StepForecastDocument is the JSON form of the forecast of one step.
type StepForecastDocument struct {
	Step      int                    `json:"step"`
	Tasks     int                    `json:"tasks"`
	Ready     bool                   `json:"ready"` // depends on no other step and is due
	Starts    int                    `json:"starts"`
	Class     int                    `json:"class"` // lateness class
	Ahead     int                    `json:"ahead"` // waiting steps of other submissions that are more urgent
	Workers   []WorkerForecastDoc    `json:"workers,omitempty"`
	Preferred *PreferredWaitDocument `json:"preferred,omitempty"`
	Obstacles map[string]int64       `json:"obstacles,omitempty"` // workers by the obstacle, after the starts
}

// WorkerForecastDoc is the JSON form of the starts on one worker.
type WorkerForecastDoc struct {
	Worker string `json:"worker"`
	Rack   string `json:"rack,omitempty"`
	Tasks  int    `json:"tasks"`
}

// PreferredWaitDocument is the JSON form of a wait for the rack where tasks run fastest.
type PreferredWaitDocument struct {
	Rack       string `json:"rack"`
	Tasks      int    `json:"tasks"` // 1 for a gang
	Reason     string `json:"reason"`
	ExpectedMS int64  `json:"expected_ms"`
	UntilMS    int64  `json:"until_ms"`
}

// explainSubmission answers where the tasks of a submission would start now. It submits
// nothing.
func (o *operator) explainSubmission(w http.ResponseWriter, r *http.Request) {
	spec, ok := parseBody(w, r, declaration.MaxBytes, declaration.ParseSubmission)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), _requestTimeout)
	defer cancel()
	t, err := o.client.Queues(ctx)
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	out := ForecastDocument{Submission: spec.ID}
	asked := clock.Now()
	answer := control.CallAnswer{}
	if q, ok := t.Queue(spec.Queue); ok {
		answer, err = o.client.Call(ctx, control.Call{Host: q.Host, Path: q.Prefix + spec.ID, Verb: control.Explain, Spec: spec})
	} else {
		err = fault.New(fault.EntryNotFound, "no queue %q", spec.Queue)
	}
	out.AgeMS = max(clock.Now().Sub(asked), time.Millisecond).Milliseconds()
	switch code := fault.CodeOf(err); code {
	case fault.OK:
		out.add(answer.Forecast)
	case fault.NoLeader, fault.MaybeApplied, fault.Internal:
		web.WriteFault(w, err)
		return
	default:
		out.Rejected, out.Code = fault.From(err).Message(), code.Name()
	}
	web.WriteJSON(w, http.StatusOK, out)
}

// add adds the leader's answer.
func (d *ForecastDocument) add(f *pb.Forecast) {
	d.Leader, d.Term, d.Repeated = f.GetLeader(), f.GetTerm(), f.GetRepeatedSubmission()
	for i, s := range f.GetSteps() {
		step := StepForecastDocument{
			Step: i, Tasks: int(s.GetTasks()), Ready: s.GetReady(), Class: int(s.GetLatenessClass()), Ahead: int(s.GetAhead()), Obstacles: s.GetObstacles(),
		}
		for _, w := range s.GetStarts() {
			step.Starts += int(w.GetTasks())
			step.Workers = append(step.Workers, WorkerForecastDoc{Worker: w.GetWorker(), Rack: w.GetRack(), Tasks: int(w.GetTasks())})
		}
		if p := s.GetPreferred(); p != nil {
			step.Preferred = &PreferredWaitDocument{
				Rack: p.GetRack(), Tasks: int(p.GetTasks()), Reason: p.GetReason(),
				ExpectedMS: time.Duration(p.GetExpected()).Milliseconds(), UntilMS: time.Duration(p.GetLeft()).Milliseconds(),
			}
		}
		d.Steps = append(d.Steps, step)
	}
}
