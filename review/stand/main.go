// Command stand plays one case of the review on loopback addresses: it starts the
// project's programs as processes of their own and plays the callers, the operator, the
// workers and the disruption.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
// With TROUBLE=0 it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	_held      = 0
	_broken    = 1
	_notPlayed = 2
)

// outcome is what a case has found.
type outcome struct {
	broken []string // lines on the rule that was broken
}

var _cases = map[string]func(rec *record, trouble bool) (outcome, error){
	"many-ends":   playManyEnds,
	"large-order": playLargeOrder,
	"flap":        playFlap,
	"pending":     playPending,
	"drain":       playDrain,
}

func main() {
	if len(os.Args) != 3 || _cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(_notPlayed)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		if d := _running.Load(); d != nil {
			d.stopAll()
		}
		os.Exit(_notPlayed)
	}()
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(name, path string, trouble bool) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return _notPlayed
	}
	defer rec.close()
	rec.add("case %s, disruption %t", name, trouble)
	got, err := _cases[name](rec, trouble)
	if err != nil {
		rec.add("not played: %s", err)
		fmt.Println("not played:", err)
		return _notPlayed
	}
	for i, line := range got.broken {
		rec.add("broken: %s", line)
		if i < 5 {
			fmt.Println("broken:", line)
		}
	}
	if len(got.broken) > 0 {
		rec.add("result: %d breaks", len(got.broken))
		fmt.Println(len(got.broken), "breaks")
		return _broken
	}
	rec.add("result: the rule held")
	fmt.Println("the rule held")
	return _held
}
