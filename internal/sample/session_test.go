package sample

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/web"
)

// newHandler returns the handler of a target that has just started.
func newHandler(t *testing.T) http.Handler {
	t.Helper()
	target := &Target{}
	target.store = newStore(time.Now(), func() int64 { return target.runs.Add(1) })
	h, err := web.Handler("sample", target.routes())
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// status returns the status with which a call of the task API is answered.
func status(h http.Handler, call, body string) int {
	method, path, _ := strings.Cut(call, " ")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, "/.gentianrail/v1"+path, strings.NewReader(body)))
	return w.Code
}

// TestOrdersOfEarlierSessionsAreRejected guards against a start that is carried out after
// all tasks were stopped, and against a lease that was computed for the clock of an
// earlier process of the target. Such a task runs beside the next attempt of its job.
func TestOrdersOfEarlierSessionsAreRejected(t *testing.T) {
	const start, renew = `{"body": "", "checkpoint": "", "until_ms": 60000}`, `{"tasks": [{"job": "j", "attempt": 1}], "until_ms": 60000}`
	tests := []struct {
		name  string
		calls []string // the last one is a start or a renewal
		want  int
	}{
		{"present session", []string{"DELETE /tasks?session=2", "PUT /tasks/j/1?session=2"}, http.StatusOK},
		{"start of an earlier session", []string{"DELETE /tasks?session=1", "DELETE /tasks?session=2", "PUT /tasks/j/1?session=1"}, http.StatusConflict},
		{"renewal of an earlier session", []string{"DELETE /tasks?session=1", "DELETE /tasks?session=2", "POST /renew?session=1"}, http.StatusConflict},
		{"start at a target that has restarted", []string{"PUT /tasks/j/1?session=1"}, http.StatusConflict},
		{"renewal at a target that has restarted", []string{"POST /renew?session=1"}, http.StatusConflict},
		{"late begin of an earlier session", []string{"DELETE /tasks?session=2", "DELETE /tasks?session=1", "PUT /tasks/j/1?session=2"}, http.StatusOK},
		{"start of a later session", []string{"DELETE /tasks?session=1", "PUT /tasks/j/1?session=2"}, http.StatusConflict},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			h, got := newHandler(t), 0
			for _, call := range tc.calls {
				body := start
				if strings.HasPrefix(call, "POST") {
					body = renew
				}
				got = status(h, call, body)
			}
			if got != tc.want {
				t.Errorf("answered with status %d, want %d", got, tc.want)
			}
		})
	}
}
