package tool

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/gentianrail/gentianrail/internal/client"
	"github.com/gentianrail/gentianrail/internal/declaration"
	"github.com/gentianrail/gentianrail/internal/jobsapi"
	"github.com/gentianrail/gentianrail/internal/operator"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the controllers and which holders of the catalogue lag behind",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			var doc operator.StatusDocument
			if err := newClient(cmd).Get(ctx, "/v1/status", &doc); err != nil {
				return err
			}
			if wantsJSON(cmd) {
				return printJSON(cmd.Root().Writer, doc)
			}
			return printStatus(cmd.Root().Writer, doc)
		},
	}
}

func printStatus(w io.Writer, d operator.StatusDocument) error {
	fmt.Fprintf(w, "answered by %s (%s), term %d, revision %d\n", d.AnsweredBy, d.Role, d.Term, d.Revision)
	fmt.Fprintf(w, "%d entries, %d workers, %d jobs (%d queued), %d claims\n\n", d.Entries, d.Workers, d.Jobs, d.Queued, d.Claims)
	t := newTable(w, "CONTROLLER\tADDRESS\tROLE")
	for _, m := range d.Members {
		role := "follower"
		if m.Leader {
			role = "leader"
		}
		t.addRow("%s\t%s\t%s", m.ID, m.Address, role)
	}
	if err := t.flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	t = newTable(w, "HOLDER\tROLE\tREVISION\tBEHIND\tSILENT")
	for _, h := range d.Holders {
		t.addRow("%s\t%s\t%d\t%d\t%s", h.Name, h.Role, h.Revision, h.Behind, fromMilliseconds(h.SinceContactMS))
	}
	return t.flush()
}

func fromMilliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func workersCommand() *cli.Command {
	return &cli.Command{
		Name:  "workers",
		Usage: "list the workers",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			var doc operator.WorkersDocument
			if err := newClient(cmd).Get(ctx, "/v1/workers", &doc); err != nil {
				return err
			}
			w := cmd.Root().Writer
			if wantsJSON(cmd) {
				return printJSON(w, doc)
			}
			t := newTable(w, "WORKER\tSTATE\tZONE\tRACK\tTARGETS\tSLOTS\tTASKS\tSILENT")
			for _, k := range doc.Workers {
				t.addRow("%s\t%s\t%s\t%s\t%s\t%d/%d\t%d\t%s", k.ID, k.State, k.Zone, orDash(k.Rack),
					strings.Join(k.Targets, ","), k.SlotsUsed, k.Slots, k.Tasks, fromMilliseconds(k.SinceContactMS))
			}
			return t.flush()
		},
	}
}

func tasksCommand() *cli.Command {
	return &cli.Command{
		Name:  "tasks",
		Usage: "list the running tasks",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			var doc operator.TasksDocument
			if err := newClient(cmd).Get(ctx, "/v1/tasks", &doc); err != nil {
				return err
			}
			w := cmd.Root().Writer
			if wantsJSON(cmd) {
				return printJSON(w, doc)
			}
			t := newTable(w, "JOB\tENTRY\tATTEMPT\tWORKER")
			for _, k := range doc.Tasks {
				t.addRow("%s\t%s\t%d\t%s", k.JobID, k.Entry, k.Attempt, k.Worker)
			}
			return t.flush()
		},
	}
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "stop giving a worker new work; --undo reverts this",
		ArgsUsage: "WORKER",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: "undo", Usage: "give the worker new work again"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			id, err := singleArg(cmd, "worker")
			if err != nil {
				return err
			}
			method, state := http.MethodPost, "drained"
			if cmd.Bool("undo") {
				method, state = http.MethodDelete, "open"
			}
			_, err = newClient(cmd).Do(ctx, client.Call{Method: method, Path: "/v1/drain/" + url.PathEscape(id)})
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.Root().Writer, "worker %s is %s\n", id, state)
			return err
		},
	}
}

func describeCommand() *cli.Command {
	return &cli.Command{
		Name:  "describe",
		Usage: "show the details of an entry or a job",
		Commands: []*cli.Command{
			{Name: "entry", Usage: "show an entry and how fast it spends its error budget", ArgsUsage: "NAME", Action: describeEntry},
			{Name: "job", Usage: "show a job and why it waits or where it runs", ArgsUsage: "JOB", Action: describeJob},
		},
	}
}

func describeEntry(ctx context.Context, cmd *cli.Command) error {
	name, err := singleArg(cmd, "name")
	if err != nil {
		return err
	}
	c := newClient(cmd)
	var doc declaration.Document
	if err := c.Get(ctx, _entriesPath+"/"+url.PathEscape(name), &doc); err != nil {
		return err
	}
	var report operator.BurnReportDocument
	if err := c.Get(ctx, "/v1/report/burn", &report); err != nil {
		return err
	}
	w := cmd.Root().Writer
	if err := printJSON(w, doc); err != nil {
		return err
	}
	for _, b := range report.Entries {
		if b.Entry == name {
			return printBurn(w, []operator.BurnDocument{b})
		}
	}
	return nil
}

func describeJob(ctx context.Context, cmd *cli.Command) error {
	id, err := singleArg(cmd, "job")
	if err != nil {
		return err
	}
	var doc jobsapi.Document
	if err := newClient(cmd).Get(ctx, "/v1/jobs/"+url.PathEscape(id), &doc); err != nil {
		return err
	}
	return printJSON(cmd.Root().Writer, doc)
}

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "show reports",
		Commands: []*cli.Command{{
			Name:  "burn",
			Usage: "show how fast each entry spends its error budget",
			Action: func(ctx context.Context, cmd *cli.Command) error {
				var doc operator.BurnReportDocument
				if err := newClient(cmd).Get(ctx, "/v1/report/burn", &doc); err != nil {
					return err
				}
				if wantsJSON(cmd) {
					return printJSON(cmd.Root().Writer, doc)
				}
				return printBurn(cmd.Root().Writer, doc.Entries)
			},
		}},
	}
}

func printBurn(w io.Writer, entries []operator.BurnDocument) error {
	t := newTable(w, "ENTRY\tVERDICT\tBUDGET LEFT\tWINDOW\tREQUESTS\tBAD\tBURN\tP50 MS\tP99 MS")
	for _, e := range entries {
		for i, win := range e.Windows {
			name, verdict, budgetLeft := "", "", ""
			if i == 0 {
				name, verdict, budgetLeft = e.Entry, colouredVerdict(w, e.Verdict), fmt.Sprintf("%.1f%%", 100*e.BudgetLeft)
			}
			t.addRow("%s\t%s\t%s\t%s\t%d\t%d\t%.2f\t%.1f\t%.1f", name, verdict, budgetLeft, win.Span, win.Total, win.Bad, win.Rate, win.P50MS, win.P99MS)
		}
	}
	return t.flush()
}

func colouredVerdict(w io.Writer, verdict string) string {
	switch verdict {
	case "ok":
		return coloured(w, _green, verdict)
	case "slow_burn":
		return coloured(w, _yellow, verdict)
	}
	return coloured(w, _red, verdict)
}
