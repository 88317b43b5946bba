// Command review plays the cases of the review that can't be put as a day of the bench.
//
// It starts the project's program as separate processes on loopback, with stand-ins for
// the platform's store, the minions and the clients, and checks one rule by what these
// see. The arguments are the name of a case and the file for the record; with TROUBLE=0
// in the environment, the case is played without its disruption. The exit code is 1 if
// the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
)

// couldNotRun is the exit code of a case that couldn't run.
const couldNotRun = 2

// cases has the cases by name.
var cases = map[string]func(*judge, bool) error{}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review CASE RECORD")
		return couldNotRun
	}
	j, err := newJudge(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer j.close()
	if err := cases[os.Args[1]](j, os.Getenv("TROUBLE") != "0"); err != nil {
		j.note("the case couldn't run: %v", err)
		fmt.Println("the case couldn't run:", err)
		return couldNotRun
	}
	var broken []string
	j.call(func() { broken = j.broken })
	if len(broken) > 0 {
		fmt.Printf("broken %d times, first: %s\n", len(broken), broken[0])
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
