// Command gentianraild runs the roles of gentianrail that its settings name.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/gentianrail/gentianrail/internal/daemon"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/settings"
	"github.com/gentianrail/gentianrail/internal/version"
)

// Exit codes.
const (
	_exitFailed   = 1
	_exitSettings = 2
)

func main() {
	cmd := &cli.Command{
		Name:    "gentianraild",
		Usage:   "run the entry, controller and agent roles that the settings name",
		Version: version.String(),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Aliases: []string{"c"}, Usage: "settings `FILE`", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: run,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "gentianraild:", err)
		os.Exit(_exitFailed)
	}
}

func run(_ context.Context, cmd *cli.Command) error {
	s, err := settings.Load(cmd.String("config"))
	if err != nil {
		return cli.Exit("gentianraild: "+err.Error(), _exitSettings)
	}
	if cmd.Bool("check") {
		return nil
	}
	format := event.Text
	if s.Log.Format == "json" {
		format = event.JSON
	}
	sink := event.NewSink(os.Stdout)
	defer sink.Close()
	log := event.NewLog(sink, format, s.Level()).With("name", s.Name)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	d, err := daemon.Start(&s, log)
	if err != nil {
		return err
	}
	<-signals
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-signals
		log.Emit(event.SecondSignal, nil, "a second signal; quitting without waiting for requests in flight")
		cancel()
	}()
	return d.Stop(ctx)
}
