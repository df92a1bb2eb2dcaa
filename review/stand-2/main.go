// Command review2 shows the faults of the second review as scripts: it starts the
// project's own programs as processes on loopback addresses, stands in for callers,
// workers, the operator and the advice service, and checks one rule.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario is one case. trouble is false if it runs without the disruption. It returns the
// violations of the rule that were seen.
type scenario func(r *record, trouble bool) (violations []string, err error)

var scenarios = map[string]scenario{
	"joins":   joins,
	"refused": refused,
	"twice":   twice,
	"unheard": unheard,
	"advice":  adviceStarvation,
	"avail":   availabilityOfWatch,
	"idle":    idleStarvation,
	"kept":    keptRuns,
}

// _timeLimit ends a case that hangs.
const _timeLimit = 115 * time.Second

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER")
		os.Exit(exitFailed)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	r.logf("case %s, trouble %t", os.Args[1], trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		endAll()
		os.Exit(exitFailed)
	}()
	watchdog := time.AfterFunc(_timeLimit, func() {
		r.logf("the case has not ended in time")
		endAll()
		os.Exit(exitFailed)
	})
	violations, err := scenarios[os.Args[1]](r, trouble)
	watchdog.Stop()
	endAll()
	code := exitHeld
	switch {
	case err != nil:
		r.logf("could not run: %v", err)
		code = exitFailed
	case len(violations) > 0:
		for _, v := range violations {
			r.logf("broken: %s", v)
		}
		code = exitBroken
	default:
		r.logf("the rule held")
	}
	r.close()
	os.Exit(code)
}
