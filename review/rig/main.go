// Command rig plays the cases of the review that are scripts: it starts daemons of the
// submission scheduler as separate processes against a simulated users' platform on
// loopback, disturbs them unless TROUBLE=0, and checks a rule by what callers and
// workers see.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime"
)

// brokenError reports that a rule was broken.
type brokenError struct{ what string }

func (e *brokenError) Error() string { return e.what }

var cases = map[string]func(*world) error{
	"unnoted-batch":      unnotedBatch,
	"large-row":          largeRow,
	"route-replaced":     routeReplaced,
	"lost-after-restart": lostAfterRestart,
	"deadly-task":        deadlyTask,
	"many-ends":          manyEnds,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE PROGRAM RECORD")
		os.Exit(2)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(2)
	}
	// Processes that are started get a signal when the thread that started them ends.
	runtime.LockOSThread()
	os.Exit(run(play, os.Args[2], os.Args[3]))
}

func run(play func(*world) error, program, recordFile string) int {
	w, err := newWorld(program, recordFile, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		return 2
	}
	defer w.close()
	err = play(w)
	for _, v := range w.checker.Violations() {
		w.note("beside the rule that is checked: %s", v)
	}
	var broken *brokenError
	switch {
	case err == nil:
		w.note("the rule held")
		return 0
	case errors.As(err, &broken):
		w.note("the rule was broken: %s", broken.what)
		return 1
	default:
		w.note("the case couldn't run: %s", err)
		return 2
	}
}
