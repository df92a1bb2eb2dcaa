// Command gentianraild runs the roles of gentianrail that are enabled in its
// settings.
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

	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/daemon"
	"github.com/gentianrail/gentianrail/internal/disk"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/settings"
	"github.com/gentianrail/gentianrail/internal/version"
)

// Exit codes.
const (
	_exitFailed   = 1 // any error without a code of its own
	_exitSettings = 2 // invalid settings
	_exitDisk     = 3 // disk failure
)

func main() {
	cmd := &cli.Command{
		Name:    "gentianraild",
		Usage:   "run the entry, controller and agent roles enabled in the settings",
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
	received := notifySignals()
	d, err := start(func() (*daemon.Daemon, error) { return daemon.Start(&s, log) }, log, received)
	if d == nil {
		return err
	}
	if !watchSettings(d, cmd.String("config"), received) {
		time.Sleep(_diskFailurePause)
		return cli.Exit("gentianraild: disk failure in the data folder", _exitDisk)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-received.stop // settings are not reloaded during shutdown
		log.Emit(event.SecondSignal, nil, "second signal; exiting without waiting for requests in flight")
		cancel()
	}()
	return d.Stop(ctx)
}

// signals are the signals that the process receives. A signal is dropped while an earlier
// one in its channel has not been taken, so those to reload must not hide one to stop.
type signals struct {
	stop   chan os.Signal // SIGTERM and SIGINT
	reload chan os.Signal // SIGHUP
}

func notifySignals() signals {
	out := signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(out.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(out.reload, syscall.SIGHUP)
	return out
}

// _fullDiskRetryInterval is the time between attempts to start with a full disk.
const _fullDiskRetryInterval = 500 * time.Millisecond

// start calls startRoles, again and again while a full disk prevents the start. It returns
// nil without an error on a signal to stop.
func start(startRoles func() (*daemon.Daemon, error), log event.Log, received signals) (*daemon.Daemon, error) {
	since := clock.Now()
	for isFull := false; ; {
		d, err := startRoles()
		if err == nil && isFull {
			log.Emit(event.DiskAvailable, event.Fields{"ms": clock.Now().Sub(since).Milliseconds()}, "disk has space; started")
		}
		if err == nil || !disk.IsFull(err) {
			return d, err
		}
		if !isFull {
			isFull = true
			log.Emit(event.DiskFull, event.Fields{"error": err.Error()}, "disk full; starting when there is space")
		}
		select {
		case <-received.stop:
			return nil, nil
		case <-received.reload:
		case <-time.After(_fullDiskRetryInterval):
		}
	}
}

// _settingsPollInterval is how often the settings file is read. The file may
// change without a signal.
const _settingsPollInterval = 5 * time.Second

// _diskFailurePause delays the exit after a disk failure. It keeps a process
// whose disk stays faulty from restarting in a tight loop.
const _diskFailurePause = time.Second

// watchSettings reloads the settings when the file changes or on SIGHUP. It
// returns true on a signal to stop and false if the disk fails.
func watchSettings(d *daemon.Daemon, file string, received signals) bool {
	lastData, _ := os.ReadFile(file) // an unreadable file counts as changed once it is readable
	t := time.NewTicker(_settingsPollInterval)
	defer t.Stop()
	for {
		gotSIGHUP := false
		select {
		case <-received.stop:
			return true
		case <-received.reload:
			gotSIGHUP = true
		case <-d.DiskFailed():
			return false
		case <-t.C:
		}
		data, err := os.ReadFile(file)
		if err == nil && bytes.Equal(data, lastData) && !gotSIGHUP {
			continue
		}
		if err != nil && !gotSIGHUP {
			continue // the file may be in the middle of a replacement
		}
		lastData = data
		s, err := settings.Load(file)
		if err != nil {
			d.LogReloadFailure(err)
			continue
		}
		d.Reload(&s)
	}
}
