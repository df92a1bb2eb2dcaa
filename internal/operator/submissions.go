package operator

import (
	"net/http"

	"github.com/gentianrail/gentianrail/dispatch"
	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/controller"
	"github.com/gentianrail/gentianrail/internal/web"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/submission"
)

// SubmissionDocument is the JSON form of a submission.
type SubmissionDocument struct {
	ID          string         `json:"id"`
	Queue       string         `json:"queue"`
	State       string         `json:"state"`
	AgeMS       int64          `json:"age_ms"`       // stops growing when the submission ends
	ObjectiveMS int64          `json:"objective_ms"` // age by which the submission should end
	Tasks       int            `json:"tasks"`
	Done        int            `json:"done"`
	Waiting     int            `json:"waiting"`
	Runs        []RunDocument  `json:"runs,omitempty"`  // in a description, not in a list
	Steps       []StepDocument `json:"steps,omitempty"` // in a description, not in a list
}

// RunDocument is the JSON form of an active run.
type RunDocument struct {
	Task   string `json:"task"`
	Run    uint32 `json:"run"`
	Worker string `json:"worker"`
}

// StepDocument is the JSON form of a step's progress in one occurrence.
type StepDocument struct {
	Occurrence int `json:"occurrence"`
	Step       int `json:"step"`
	Tasks      int `json:"tasks"`
	Done       int `json:"done"`
	Failures   int `json:"failures"`
	Crashes    int `json:"crashes"` // of workers under the step's runs
}

// SubmissionsDocument is the JSON form of a list of submissions.
type SubmissionsDocument struct {
	Revision    uint64               `json:"revision"`
	Submissions []SubmissionDocument `json:"submissions"`
}

func (o *operator) listSubmissions(w http.ResponseWriter, r *http.Request) {
	queue, stateName := r.URL.Query().Get("queue"), r.URL.Query().Get("state")
	out := SubmissionsDocument{Submissions: []SubmissionDocument{}}
	err := o.readState(r.Context(), func(rd controller.ReadOnlyState) {
		out.Revision = rd.Machine.Revision()
		for _, s := range rd.Machine.Submissions().All() {
			if (queue == "" || s.Queue == queue) && (stateName == "" || s.State.String() == stateName) {
				out.Submissions = append(out.Submissions, submissionDocument(rd, s))
			}
		}
	})
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	web.WriteJSON(w, http.StatusOK, out)
}

func submissionDocument(rd controller.ReadOnlyState, s *submission.Submission) SubmissionDocument {
	d := SubmissionDocument{
		ID: s.ID, Queue: s.Queue, State: s.State.String(), Waiting: s.WaitingTasks(),
		ObjectiveMS: dispatch.Objective(s).Milliseconds(),
	}
	end := rd.Machine.Now()
	if s.State.Ended() {
		end = s.EndedAt
	}
	d.AgeMS = end.Sub(s.Accepted).Milliseconds()
	for _, steps := range s.StepRecords {
		for i := range steps {
			d.Tasks += len(steps[i].Tasks)
			d.Done += steps[i].DoneTasks
		}
	}
	return d
}

func (o *operator) getSubmission(w http.ResponseWriter, r *http.Request) {
	o.describeSubmission(w, r, web.PathValue(r, "id"))
}

// describeSubmission answers a request with a submission's description.
func (o *operator) describeSubmission(w http.ResponseWriter, r *http.Request, id string) {
	var out *SubmissionDocument
	err := o.readState(r.Context(), func(rd controller.ReadOnlyState) {
		s, ok := rd.Machine.Submissions().Submission(id)
		if !ok {
			return
		}
		d := submissionDocument(rd, s)
		for _, run := range s.Runs() {
			d.Runs = append(d.Runs, RunDocument{Task: run.Run.Task.String(), Run: run.Run.Number, Worker: run.Worker})
		}
		for occurrence, steps := range s.StepRecords {
			for i := range steps {
				d.Steps = append(d.Steps, stepDocument(occurrence, i, &steps[i]))
			}
		}
		out = &d
	})
	if err == nil && out == nil {
		err = fault.New(fault.JobNotFound, "no submission %q", id)
	}
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	web.WriteJSON(w, http.StatusOK, *out)
}

func stepDocument(occurrence, step int, rec *submission.StepRecord) StepDocument {
	d := StepDocument{Occurrence: occurrence, Step: step, Tasks: len(rec.Tasks), Done: rec.DoneTasks}
	for i := range rec.Tasks {
		d.Failures += rec.Tasks[i].FailedRuns
		d.Crashes += len(rec.Tasks[i].Crashes)
	}
	return d
}

func (o *operator) cancelSubmission(w http.ResponseWriter, r *http.Request) {
	if _, err := o.client.Propose(r.Context(), state.CancelSubmission{ID: web.PathValue(r, "id")}); err != nil {
		web.WriteFault(w, err)
		return
	}
	o.getSubmission(w, r)
}
