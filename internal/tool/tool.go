// Package tool implements gentianrail, the operators' command-line tool.
package tool

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/urfave/cli/v3"
	"github.com/zeromicro/go-zero/core/logx"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/client"
	"github.com/gentianrail/gentianrail/internal/version"
)

// Exit codes for scripts.
const (
	ExitOK         = 0
	ExitFailed     = 1 // any error without a code of its own
	ExitUsage      = 2 // wrong arguments or a bad declaration
	ExitConflict   = 3 // conflicts with an earlier change or the current state
	ExitNotFound   = 4
	ExitRetryLater = 5 // rejected for now; retry later
	ExitDiffers    = 6 // diff found differences
)

// _defaultServer is the operator API of examples/single.json.
const _defaultServer = "127.0.0.1:8601"

const _callTimeout = 30 * time.Second

// New returns the tool's command.
func New() *cli.Command {
	logx.Disable() // the library's own lines would be part of the output
	return &cli.Command{
		Name:                  "gentianrail",
		Usage:                 "operate gentianrail",
		Version:               version.String(),
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:    "server",
				Usage:   "operator API of a controller, as `IP:PORT`",
				Value:   _defaultServer,
				Sources: cli.EnvVars("GENTIANRAIL_SERVER"),
			},
			&cli.StringFlag{
				Name:    "output",
				Aliases: []string{"o"},
				Usage:   "`FORMAT` of the output, table or json",
				Value:   "table",
				Validator: func(s string) error {
					if s != "table" && s != "json" {
						return fmt.Errorf("found %q, allowed are table and json", s)
					}
					return nil
				},
			},
		},
		Commands: []*cli.Command{
			applyCommand(), diffCommand(), getCommand(), describeCommand(), deleteCommand(), validateCommand(),
			statusCommand(), workersCommand(), tasksCommand(), jobsCommand(), queuesCommand(), submissionsCommand(), explainCommand(), logsCommand(),
			drainCommand(), evacuationsCommand(), evacuateCommand(), reportCommand(),
			loadCommand(), experimentCommand(), versionCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

// ExitCode returns the exit code of an error of the tool.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	if coder, ok := err.(cli.ExitCoder); ok {
		return coder.ExitCode()
	}
	switch fault.CodeOf(err) {
	case fault.BadDeclaration, fault.BadRequest, fault.BadEntryName, fault.WrongClass, fault.BadKey:
		return ExitUsage
	case fault.VersionConflict, fault.KeyMismatch, fault.JobEnded:
		return ExitConflict
	case fault.EntryNotFound, fault.JobNotFound, fault.WorkerNotFound, fault.ZoneNotFound:
		return ExitNotFound
	}
	if fault.From(err).RetryAfter() > 0 {
		return ExitRetryLater
	}
	return ExitFailed
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, cmd *cli.Command) error {
			_, err := fmt.Fprintln(cmd.Root().Writer, version.String())
			return err
		},
	}
}

func newClient(cmd *cli.Command) *client.Client {
	return client.New(cmd.String("server"), _callTimeout)
}

func wantsJSON(cmd *cli.Command) bool { return cmd.String("output") == "json" }

func printJSON(w io.Writer, v any) error {
	data, err := json.Marshal(v, json.Deterministic(true), jsontext.WithIndent("  "))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s\n", data)
	return err
}

// table writes rows in aligned columns.
type table struct{ w *tabwriter.Writer }

func newTable(w io.Writer, header string) *table {
	t := &table{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	fmt.Fprintln(t.w, header)
	return t
}

func (t *table) addRow(format string, args ...any) { fmt.Fprintf(t.w, format+"\n", args...) }

func (t *table) flush() error { return t.w.Flush() }

// Terminal colours.
const (
	_green       = "\x1b[32m"
	_yellow      = "\x1b[33m"
	_red         = "\x1b[31m"
	_resetColour = "\x1b[0m"
)

// coloured returns s in the colour if w is a terminal and NO_COLOR is unset.
func coloured(w io.Writer, colour, s string) string {
	f, ok := w.(*os.File)
	if !ok || os.Getenv("NO_COLOR") != "" {
		return s
	}
	info, err := f.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return s
	}
	return colour + s + _resetColour
}

// singleArg returns the single argument of a command. In the error for another
// number of arguments, what names the expected argument.
func singleArg(cmd *cli.Command, what string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", cli.Exit(fmt.Sprintf("%s: expected one %s", cmd.FullName(), what), ExitUsage)
	}
	return cmd.Args().First(), nil
}
