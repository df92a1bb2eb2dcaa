package web

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/go-json-experiment/json"

	"github.com/gentianrail/gentianrail/fault"
)

// Headers of answers that Gentianrail generates itself.
const (
	HeaderCode = "Gentianrail-Code"
	HeaderRan  = "Gentianrail-Ran"
)

// FaultDocument is the JSON form of an error answer.
type FaultDocument struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Ran     string `json:"ran"`
	Message string `json:"message"`
}

// WriteFault sends an error answer.
func WriteFault(w http.ResponseWriter, err error) {
	f := fault.From(err)
	h := w.Header()
	h.Set(HeaderCode, strconv.Itoa(int(f.Code())))
	h.Set(HeaderRan, f.Ran().String())
	if f.RetryAfter() > 0 {
		h.Set("Retry-After", strconv.Itoa(ceilSeconds(f.RetryAfter())))
	}
	WriteJSON(w, f.Code().Definition().HTTPStatus, FaultDocument{
		Code:    int(f.Code()),
		Name:    f.Code().Name(),
		Ran:     f.Ran().String(),
		Message: f.Message(),
	})
}

func ceilSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

// WriteJSON sends an answer with v as its JSON body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v, json.Deterministic(true))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)+1))
	w.WriteHeader(status)
	// A failed write means that the caller has disconnected.
	_, _ = w.Write(append(data, '\n'))
}
