package jobsapi

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/state"
)

var errAsked = errors.New("the controllers were asked")

// controllers records queries and answers none.
type controllers struct{ query *control.JobQuery }

func (c *controllers) Propose(context.Context, state.Command) (state.Outcome, error) {
	return state.Outcome{}, errAsked
}

func (c *controllers) Jobs(_ context.Context, q control.JobQuery) (control.JobPage, error) {
	c.query = &q
	return control.JobPage{}, errAsked
}

// A wait of 9223372036855 ms was converted to a negative duration, which passed.
func TestWaitOutOfRangeIsRefused(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"": 0, "0": 0, "60000": time.Minute,
		"60001": -1, "-1": -1, "1.5": -1, "1e3": -1, "x": -1, "9223372036855": -1, "18446744073710": -1, "9223372036854775807": -1, "9223372036854775808": -1,
	} {
		c := &controllers{}
		New(c).getResult(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/v1/jobs/j/result?wait_ms="+value, nil))
		if (c.query != nil) != (want >= 0) || c.query != nil && c.query.Wait != want {
			t.Errorf("%q: query %+v, want a wait of %s", value, c.query, want)
		}
	}
}

func TestLimitOutOfRangeIsRefused(t *testing.T) {
	for value, want := range map[string]int{
		"1": 1, "500": 500, "0": 0, "501": 0, "-1": 0, "1e2": 0, "4294967297": 0, "9223372036854775808": 0, "x": 0,
	} {
		c := &controllers{}
		New(c).listJobs(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/v1/jobs?limit="+value, nil))
		if (c.query != nil) != (want > 0) || c.query != nil && c.query.Limit != want {
			t.Errorf("%q: query %+v, want a limit of %d", value, c.query, want)
		}
	}
}
