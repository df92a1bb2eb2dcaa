package tool

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/emulator"
	"github.com/gentianrail/gentianrail/internal/experiment"
)

const _defaultSeeds = 8

func experimentCommand() *cli.Command {
	names := make([]string, len(emulator.Policies))
	for i, p := range emulator.Policies {
		names[i] = p.String()
	}
	return &cli.Command{
		Name: "experiment", Usage: "compare scheduling policies on emulated workers, in virtual time", ArgsUsage: "SCENARIO-FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "policies", Usage: "`NAMES` of policies, separated by commas; the others are compared with the first", Value: strings.Join(names, ",")},
			&cli.IntFlag{Name: "seeds", Usage: "`NUMBER` of emulations of each policy", Value: _defaultSeeds},
			&cli.IntFlag{Name: "parallel", Usage: "`NUMBER` of emulations at a time", Value: max(runtime.GOMAXPROCS(0)/2, 1)},
			&cli.StringFlag{Name: "report", Usage: "write a page with plots to `FILE`"},
		},
		Action: runExperiment,
	}
}

func runExperiment(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return fault.New(fault.BadRequest, "expected one scenario file, found %d arguments", cmd.Args().Len())
	}
	e := experiment.Experiment{Seeds: cmd.Int("seeds"), Parallel: cmd.Int("parallel")}
	data, err := os.ReadFile(cmd.Args().First())
	if err != nil {
		return fault.New(fault.BadRequest, "%s", err)
	}
	if e.Scenario, err = emulator.ParseScenario(data); err != nil {
		return fault.Wrap(fault.BadRequest, err, "%s", cmd.Args().First())
	}
	for name := range strings.SplitSeq(cmd.String("policies"), ",") {
		p, ok := emulator.ParsePolicy(strings.TrimSpace(name))
		if !ok {
			return fault.New(fault.BadRequest, "unknown policy %q", name)
		}
		e.Policies = append(e.Policies, p)
	}
	figures, err := experiment.Run(ctx, e)
	if err != nil {
		return err
	}
	if err := printExperiment(cmd, figures); err != nil {
		return err
	}
	return writeExperimentReport(cmd.String("report"), e.Scenario.Name, figures)
}

func printExperiment(cmd *cli.Command, figures []*experiment.PolicyFigures) error {
	t := tabwriter.NewWriter(cmd.Root().Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "POLICY\tSCORE\tDIFFERENCE\tOUTCOME\tCREDIT\tWORST WINDOWS")
	for _, f := range figures {
		d, outcome := f.Compare(figures[0])
		fmt.Fprintf(t, "%s\t%s\t%+.3f ± %.3f\t%s\t%s\t%s\n", f.Policy, interval(f.Score), d.Mean(), d.HalfWidth(), outcome, interval(f.Whole), interval(f.Worst))
	}
	fmt.Fprintln(t, "\nPOLICY\tBATCH IN TIME\tLATE\tNEVER\tSHORT IN TIME\tBATCH CORES\tIDLE\tWITHOUT VALUE\tMISSED SECONDS\tLONG MISSES")
	for _, f := range figures {
		batch, short := f.KindOf("batch"), f.KindOf("short")
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\n", f.Policy, interval(batch.InTime), interval(batch.Late), interval(batch.Failed),
			interval(short.InTime), f.BatchCores.Mean(), f.IdleCores.Mean(), f.LostCores.Mean(), f.Missed.Mean(), f.LongMisses.Mean())
	}
	return t.Flush()
}

func interval(s experiment.Sample) string {
	return fmt.Sprintf("%.3f ± %.3f", s.Mean(), s.HalfWidth())
}

// writeExperimentReport writes the page unless name is empty.
func writeExperimentReport(name, scenario string, figures []*experiment.PolicyFigures) error {
	if name == "" {
		return nil
	}
	file, err := os.Create(name)
	if err != nil {
		return fault.New(fault.BadRequest, "%s", err)
	}
	err = experiment.WriteReport(file, scenario, figures)
	if closeErr := file.Close(); err == nil && closeErr != nil {
		err = fault.New(fault.BadRequest, "%s", closeErr)
	}
	return err
}
