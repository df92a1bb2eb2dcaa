package tool

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/client"
	"github.com/gentianrail/gentianrail/internal/jobsapi"
	"github.com/gentianrail/gentianrail/internal/web"
)

// _maxResultWait is the longest that one call waits for a result.
const _maxResultWait = 10 * time.Second

func jobsCommand() *cli.Command {
	return &cli.Command{
		Name:  "jobs",
		Usage: "submit, list and cancel batch jobs and print their results",
		Commands: []*cli.Command{
			{
				Name:      "submit",
				Usage:     "submit a job and print its identifier",
				ArgsUsage: "ENTRY",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "body", Usage: "the job's input, `TEXT` or @FILE", Value: "{}"},
					&cli.StringFlag{Name: "key", Usage: "idempotency `KEY`; submitting again with it returns the same job"},
				},
				Action: submitJob,
			},
			{
				Name:  "list",
				Usage: "list jobs",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "entry", Usage: "only jobs of the entry `NAME`"},
					&cli.StringFlag{Name: "state", Usage: "only jobs in `STATE`: queued, running, done, failed or cancelled"},
				},
				Action: listJobs,
			},
			{
				Name:      "result",
				Usage:     "print a job's result",
				ArgsUsage: "JOB",
				Flags:     []cli.Flag{&cli.DurationFlag{Name: "wait", Usage: "how long to wait for the job's end"}},
				Action:    printJobResult,
			},
			{Name: "cancel", Usage: "cancel a job", ArgsUsage: "JOB", Action: cancelJob},
		},
	}
}

func submitJob(ctx context.Context, cmd *cli.Command) error {
	entry, err := singleArg(cmd, "entry")
	if err != nil {
		return err
	}
	body := []byte(cmd.String("body"))
	if len(body) > 0 && body[0] == '@' {
		if body, err = os.ReadFile(string(body[1:])); err != nil {
			return cli.Exit("read the body: "+err.Error(), ExitUsage)
		}
	}
	call := client.Call{Method: http.MethodPost, Path: "/v1/jobs/" + url.PathEscape(entry), Body: body, Header: http.Header{}}
	key := cmd.String("key")
	if key == "" {
		key = uuid.NewString() // makes retries by the client safe
	}
	call.Header.Set(web.HeaderIdempotencyKey, strconv.Quote(key))
	a, err := newClient(cmd).Do(ctx, call)
	if err != nil {
		return err
	}
	var doc jobsapi.SubmitDocument
	if err := json.Unmarshal(a.Body, &doc); err != nil {
		return fault.Wrap(fault.Internal, err, "decode the answer")
	}
	if wantsJSON(cmd) {
		return printJSON(cmd.Root().Writer, doc)
	}
	_, err = fmt.Fprintln(cmd.Root().Writer, doc.JobID)
	return err
}

func listJobs(ctx context.Context, cmd *cli.Command) error {
	c := newClient(cmd)
	q := url.Values{}
	for _, name := range []string{"entry", "state"} {
		if v := cmd.String(name); v != "" {
			q.Set(name, v)
		}
	}
	jobs := []jobsapi.Document{}
	for {
		var page jobsapi.ListDocument
		if err := c.Get(ctx, "/v1/jobs?"+q.Encode(), &page); err != nil {
			return err
		}
		jobs = append(jobs, page.Jobs...)
		if page.Next == "" {
			break
		}
		q.Set("after", page.Next)
	}
	w := cmd.Root().Writer
	if wantsJSON(cmd) {
		return printJSON(w, jobs)
	}
	t := newTable(w, "JOB\tENTRY\tSTATE\tATTEMPT\tWORKER\tSUBMITTED\tREASON")
	for _, j := range jobs {
		t.addRow("%s\t%s\t%s\t%d\t%s\t%s\t%s", j.JobID, j.Entry, j.State, j.Attempt, orDash(j.Worker),
			j.Submitted.Format(time.RFC3339), orDash(j.Reason))
	}
	return t.flush()
}

func printJobResult(ctx context.Context, cmd *cli.Command) error {
	id, err := singleArg(cmd, "job")
	if err != nil {
		return err
	}
	c := newClient(cmd)
	deadline := time.Now().Add(cmd.Duration("wait"))
	for {
		remaining := max(min(time.Until(deadline), _maxResultWait), 0)
		path := "/v1/jobs/" + url.PathEscape(id) + "/result?wait_ms=" + strconv.FormatInt(remaining.Milliseconds(), 10)
		a, err := c.Do(ctx, client.Call{Method: http.MethodGet, Path: path})
		if err != nil {
			return err
		}
		if a.Status != http.StatusAccepted {
			return printBody(cmd.Root().Writer, a.Body)
		}
		if time.Now().After(deadline) {
			return fault.New(fault.JobNotFinished, "job %s has not finished", id)
		}
	}
}

func printBody(w io.Writer, body []byte) error {
	if _, err := w.Write(body); err != nil {
		return err
	}
	if len(body) == 0 || body[len(body)-1] != '\n' {
		_, err := fmt.Fprintln(w)
		return err
	}
	return nil
}

func cancelJob(ctx context.Context, cmd *cli.Command) error {
	id, err := singleArg(cmd, "job")
	if err != nil {
		return err
	}
	a, err := newClient(cmd).Do(ctx, client.Call{Method: http.MethodDelete, Path: "/v1/jobs/" + url.PathEscape(id)})
	if err != nil {
		return err
	}
	if a.Status == http.StatusAccepted {
		_, err = fmt.Fprintf(cmd.Root().Writer, "job %s is being stopped\n", id)
		return err
	}
	_, err = fmt.Fprintf(cmd.Root().Writer, "job %s is cancelled\n", id)
	return err
}
