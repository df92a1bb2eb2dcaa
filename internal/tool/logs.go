package tool

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/explain"
)

func logsCommand() *cli.Command {
	return &cli.Command{
		Name:  "logs",
		Usage: "read collected logs",
		Commands: []*cli.Command{{
			Name: "explain", Usage: "print the timeline of a submission over all processes, and what delayed it",
			ArgsUsage: "ID FILE...", Action: explainSubmission,
		}},
	}
}

func explainSubmission(_ context.Context, cmd *cli.Command) error {
	args := cmd.Args().Slice()
	const minArgs = 2
	if len(args) < minArgs {
		return fault.New(fault.BadRequest, "expected a submission and one file or more, found %d arguments", len(args))
	}
	id, files := args[0], args[1:]
	var history explain.History
	for _, name := range files {
		if err := readLogFile(&history, name, id); err != nil {
			return err
		}
	}
	lines := history.Lines()
	if len(lines) == 0 {
		return fault.New(fault.JobNotFound, "no line of %d files names the submission %q", len(files), id)
	}
	out := cmd.Root().Writer
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "AFTER S\tPROCESS\tEVENT\tDETAILS")
	for _, l := range lines {
		fmt.Fprintf(t, "%.3f\t%s\t%s\t%s\n", l.Time.Sub(lines[0].Time).Seconds(), l.Process, l.Event, l.Detail())
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "\n%d lines from %s", len(lines), lines[0].Time.Format(time.RFC3339Nano))
	if n := history.Skipped(); n > 0 {
		fmt.Fprintf(out, "; %d could not be read", n)
	}
	fmt.Fprintln(out)
	for _, f := range history.Findings() {
		fmt.Fprintf(out, "%d times: %s\n", f.Count, f.Text)
	}
	return nil
}

func readLogFile(history *explain.History, name, id string) error {
	file, err := os.Open(name)
	if err != nil {
		return fault.New(fault.BadRequest, "%s", err)
	}
	defer file.Close()
	if err := history.Read(file, id); err != nil {
		return fault.New(fault.BadRequest, "%s: %s", name, err)
	}
	return nil
}
