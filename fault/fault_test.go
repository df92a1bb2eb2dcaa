package fault

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// TestErrorsPageMatchesCodes guards against a code that docs/ERRORS.md lacks or
// describes differently.
func TestErrorsPageMatchesCodes(t *testing.T) {
	data, err := os.ReadFile("../docs/ERRORS.md")
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for _, d := range Definitions() {
		retry := "-"
		if d.RetryAfter > 0 {
			retry = d.RetryAfter.String()
		}
		want = append(want, fmt.Sprintf("| %d | %s | %d | %s | %s |", d.Code, d.Name, d.HTTPStatus, d.Ran, retry))
	}
	var got []string
	for _, line := range strings.Split(string(data), "\n") {
		cells := strings.Split(line, " | ")
		if len(cells) > 6 && cells[0] != "| code" && !strings.HasPrefix(line, "| ---") {
			got = append(got, strings.Join(cells[:5], " | ")+" |")
		}
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("docs/ERRORS.md has\n%s\nthe code has\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

func TestErrorKeepsCauseAndOverridesDefaults(t *testing.T) {
	cause := errors.New("cause")
	err := fmt.Errorf("outer: %w", Wrap(AgentLost, cause, "connect"))
	if !errors.Is(err, cause) {
		t.Error("errors.Is does not find the cause")
	}
	for _, tc := range []struct {
		err   error
		code  Code
		ran   Ran
		retry time.Duration
	}{
		{err, AgentLost, RanUnknown, 0},
		{New(AgentLost, "x").WithRan(RanNo), AgentLost, RanNo, 0},
		{New(Overloaded, "x"), Overloaded, RanNo, time.Second},
		{New(Overloaded, "x").WithRetryAfter(time.Minute), Overloaded, RanNo, time.Minute},
		{cause, Internal, RanUnknown, 0},
	} {
		f := From(tc.err)
		if f.Code() != tc.code || f.Ran() != tc.ran || f.RetryAfter() != tc.retry {
			t.Errorf("%v: got %d, %s, %s; want %d, %s, %s", tc.err, f.Code(), f.Ran(), f.RetryAfter(), tc.code, tc.ran, tc.retry)
		}
	}
	if CodeOf(nil) != OK {
		t.Error("nil has a code other than OK")
	}
}
