package tool

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/urfave/cli/v3"

	"github.com/gentianrail/gentianrail/internal/client"
	"github.com/gentianrail/gentianrail/internal/operator"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "show where work would start now and why, without sending it",
		Commands: []*cli.Command{
			{Name: "submission", Usage: "show where the tasks of a submission would start", Flags: []cli.Flag{fileFlag()}, Action: forecastSubmission},
		},
	}
}

func forecastSubmission(ctx context.Context, cmd *cli.Command) error {
	data, err := readFile(cmd.String("file"))
	if err != nil {
		return err
	}
	a, err := newClient(cmd).Do(ctx, client.Call{Method: http.MethodPost, Path: "/v1/explain/submissions", Body: data})
	if err != nil {
		return err
	}
	var doc operator.ForecastDocument
	if err := json.Unmarshal(a.Body, &doc); err != nil {
		return fmt.Errorf("decode the answer: %w", err)
	}
	w := cmd.Root().Writer
	if wantsJSON(cmd) {
		return printJSON(w, doc)
	}
	switch {
	case doc.Rejected != "":
		_, err = fmt.Fprintf(w, "submission %s would be rejected now: %s (%s)\n", doc.Submission, doc.Rejected, doc.Code)
		return err
	case doc.Repeated:
		_, err = fmt.Fprintf(w, "submission %s was accepted before; submitting it again changes nothing\n", doc.Submission)
		return err
	}
	fmt.Fprintf(w, "submission %s would be accepted now; answer of leader %s, at most %d ms old\n\n", doc.Submission, doc.Leader, doc.AgeMS)
	t := newTable(w, "STEP\tTASKS\tSTART NOW\tWORKER\tRACK\tTASKS THERE")
	for _, s := range doc.Steps {
		t.addRow("%d\t%d\t%d\t\t\t", s.Step, s.Tasks, s.Starts)
		for _, w := range s.Workers {
			t.addRow("\t\t\t%s\t%s\t%d", w.Worker, w.Rack, w.Tasks)
		}
	}
	if err := t.flush(); err != nil {
		return err
	}
	for _, s := range doc.Steps {
		fmt.Fprintln(w, whyStepWaits(s))
	}
	return nil
}

// whyStepWaits explains in one line what decides about a step's tasks.
func whyStepWaits(s operator.StepForecastDocument) string {
	if !s.Ready {
		return fmt.Sprintf("step %d: waits for the steps that it depends on, or is not due", s.Step)
	}
	parts := []string{fmt.Sprintf("lateness class %d, %d steps of other submissions are more urgent", s.Class, s.Ahead)}
	if p := s.Preferred; p != nil {
		parts = append(parts, fmt.Sprintf("%d tasks would wait for rack %s for at most %d ms (%s), which is expected to have room in %d ms", p.Tasks, p.Rack, p.UntilMS, p.Reason, p.ExpectedMS))
	}
	switch {
	case s.Starts == s.Tasks:
	case len(s.Obstacles) == 0:
		parts = append(parts, "the leader has no worker that receives tasks")
	default:
		var counts []string
		for _, o := range slices.Sorted(maps.Keys(s.Obstacles)) {
			counts = append(counts, fmt.Sprintf("%s %d", o, s.Obstacles[o]))
		}
		parts = append(parts, "workers by obstacle to a further task: "+strings.Join(counts, ", "))
	}
	return fmt.Sprintf("step %d: %s", s.Step, strings.Join(parts, "; "))
}
