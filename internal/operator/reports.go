package operator

import (
	"context"
	"net/http"
	"sort"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/gentianrail/gentianrail/burn"
	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/controller"
	"github.com/gentianrail/gentianrail/internal/web"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/worker"
)

// WorkerDocument is the JSON form of a worker.
type WorkerDocument struct {
	ID             string   `json:"id"`
	State          string   `json:"state"` // open, draining, evacuated or leaving
	Incarnation    uint64   `json:"incarnation"`
	Address        string   `json:"address"`
	Region         string   `json:"region,omitempty"`
	Zone           string   `json:"zone"`
	Rack           string   `json:"rack,omitempty"`
	Targets        []string `json:"targets"`
	Slots          int      `json:"slots"`
	SlotsUsed      int32    `json:"slots_used"`
	Connections    int      `json:"connections"`
	Tasks          int      `json:"tasks"`
	SinceContactMS int64    `json:"silent_ms"`
	Revision       uint64   `json:"revision"`
}

// WorkersDocument is the JSON form of all workers.
type WorkersDocument struct {
	Revision uint64           `json:"revision"`
	Workers  []WorkerDocument `json:"workers"`
}

func workerState(w worker.Worker) string {
	switch {
	case w.Leaving:
		return "leaving"
	case w.Drained:
		return "draining"
	case w.Evacuated:
		return "evacuated"
	}
	return "open"
}

func (o *operator) listWorkers(w http.ResponseWriter, r *http.Request) {
	out := WorkersDocument{Workers: []WorkerDocument{}}
	err := o.readState(r.Context(), func(rd controller.ReadOnlyState) {
		out.Revision = rd.Machine.Revision()
		for _, wk := range rd.Machine.Workers().Workers() {
			out.Workers = append(out.Workers, workerDocument(rd, wk))
		}
	})
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	web.WriteJSON(w, http.StatusOK, out)
}

func workerDocument(rd controller.ReadOnlyState, w worker.Worker) WorkerDocument {
	d := WorkerDocument{
		ID:          w.ID,
		State:       workerState(w),
		Incarnation: w.AgentIncarnation,
		Address:     w.Address,
		Region:      w.Region,
		Zone:        w.Zone,
		Rack:        w.Rack,
		Targets:     w.Targets,
		Slots:       w.Capacity.Slots,
		Connections: w.Capacity.Connections,
		Tasks:       len(rd.Machine.Jobs().RunningOnWorker(w.ID)),
		Revision:    w.Revision,
	}
	if s, ok := rd.LatestRenewal(w.ID); ok {
		d.SlotsUsed = s.SlotsUsed
		d.SinceContactMS = rd.Now.Sub(s.At).Milliseconds()
	}
	return d
}

// TaskDocument is the JSON form of a running task.
type TaskDocument struct {
	JobID   string `json:"job_id"`
	Entry   string `json:"entry"`
	Attempt uint32 `json:"attempt"`
	Worker  string `json:"worker"`
}

// TasksDocument is the JSON form of all running tasks.
type TasksDocument struct {
	Revision uint64         `json:"revision"`
	Queued   int            `json:"queued"`
	Tasks    []TaskDocument `json:"tasks"`
}

func (o *operator) listTasks(w http.ResponseWriter, r *http.Request) {
	out := TasksDocument{Tasks: []TaskDocument{}}
	err := o.readState(r.Context(), func(rd controller.ReadOnlyState) {
		out.Revision = rd.Machine.Revision()
		out.Queued = rd.Machine.Jobs().QueuedCount()
		for _, j := range rd.Machine.Jobs().Running() {
			out.Tasks = append(out.Tasks, TaskDocument{JobID: j.ID, Entry: j.Entry, Attempt: j.Attempt, Worker: j.Worker})
		}
	})
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	web.WriteJSON(w, http.StatusOK, out)
}

func (o *operator) drainWorker(w http.ResponseWriter, r *http.Request) { o.setDrained(w, r, true) }

func (o *operator) undrainWorker(w http.ResponseWriter, r *http.Request) { o.setDrained(w, r, false) }

// DrainDocument is the JSON form of the answer to a drain.
type DrainDocument struct {
	Worker  string `json:"worker"`
	Drained bool   `json:"drained"`
}

func (o *operator) setDrained(w http.ResponseWriter, r *http.Request, drained bool) {
	ctx, cancel := context.WithTimeout(r.Context(), _requestTimeout)
	defer cancel()
	id := web.PathValue(r, "worker")
	if _, err := o.client.Propose(ctx, state.DrainWorker{ID: id, Drained: drained}); err != nil {
		web.WriteFault(w, err)
		return
	}
	web.WriteJSON(w, http.StatusOK, DrainDocument{Worker: id, Drained: drained})
}

// MemberDocument is the JSON form of one controller.
type MemberDocument struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Leader  bool   `json:"leader"`
}

// HolderDocument is the JSON form of a process that holds a view.
type HolderDocument struct {
	Name           string `json:"name"`
	Role           string `json:"role"`
	Revision       uint64 `json:"revision"`
	Behind         uint64 `json:"behind"` // log entries that are not yet effective at the holder
	SinceContactMS int64  `json:"silent_ms"`
}

// StatusDocument is the JSON form of the system's status.
type StatusDocument struct {
	AnsweredBy string           `json:"answering"` // controller that answered the request
	Role       string           `json:"role"`
	Term       uint64           `json:"term"`
	Revision   uint64           `json:"revision"`
	Members    []MemberDocument `json:"members"`
	Holders    []HolderDocument `json:"holders"`
	Entries    int              `json:"entries"`
	Workers    int              `json:"workers"`
	Jobs       int              `json:"jobs"`
	Queued     int              `json:"queued"`
	Claims     int              `json:"claims"`
}

func (o *operator) getStatus(w http.ResponseWriter, r *http.Request) {
	out := StatusDocument{AnsweredBy: o.id, Members: []MemberDocument{}, Holders: []HolderDocument{}}
	err := o.readState(r.Context(), func(rd controller.ReadOnlyState) {
		out.Role = rd.Role.String()
		out.Term = rd.Term
		out.Revision = rd.Machine.Revision()
		out.Entries = rd.Machine.Catalogue().Len()
		out.Workers = rd.Machine.Workers().Len()
		out.Jobs = rd.Machine.Jobs().Len()
		out.Queued = rd.Machine.Jobs().QueuedCount()
		out.Claims = rd.Machine.Claims().Len()
		for id, address := range o.members {
			out.Members = append(out.Members, MemberDocument{
				ID: id, Address: address, Leader: id == rd.LeaderID,
			})
		}
		for _, h := range rd.Holders {
			out.Holders = append(out.Holders, HolderDocument{
				Name:           h.Name,
				Role:           h.Role,
				Revision:       h.Revision,
				Behind:         rd.Machine.Revision() - min(h.Revision, rd.Machine.Revision()),
				SinceContactMS: rd.Now.Sub(h.ReportedAt).Milliseconds(),
			})
		}
	})
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	sort.Slice(out.Members, func(i, j int) bool { return out.Members[i].ID < out.Members[j].ID })
	sort.Slice(out.Holders, func(i, j int) bool { return out.Holders[i].Name < out.Holders[j].Name })
	web.WriteJSON(w, http.StatusOK, out)
}

// WindowDocument is the JSON form of the burn over one window.
type WindowDocument struct {
	Span  string  `json:"span"`
	Total uint64  `json:"total"`
	Bad   uint64  `json:"bad"`
	Rate  float64 `json:"rate"`
	P50MS float64 `json:"p50_ms"`
	P99MS float64 `json:"p99_ms"`
}

// BurnDocument is the JSON form of one entry's burn.
type BurnDocument struct {
	Entry      string           `json:"entry"`
	Ratio      float64          `json:"ratio"`
	LatencyMS  float64          `json:"latency_ms"`
	Verdict    string           `json:"verdict"`
	BudgetLeft float64          `json:"budget_left"`
	Slow       uint64           `json:"slow"`
	Rejected   uint64           `json:"refused"`
	Failed     uint64           `json:"failed"`
	Windows    []WindowDocument `json:"windows"`
}

// BurnReportDocument is the JSON form of the burn report.
type BurnReportDocument struct {
	At      time.Time      `json:"at"`
	Entries []BurnDocument `json:"entries"`
}

func (o *operator) getBurnReport(w http.ResponseWriter, r *http.Request) {
	out := BurnReportDocument{Entries: []BurnDocument{}}
	err := o.readState(r.Context(), func(rd controller.ReadOnlyState) {
		out.At = rd.LogTime.UTC()
		for _, e := range rd.Machine.Catalogue().Entries() {
			obj := e.Objective()
			out.Entries = append(out.Entries, burnDocument(rd.Machine.Burn().Report(e.Name(), obj.Ratio, obj.Latency, rd.LogTime)))
		}
	})
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	web.WriteJSON(w, http.StatusOK, out)
}

func toMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func burnDocument(b burn.Report) BurnDocument {
	d := BurnDocument{
		Entry:      b.Entry,
		Ratio:      b.Ratio,
		LatencyMS:  toMilliseconds(b.Latency),
		Verdict:    b.Verdict.String(),
		BudgetLeft: b.BudgetLeft,
		Slow:       b.Counts.Slow,
		Rejected:   b.Counts.Rejected,
		Failed:     b.Counts.Failed,
	}
	for _, w := range b.Windows {
		d.Windows = append(d.Windows, WindowDocument{
			Span: w.Span.String(), Total: w.Total, Bad: w.Bad, Rate: w.Rate, P50MS: toMilliseconds(w.P50), P99MS: toMilliseconds(w.P99),
		})
	}
	return d
}

func (o *operator) getMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(o.metrics, w)
}

// HealthDocument is the JSON form of a health answer.
type HealthDocument struct {
	Status string `json:"status"`
}

func (o *operator) getHealth(w http.ResponseWriter, _ *http.Request) {
	web.WriteJSON(w, http.StatusOK, HealthDocument{Status: "ok"})
}

func (o *operator) getReadiness(w http.ResponseWriter, r *http.Request) {
	err := o.readState(r.Context(), func(controller.ReadOnlyState) {})
	if err != nil {
		web.WriteFault(w, fault.Wrap(fault.NotReady, err, "not ready"))
		return
	}
	web.WriteJSON(w, http.StatusOK, HealthDocument{Status: "ready"})
}
