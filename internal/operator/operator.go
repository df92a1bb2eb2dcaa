// Package operator serves the operator API of a controller.
package operator

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/zeromicro/go-zero/rest"

	"github.com/gentianrail/gentianrail/catalogue"
	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/internal/controller"
	"github.com/gentianrail/gentianrail/internal/declaration"
	"github.com/gentianrail/gentianrail/internal/jobsapi"
	"github.com/gentianrail/gentianrail/internal/settings"
	"github.com/gentianrail/gentianrail/internal/telemetry"
	"github.com/gentianrail/gentianrail/internal/web"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/placement"
	"github.com/gentianrail/gentianrail/state"
)

// Headers of the operator API.
const (
	HeaderChangeID = "Gentianrail-Change-Id" // identifies a change across resends
	HeaderRevision = "Gentianrail-Revision"  // revision of the entry or change that the answer describes
)

const (
	_requestTimeout      = 10 * time.Second
	_maxEntriesPerPage   = 1000
	_barrierPollInterval = 2 * time.Millisecond
)

// operator serves the operator API of one controller.
type operator struct {
	id      string
	core    *controller.Core
	client  *control.Client
	members map[string]string
	metrics metrics.Registry
}

// Server is a running operator API.
type Server struct {
	web    *web.Server
	client *control.Client
}

// Start serves the operator API of a controller.
func Start(s *settings.Settings, core *controller.Core, client *control.Client, registry metrics.Registry, gate *web.Gate) (*Server, error) {
	o := &operator{id: s.Controller.ID, core: core, client: client, members: s.Controller.Members, metrics: registry}
	handler, err := web.Handler("operator", o.routes())
	if err != nil {
		return nil, err
	}
	server, err := gate.Listen(s.Controller.OperatorAddress, handler)
	if err != nil {
		return nil, err
	}
	return &Server{web: server, client: client}, nil
}

// Stop waits for the requests in flight and closes the server.
func (s *Server) Stop(ctx context.Context) error {
	err := s.web.Shutdown(ctx)
	s.client.Close()
	return err
}

func formatEntry(e *pb.CatalogueEntry) declaration.Document {
	entry := wire.DecodeEntry(e)
	return declaration.Format(entry.Spec(), entry.Revision())
}

func (o *operator) routes() []rest.Route {
	routes := []rest.Route{
		{Method: http.MethodGet, Path: "/v1/catalogue/entries", Handler: o.listEntries},
		{Method: http.MethodGet, Path: "/v1/catalogue/entries/{name}", Handler: o.getEntry},
		{Method: http.MethodPut, Path: "/v1/catalogue/entries/{name}", Handler: o.putEntry},
		{Method: http.MethodDelete, Path: "/v1/catalogue/entries/{name}", Handler: o.deleteEntry},
		{Method: http.MethodGet, Path: "/v1/status", Handler: o.getStatus},
		{Method: http.MethodGet, Path: "/v1/workers", Handler: o.listWorkers},
		{Method: http.MethodGet, Path: "/v1/tasks", Handler: o.listTasks},
		{Method: http.MethodPost, Path: "/v1/drain/{worker}", Handler: o.drainWorker},
		{Method: http.MethodDelete, Path: "/v1/drain/{worker}", Handler: o.undrainWorker},
		{Method: http.MethodGet, Path: "/v1/evacuations", Handler: o.listEvacuations},
		{Method: http.MethodPut, Path: "/v1/evacuations/{zone}", Handler: o.startEvacuation},
		{Method: http.MethodDelete, Path: "/v1/evacuations/{zone}", Handler: o.finishEvacuation},
		{Method: http.MethodGet, Path: "/v1/queues", Handler: o.getQueues},
		{Method: http.MethodPut, Path: "/v1/queues", Handler: o.putQueues},
		{Method: http.MethodGet, Path: "/v1/submissions", Handler: o.listSubmissions},
		{Method: http.MethodPost, Path: "/v1/submissions", Handler: o.postSubmission},
		{Method: http.MethodPost, Path: "/v1/explain/submissions", Handler: o.explainSubmission},
		{Method: http.MethodGet, Path: "/v1/submissions/{id}", Handler: o.getSubmission},
		{Method: http.MethodDelete, Path: "/v1/submissions/{id}", Handler: o.cancelSubmission},
		{Method: http.MethodGet, Path: "/v1/report/burn", Handler: o.getBurnReport},
		{Method: http.MethodGet, Path: "/v1/metrics", Handler: o.getMetrics},
		{Method: http.MethodGet, Path: "/metrics", Handler: telemetry.Handler(o.metrics).ServeHTTP},
		{Method: http.MethodGet, Path: "/healthz", Handler: o.getHealth},
		{Method: http.MethodGet, Path: "/readyz", Handler: o.getReadiness},
	}
	return append(routes, jobsapi.New(o.client).Routes()...)
}

// readState calls run with a state that includes every change accepted before
// the call of readState.
func (o *operator) readState(ctx context.Context, run func(rd controller.ReadOnlyState)) error {
	ctx, cancel := context.WithTimeout(ctx, _requestTimeout)
	defer cancel()
	revision, err := o.client.Barrier(ctx)
	if err != nil {
		return err
	}
	for {
		done, err := o.core.Read(ctx, revision, run)
		if fault.CodeOf(err) == fault.NotReady {
			return err
		}
		if err != nil {
			return fault.Wrap(fault.NoLeader, err, "this controller is behind its leader")
		}
		if done {
			return nil
		}
		time.Sleep(_barrierPollInterval)
	}
}

// EntriesDocument is the JSON form of a page of the catalogue's entries.
type EntriesDocument struct {
	Revision uint64                 `json:"revision"`
	Entries  []declaration.Document `json:"entries"`
	Next     string                 `json:"next,omitempty"`
}

func (o *operator) listEntries(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		o.watchEntries(w, r)
		return
	}
	limit := _maxEntriesPerPage
	if s := r.URL.Query().Get("limit"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 || n > _maxEntriesPerPage {
			web.WriteFault(w, fault.New(fault.BadRequest, "limit: found %q, allowed is a number from 1 to %d", s, _maxEntriesPerPage))
			return
		}
		limit = n
	}
	after := r.URL.Query().Get("after")
	out := EntriesDocument{Entries: []declaration.Document{}}
	err := o.readState(r.Context(), func(rd controller.ReadOnlyState) {
		out.Revision = rd.Machine.Revision()
		for _, e := range rd.Machine.Catalogue().Entries() {
			if e.Name() <= after {
				continue
			}
			if len(out.Entries) == limit {
				out.Next = out.Entries[limit-1].Name
				return
			}
			out.Entries = append(out.Entries, declaration.Format(e.Spec(), e.Revision()))
		}
	})
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	web.WriteJSON(w, http.StatusOK, out)
}

// WatchDocument is the JSON form of one line of a watch of the catalogue.
type WatchDocument struct {
	Type     string                `json:"type"` // put, deleted or bookmark
	Revision uint64                `json:"revision"`
	Name     string                `json:"name,omitempty"`
	Entry    *declaration.Document `json:"entry,omitempty"`
}

// watchEntries streams the changes after a revision as lines of JSON. If the
// changes are no longer stored, the answer is revision_gone; the operator then
// lists the entries and watches from the list's revision.
func (o *operator) watchEntries(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		web.WriteFault(w, fault.New(fault.BadRequest, "revision: found %q, allowed is the revision of a list",
			r.URL.Query().Get("revision")))
		return
	}
	if _, ok, _ := o.core.ChangesSince(revision); !ok {
		web.WriteFault(w, fault.New(fault.RevisionGone, "changes after revision %d are no longer stored; list again", revision))
		return
	}
	end, err := web.BeginLasting(r)
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	defer end()
	w.Header().Set("Content-Type", "application/json-seq")
	flusher := http.NewResponseController(w)
	bookmark := time.NewTicker(time.Second)
	defer bookmark.Stop()
	for {
		u, ok, changed := o.core.ChangesSince(revision)
		if !ok {
			return
		}
		var lines []WatchDocument
		for _, e := range u.GetEntries() {
			doc := formatEntry(e)
			lines = append(lines, WatchDocument{Type: "put", Revision: doc.Revision, Name: doc.Name, Entry: &doc})
		}
		for _, name := range u.GetDeletedEntries() {
			lines = append(lines, WatchDocument{Type: "deleted", Revision: u.GetRevision(), Name: name})
		}
		lines = append(lines, WatchDocument{Type: "bookmark", Revision: u.GetRevision()})
		for _, line := range lines {
			if json.MarshalWrite(w, line) != nil {
				return
			}
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
		}
		if flusher.Flush() != nil {
			return
		}
		revision = max(revision, u.GetRevision())
		select {
		case <-changed:
		case <-bookmark.C:
		case <-o.core.Stopped():
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (o *operator) getEntry(w http.ResponseWriter, r *http.Request) {
	name := web.PathValue(r, "name")
	var entry catalogue.Entry
	found := false
	err := o.readState(r.Context(), func(rd controller.ReadOnlyState) {
		entry, found = rd.Machine.Catalogue().Entry(name)
	})
	if err == nil && !found {
		err = fault.New(fault.EntryNotFound, "no entry %q", name)
	}
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	writeEntry(w, entry, http.StatusOK)
}

func writeEntry(w http.ResponseWriter, e catalogue.Entry, status int) {
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(e.Version(), 10)))
	w.Header().Set(HeaderRevision, strconv.FormatUint(e.Revision(), 10))
	web.WriteJSON(w, status, declaration.Format(e.Spec(), e.Revision()))
}

// baseVersion returns the version that a change is based on, from If-Match.
func baseVersion(h http.Header) (uint64, error) {
	s := h.Get("If-Match")
	if s == "" || s == "*" {
		return catalogue.AnyVersion, nil
	}
	n, err := strconv.ParseUint(strings.Trim(s, `"`), 10, 64)
	if err != nil {
		return 0, fault.New(fault.BadRequest, "If-Match: found %q, allowed is a version in double quotes", s)
	}
	return n, nil
}

func changeID(h http.Header) string {
	if id := h.Get(HeaderChangeID); id != "" {
		return id
	}
	return uuid.NewString()
}

func (o *operator) putEntry(w http.ResponseWriter, r *http.Request) {
	name := web.PathValue(r, "name")
	data, err := web.ReadBody(w, r, declaration.MaxBytes)
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	end := web.BeginDecoding(r, len(data))
	spec, err := declaration.Parse(name, data)
	end()
	if err == nil && spec.Name != name {
		err = fault.New(fault.BadDeclaration, "%s: name: found %q, allowed is the name in the path", name, spec.Name)
	}
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	version, err := baseVersion(r.Header)
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	o.changeEntry(w, r, catalogue.Change{ID: changeID(r.Header), Base: version, Name: name, Put: &spec})
}

func (o *operator) deleteEntry(w http.ResponseWriter, r *http.Request) {
	version, err := baseVersion(r.Header)
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	o.changeEntry(w, r, catalogue.Change{ID: changeID(r.Header), Base: version, Name: web.PathValue(r, "name")})
}

// changeEntry makes a change to the catalogue, or a dry run of it if
// dry_run=true.
func (o *operator) changeEntry(w http.ResponseWriter, r *http.Request, ch catalogue.Change) {
	if ch.Put != nil {
		if err := o.checkPlaceable(r.Context(), *ch.Put); err != nil {
			web.WriteFault(w, err)
			return
		}
	}
	if r.URL.Query().Get("dry_run") == "true" {
		o.dryRunChange(w, r, ch)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), _requestTimeout)
	defer cancel()
	var cmd state.Command = state.DeleteEntry{Name: ch.Name, Base: ch.Base, ChangeID: ch.ID}
	if ch.Put != nil {
		cmd = state.PutEntry{Spec: *ch.Put, Base: ch.Base, ChangeID: ch.ID}
	}
	out, err := o.client.Propose(ctx, cmd)
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	o.writeChangeResult(w, ch, out.Entry, out.Revision)
}

// checkPlaceable rejects a batch entry whose tasks fit on no registered worker,
// even an empty one.
func (o *operator) checkPlaceable(ctx context.Context, spec catalogue.Spec) error {
	if spec.Class != catalogue.Batch {
		return nil
	}
	reason := ""
	err := o.readState(ctx, func(rd controller.ReadOnlyState) {
		reason = placement.UnplaceableReason(catalogue.RestoreEntry(spec, 0, 0), rd.Nodes())
	})
	if err != nil {
		return err
	}
	if reason != "" {
		return fault.New(fault.BadDeclaration, "%s: limits: found a task that could never run, %s", spec.Name, reason)
	}
	return nil
}

func (o *operator) dryRunChange(w http.ResponseWriter, r *http.Request, ch catalogue.Change) {
	ch.DryRun = true
	var accepted catalogue.ChangeResult
	var changeErr error
	err := o.readState(r.Context(), func(rd controller.ReadOnlyState) {
		ch.At = rd.Machine.Now()
		accepted, changeErr = rd.Machine.Catalogue().Apply(ch, rd.Machine.Revision()+1)
	})
	if err == nil {
		err = changeErr
	}
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	o.writeChangeResult(w, ch, &accepted.Entry, accepted.Revision)
}

func (o *operator) writeChangeResult(w http.ResponseWriter, ch catalogue.Change, e *catalogue.Entry, revision uint64) {
	w.Header().Set(HeaderRevision, strconv.FormatUint(revision, 10))
	if ch.Put == nil || e == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	writeEntry(w, *e, http.StatusOK)
}
