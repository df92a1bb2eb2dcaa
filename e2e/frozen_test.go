package e2e

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestFrozenAgentLosesTask stops an agent with SIGSTOP for longer than its lease:
// its connections stay open but unresponsive. Requests go to other agents. The
// agent's task runs again on another worker after the first worker has stopped
// the task.
func TestFrozenAgentLosesTask(t *testing.T) {
	c := startCluster(t)
	setLongTimeout(t)
	// The work outlasts the lease of 10 s, so the first attempt cannot finish.
	job := strings.TrimSpace(c.runTool("jobs", "submit", "cutting_plans", "--body", `{"work_ms": 12000}`))
	var workerID string
	eventually(t, "the job to run", func() error {
		var doc struct{ State, Worker string }
		if err := getJSON(_entries[0]+"/v1/jobs/"+job, &doc); err != nil {
			return err
		}
		workerID = doc.Worker
		if doc.State != "running" {
			return fmt.Errorf("the job is %s", doc.State)
		}
		return nil
	})
	number := strings.TrimPrefix(workerID, "worker_")
	firstWorker := "http://127.0.0.1:863" + number
	eventually(t, "the task at its worker", func() error { return checkTaskProgress(firstWorker, job, 1, "running") })
	c.signalProcess("agent_"+number, syscall.SIGSTOP)
	for i := range 30 {
		a := getPrice(_entries[i%2])
		if a.err != nil || a.status != http.StatusOK {
			t.Errorf("request %d while the agent is frozen: %+v", i, a)
		}
	}
	var result struct{ Attempt int }
	eventually(t, "the result", func() error { return getJSON(_entries[0]+"/v1/jobs/"+job+"/result?wait_ms=1000", &result) })
	if result.Attempt != 2 {
		t.Errorf("the result is of attempt %d, want 2", result.Attempt)
	}
	if err := checkTaskProgress(firstWorker, job, 1, "stopped"); err != nil {
		t.Errorf("the first attempt: %v", err)
	}
	c.signalProcess("agent_"+number, syscall.SIGCONT)
	c.waitReady()
	var doc struct{ State string }
	if err := getJSON(_entries[0]+"/v1/jobs/"+job, &doc); err != nil || doc.State != "done" {
		t.Errorf("after the agent resumed the job is %q, %v", doc.State, err)
	}
}

func getPrice(entry string) answer {
	resp, err := _client.Get(entry + "/v1/services/quotes/price")
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(body), err: err}
}

// checkTaskProgress returns an error unless the worker reports the wanted progress
// of an attempt.
func checkTaskProgress(target, job string, attempt int, want string) error {
	resp, err := _client.Get(fmt.Sprintf("%s/.gentianrail/v1/tasks/%s/%d", target, job, attempt))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var doc struct{ Progress string }
	if err := json.NewDecoder(resp.Body).Decode(&doc); err != nil {
		return err
	}
	if doc.Progress != want {
		return fmt.Errorf("the attempt is %s", doc.Progress)
	}
	return nil
}

// TestCancelRaceHasOneOutcome cancels jobs at about the time when they end. Each
// job has one outcome, and the answer to the cancellation agrees with it.
func TestCancelRaceHasOneOutcome(t *testing.T) {
	c := startCluster(t)
	for i := range 12 {
		job := strings.TrimSpace(c.runTool("jobs", "submit", "cutting_plans", "--body", fmt.Sprintf(`{"work_ms": %d}`, 20*i)))
		time.Sleep(100 * time.Millisecond)
		req, err := http.NewRequest(http.MethodDelete, _entries[0]+"/v1/jobs/"+job, nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := _client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		var state string
		eventually(t, "the end of "+job, func() error {
			var doc struct{ State string }
			if err := getJSON(_entries[1]+"/v1/jobs/"+job, &doc); err != nil {
				return err
			}
			if state = doc.State; state != "done" && state != "cancelled" {
				return errors.New(state)
			}
			return nil
		})
		switch {
		case resp.StatusCode == http.StatusOK && state != "cancelled",
			resp.StatusCode == http.StatusConflict && state != "done":
			t.Errorf("the cancellation was answered %s, but the job is %s", resp.Status, state)
		}
	}
}
