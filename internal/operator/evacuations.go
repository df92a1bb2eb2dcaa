package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/gentianrail/gentianrail/internal/controller"
	"github.com/gentianrail/gentianrail/internal/web"
)

// EvacuationDocument is the JSON form of an availability zone's evacuation.
type EvacuationDocument struct {
	Zone      string    `json:"zone"`
	Evacuated bool      `json:"evacuated"`
	ChangedAt time.Time `json:"changed_at,omitzero"` // latest change
}

// EvacuationsDocument is the JSON form of the evacuated zones.
type EvacuationsDocument struct {
	Revision    uint64               `json:"revision"`
	Evacuations []EvacuationDocument `json:"evacuations"`
}

func (o *operator) listEvacuations(w http.ResponseWriter, r *http.Request) {
	out := EvacuationsDocument{Evacuations: []EvacuationDocument{}}
	err := o.readState(r.Context(), func(rd controller.ReadOnlyState) {
		out.Revision = rd.Machine.Revision()
		for _, z := range rd.Machine.Evacuations().Zones() {
			if z.Evacuated {
				out.Evacuations = append(out.Evacuations, EvacuationDocument{Zone: z.Name, Evacuated: true, ChangedAt: z.ChangedAt})
			}
		}
	})
	if err != nil {
		web.WriteFault(w, err)
		return
	}
	web.WriteJSON(w, http.StatusOK, out)
}

func (o *operator) startEvacuation(w http.ResponseWriter, r *http.Request) {
	orderEvacuation(w, r, true, o.client.StartEvacuation)
}

func (o *operator) finishEvacuation(w http.ResponseWriter, r *http.Request) {
	orderEvacuation(w, r, false, o.client.FinishEvacuation)
}

func orderEvacuation(w http.ResponseWriter, r *http.Request, evacuated bool, order func(context.Context, string) error) {
	ctx, cancel := context.WithTimeout(r.Context(), _requestTimeout)
	defer cancel()
	zone := web.PathValue(r, "zone")
	if err := order(ctx, zone); err != nil {
		web.WriteFault(w, err)
		return
	}
	web.WriteJSON(w, http.StatusOK, EvacuationDocument{Zone: zone, Evacuated: evacuated})
}
