// Command gentianraild runs the roles of gentianrail that its settings name.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

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
	_exitDisk     = 3
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
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	d, err := daemon.Start(&s, log)
	if err != nil {
		return err
	}
	if !watchSettings(d, cmd.String("config"), signals) {
		time.Sleep(_failPause)
		return cli.Exit("gentianraild: the data folder failed", _exitDisk)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for s := <-signals; s == syscall.SIGHUP; s = <-signals {
			continue // what is about to end takes up no settings
		}
		log.Emit(event.SecondSignal, nil, "a second signal; quitting without waiting for requests in flight")
		cancel()
	}()
	return d.Stop(ctx)
}

// _settingsEvery is how often the settings file is read, since it may change
// without a signal.
const _settingsEvery = 5 * time.Second

// _failPause keeps a process whose disk stays faulty from restarting in a loop
// without a pause.
const _failPause = time.Second

// watchSettings takes up changed settings until a signal asks for the end. It
// returns false if the disk fails before.
func watchSettings(d *daemon.Daemon, file string, signals <-chan os.Signal) bool {
	held, _ := os.ReadFile(file) // a file that cannot be read now counts as changed later
	t := time.NewTicker(_settingsEvery)
	defer t.Stop()
	for {
		hup := false
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return true
			}
			hup = true
		case <-d.Failed():
			return false
		case <-t.C:
		}
		data, err := os.ReadFile(file)
		if err == nil && bytes.Equal(data, held) && !hup {
			continue
		}
		if err != nil && !hup {
			continue // it may be about to be replaced
		}
		held = data
		s, err := settings.Load(file)
		if err != nil {
			d.Refuse(err)
			continue
		}
		d.Reload(&s)
	}
}
