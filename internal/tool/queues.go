package tool

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/urfave/cli/v3"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/client"
	"github.com/gentianrail/gentianrail/internal/declaration"
)

func queuesCommand() *cli.Command {
	return &cli.Command{
		Name:  "queues",
		Usage: "apply and list the queues of submissions",
		Commands: []*cli.Command{
			{Name: "apply", Usage: "apply a table of queues", Flags: []cli.Flag{fileFlag()}, Action: applyQueues},
			{Name: "list", Usage: "list the current queues", Action: listQueues},
		},
	}
}

// readFile reads a file, or the standard input for "-".
func readFile(name string) ([]byte, error) {
	var data []byte
	var err error
	if name == "-" {
		data, err = io.ReadAll(os.Stdin)
	} else {
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, fault.New(fault.BadRequest, "%s", err)
	}
	return data, nil
}

func applyQueues(ctx context.Context, cmd *cli.Command) error {
	data, err := readFile(cmd.String("file"))
	if err != nil {
		return err
	}
	if _, err := declaration.ParseQueues(data); err != nil {
		return err
	}
	a, err := newClient(cmd).Do(ctx, client.Call{Method: http.MethodPut, Path: "/v1/queues", Body: data})
	if err != nil {
		return err
	}
	return printQueues(cmd, a.Body)
}

func listQueues(ctx context.Context, cmd *cli.Command) error {
	a, err := newClient(cmd).Do(ctx, client.Call{Method: http.MethodGet, Path: "/v1/queues"})
	if err != nil {
		return err
	}
	return printQueues(cmd, a.Body)
}

func printQueues(cmd *cli.Command, data []byte) error {
	var doc declaration.QueuesDocument
	if err := json.Unmarshal(data, &doc); err != nil {
		return fault.Wrap(fault.Internal, err, "decode the answer")
	}
	if wantsJSON(cmd) {
		return printJSON(cmd.Root().Writer, doc)
	}
	fmt.Fprintf(cmd.Root().Writer, "version %d\n", doc.Version)
	t := tabwriter.NewWriter(cmd.Root().Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "QUEUE\tSERVICE\tPRIORITY\tATTEMPTS\tSLACK\tTARGET\tAT")
	for _, q := range doc.Queues {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%g\t%s\t%s\n", q.Name, q.Service, q.Priority, q.MaxAttempts, q.Slack, time.Duration(q.BaseObjective), q.Host+q.Prefix)
	}
	return t.Flush()
}
