package tool

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"text/tabwriter"

	"github.com/go-json-experiment/json"
	"github.com/urfave/cli/v3"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/client"
	"github.com/gentianrail/gentianrail/internal/declaration"
	"github.com/gentianrail/gentianrail/internal/operator"
)

func submissionsCommand() *cli.Command {
	return &cli.Command{
		Name:  "submissions",
		Usage: "submit, list, describe and cancel submissions",
		Commands: []*cli.Command{
			{
				Name:  "list",
				Usage: "list submissions",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "queue", Usage: "only submissions of the queue `NAME`"},
					&cli.StringFlag{Name: "state", Usage: "only submissions in `STATE`: queued, running, completed, failed or cancelled"},
				},
				Action: listSubmissions,
			},
			{Name: "submit", Usage: "submit work to a queue", Flags: []cli.Flag{fileFlag()}, Action: submitSubmission},
			{Name: "describe", Usage: "show a submission's steps and active runs", ArgsUsage: "ID", Action: describeSubmission},
			{Name: "cancel", Usage: "cancel a submission", ArgsUsage: "ID", Action: cancelSubmission},
		},
	}
}

func submitSubmission(ctx context.Context, cmd *cli.Command) error {
	data, err := readFile(cmd.String("file"))
	if err != nil {
		return err
	}
	if _, err := declaration.ParseSubmission(data); err != nil {
		return err
	}
	a, err := newClient(cmd).Do(ctx, client.Call{Method: http.MethodPost, Path: "/v1/submissions", Body: data})
	if err != nil {
		return err
	}
	return printSubmissionAnswer(cmd, a)
}

func listSubmissions(ctx context.Context, cmd *cli.Command) error {
	q := url.Values{}
	for _, name := range []string{"queue", "state"} {
		if v := cmd.String(name); v != "" {
			q.Set(name, v)
		}
	}
	var doc operator.SubmissionsDocument
	if err := newClient(cmd).Get(ctx, "/v1/submissions?"+q.Encode(), &doc); err != nil {
		return err
	}
	if wantsJSON(cmd) {
		return printJSON(cmd.Root().Writer, doc)
	}
	t := tabwriter.NewWriter(cmd.Root().Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SUBMISSION\tQUEUE\tSTATE\tDONE\tWAITING\tAGE S\tOBJECTIVE S")
	for _, s := range doc.Submissions {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d/%d\t%d\t%s\t%s\n",
			s.ID, s.Queue, s.State, s.Done, s.Tasks, s.Waiting, formatSeconds(s.AgeMS), formatSeconds(s.ObjectiveMS))
	}
	return t.Flush()
}

func formatSeconds(ms int64) string {
	const millisPerSecond = 1000
	return strconv.FormatFloat(float64(ms)/millisPerSecond, 'f', 1, 64)
}

func describeSubmission(ctx context.Context, cmd *cli.Command) error {
	id, err := singleArg(cmd, "submission")
	if err != nil {
		return err
	}
	var doc operator.SubmissionDocument
	if err := newClient(cmd).Get(ctx, "/v1/submissions/"+url.PathEscape(id), &doc); err != nil {
		return err
	}
	return printSubmission(cmd, doc)
}

// printSubmissionAnswer prints the submission that an answer holds.
func printSubmissionAnswer(cmd *cli.Command, a client.Answer) error {
	var doc operator.SubmissionDocument
	if err := json.Unmarshal(a.Body, &doc); err != nil {
		return fault.Wrap(fault.Internal, err, "decode the answer")
	}
	return printSubmission(cmd, doc)
}

func printSubmission(cmd *cli.Command, doc operator.SubmissionDocument) error {
	if wantsJSON(cmd) {
		return printJSON(cmd.Root().Writer, doc)
	}
	t := tabwriter.NewWriter(cmd.Root().Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "submission\t%s\nqueue\t%s\nstate\t%s\nage\t%s s\nobjective\t%s s\n",
		doc.ID, doc.Queue, doc.State, formatSeconds(doc.AgeMS), formatSeconds(doc.ObjectiveMS))
	fmt.Fprintln(t, "\nOCCURRENCE\tSTEP\tDONE\tFAILURES\tCRASHES")
	for _, s := range doc.Steps {
		fmt.Fprintf(t, "%d\t%d\t%d/%d\t%d\t%d\n", s.Occurrence, s.Step, s.Done, s.Tasks, s.Failures, s.Crashes)
	}
	if len(doc.Runs) > 0 {
		fmt.Fprintln(t, "\nTASK\tRUN\tWORKER")
	}
	for _, r := range doc.Runs {
		fmt.Fprintf(t, "%s\t%d\t%s\n", r.Task, r.Run, r.Worker)
	}
	return t.Flush()
}

func cancelSubmission(ctx context.Context, cmd *cli.Command) error {
	id, err := singleArg(cmd, "submission")
	if err != nil {
		return err
	}
	a, err := newClient(cmd).Do(ctx, client.Call{Method: http.MethodDelete, Path: "/v1/submissions/" + url.PathEscape(id)})
	if err != nil {
		return err
	}
	return printSubmissionAnswer(cmd, a)
}
