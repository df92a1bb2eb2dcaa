package sample

import (
	"context"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/workerapi"
)

// processorTime returns the processor time that this process has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// A lease end that overflowed was in the past, or long before the one that was meant.
func TestOddOrdersAreRefused(t *testing.T) {
	target, err := Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = target.Server().Shutdown(context.Background()) })
	for _, tc := range []struct {
		method, path, body string
		want               int
	}{
		{http.MethodDelete, "/tasks?session=18446744073709551616", "", 400},
		{http.MethodDelete, "/tasks?session=-1", "", 400},
		{http.MethodDelete, "/tasks", "", 400},
		{http.MethodDelete, "/tasks?session=1", "", 200},
		{http.MethodPut, "/tasks/a/1?session=1", `{"until_ms":60000}`, 200},
		{http.MethodPut, "/tasks/a/4294967295?session=1", `{"until_ms":3153600000000}`, 200},
		{http.MethodPut, "/tasks/b/1?session=1", `{"until_ms":3153600000001}`, 400},
		{http.MethodPut, "/tasks/b/1?session=1", `{"until_ms":18446744073710}`, 400},
		{http.MethodPut, "/tasks/b/1?session=1", `{"until_ms":9223372036854775808}`, 400},
		{http.MethodPut, "/tasks/b/1?session=1", `{"until_ms":-1}`, 400},
		{http.MethodPut, "/tasks/b/1?session=1", `{"until_ms":1e30}`, 400},
		{http.MethodPut, "/tasks/b/4294967296?session=1", `{"until_ms":60000}`, 400},
		{http.MethodPut, "/tasks/b/-1?session=1", `{"until_ms":60000}`, 400},
		{http.MethodPut, "/tasks/b/1?session=1", strings.Repeat("[", 1<<20), 400},
		{http.MethodPut, "/tasks/b/1?session=1", `{"until_ms":60000,"body":"` + strings.Repeat("QUJD", _maxBody/4) + `"}`, 400},
		{http.MethodPost, "/renew?session=1", `{"tasks":[],"until_ms":60000}`, 200},
		{http.MethodPost, "/renew?session=1", `{"tasks":[],"until_ms":9223372036855}`, 400},
		{http.MethodPost, "/renew?session=1", `{"tasks":[{"job":"a","attempt":4294967296}],"until_ms":1}`, 400},
		{http.MethodGet, "/tasks/b/1?wait_ms=0", "", 200},
	} {
		began := processorTime(t)
		r, err := http.NewRequest(tc.method, "http://"+target.Address()+workerapi.Prefix+tc.path, strings.NewReader(tc.body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Errorf("%s %s %.40s: %v", tc.method, tc.path, tc.body, err)
			continue
		}
		answer, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if took := processorTime(t) - began; resp.StatusCode != tc.want || took > 30*time.Second {
			t.Errorf("%s %s %.40s: got %d %.100s after %s of processor time, want %d", tc.method, tc.path, tc.body, resp.StatusCode, answer, took, tc.want)
		}
	}
}
