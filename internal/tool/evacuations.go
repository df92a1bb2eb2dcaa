package tool

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/gentianrail/gentianrail/internal/client"
	"github.com/gentianrail/gentianrail/internal/operator"
)

const _evacuationsPath = "/v1/evacuations"

func evacuationsCommand() *cli.Command {
	return &cli.Command{
		Name:  "evacuations",
		Usage: "list the evacuated availability zones",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			var doc operator.EvacuationsDocument
			if err := newClient(cmd).Get(ctx, _evacuationsPath, &doc); err != nil {
				return err
			}
			w := cmd.Root().Writer
			if wantsJSON(cmd) {
				return printJSON(w, doc)
			}
			t := newTable(w, "ZONE\tSINCE")
			for _, e := range doc.Evacuations {
				t.addRow("%s\t%s", e.Zone, e.ChangedAt.UTC().Format(time.RFC3339))
			}
			return t.flush()
		},
	}
}

func evacuateCommand() *cli.Command {
	return &cli.Command{
		Name:      "evacuate",
		Usage:     "start nothing more on the workers of an availability zone; --undo reverts this",
		ArgsUsage: "ZONE",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: "undo", Usage: "use the zone's workers again"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			zone, err := singleArg(cmd, "zone")
			if err != nil {
				return err
			}
			method, state := http.MethodPut, "evacuated"
			if cmd.Bool("undo") {
				method, state = http.MethodDelete, "open"
			}
			if _, err = newClient(cmd).Do(ctx, client.Call{Method: method, Path: _evacuationsPath + "/" + url.PathEscape(zone)}); err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.Root().Writer, "zone %s is %s\n", zone, state)
			return err
		},
	}
}
