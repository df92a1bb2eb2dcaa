package workerapi

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
)

// answers is a transport that answers each request with the same body.
type answers string

func (a answers) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(string(a))), Request: r}, nil
}

// TestUnclearStatusIsNoEnd guards against a task that counts as lost, and is started
// elsewhere, because the worker's answer could not be understood.
func TestUnclearStatusIsNoEnd(t *testing.T) {
	tests := []struct {
		body  string
		want  State
		wrong bool // the answer must be an error
	}{
		{body: `{"progress": "running"}`, want: Running},
		{body: `{"progress": "unknown"}`, want: Unknown},
		{body: `{"progress": "stopped"}`, want: Stopped},
		{body: `{"progress": "suspended"}`, wrong: true},
		{body: `{"progress": ""}`, wrong: true},
		{body: `{}`, wrong: true},
	}
	for _, tc := range tests {
		t.Run(tc.body, func(t *testing.T) {
			c := NewClient("worker")
			c.httpClient.Transport = answers(tc.body)
			got, err := c.Wait(context.Background(), TaskID{Job: "j", Attempt: 1}, 0)
			if tc.wrong != (err != nil) || !tc.wrong && got.State != tc.want {
				t.Errorf("got %s, %v", got.State, err)
			}
		})
	}
}
