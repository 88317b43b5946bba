// Command cases plays the cases of the second review that are scripts.
//
// Each case starts the programs of the deploy file as separate processes on loopback
// addresses, with the project's stand-ins for the platform's store and the targets, and
// checks one rule by what clients and targets see. It exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sort"
	"strings"
	"syscall"
	"time"
)

// maxCaseTime bounds a case, with the time to end its processes.
const maxCaseTime = 110 * time.Second

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play plays a case. It returns whether the rule was broken. Trouble is false for a run
// without the disruption.
type play func(in *installation, trouble bool) (broken bool, err error)

// scenario is a case with the installation that it needs.
type scenario struct {
	size size
	play play
}

var scenarios = map[string]scenario{
	"large_bodies":   largeBodies,
	"many_fields":    manyFields,
	"odd_ids":        oddIDs,
	"late_start":     lateStart,
	"half_character": halfOfCharacter,
}

func main() {
	os.Exit(playCase())
}

func playCase() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: cases CASE RECORD")
		return exitNotRun
	}
	s, ok := scenarios[os.Args[1]]
	if !ok {
		var names []string
		for name := range scenarios {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintf(os.Stderr, "unknown case %s; there are %s\n", os.Args[1], strings.Join(names, ", "))
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, trouble %v", os.Args[1], trouble)
	in, err := newInstallation(s.size, rec)
	if in != nil {
		defer in.end()
	}
	if err != nil {
		rec.note("could not run: %v", err)
		return exitNotRun
	}
	return judge(s, in, rec, trouble)
}

// judge plays the case and returns the exit code.
func judge(s scenario, in *installation, rec *record, trouble bool) int {
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := s.play(in, trouble)
		done <- outcome{
			broken: broken,
			err:    err,
		}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	select {
	case <-stop:
		rec.note("could not run: stopped")
		return exitNotRun
	case o := <-done:
		switch {
		case o.err != nil:
			rec.note("could not run: %v", o.err)
			return exitNotRun
		case o.broken:
			rec.note("the rule was broken")
			return exitBroken
		}
		rec.note("the rule held")
		return exitHeld
	case <-time.After(maxCaseTime):
		rec.note("could not run: not done after %v", maxCaseTime)
		return exitNotRun
	}
}
