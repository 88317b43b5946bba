// Command cases3 plays the cases of the third review.
//
// Each case starts entries and agents of the project as processes with the commands of the
// deploy file, on loopback addresses, and speaks to them as the platform's store, the
// targets and the clients do. It writes what was sent, answered and run to a record.
//
// The exit code is 1 if the rule of the case was broken, 0 if it held and 2 if the case
// could not run. With TROUBLE=0 in the environment, the disruption is left out.
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

// The exit codes.
const (
	codeHeld   = 0
	codeBroken = 1
	codeFailed = 2
)

// endTime is how long clients have to note the end of their channels.
const endTime = 100 * time.Millisecond

// play is one case. It returns what broke the rule, empty if it held.
type play func(c *cluster, trouble bool) (string, error)

var plays = map[string]play{
	"dropped_route":    playDroppedRoute,
	"earlier_boot":     playEarlierBoot,
	"late_start":       playLateStart,
	"killed_after_ack": playKilledAfterAck,
	"lost_entries":     playLostEntries,
}

func names() string {
	var list []string
	for name := range plays {
		list = append(list, name)
	}
	sort.Strings(list)
	return strings.Join(list, ", ")
}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintf(os.Stderr, "usage: cases3 CASE RECORD; the cases are %s\n", names())
		os.Exit(codeFailed)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// closeAtSignal ends all processes of a case that is told to end.
func closeAtSignal(c *cluster) {
	told := make(chan os.Signal, 1)
	signal.Notify(told, os.Interrupt, syscall.SIGTERM)
	<-told
	c.rec.add("result: could not run: told to end")
	c.close()
	os.Exit(codeFailed)
}

func run(p play, path string, trouble bool) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cases3:", err)
		return codeFailed
	}
	defer rec.close()
	rec.add("case %s, trouble %v", os.Args[1], trouble)
	c, err := newCluster(rec)
	if err != nil {
		rec.add("result: could not run: %v", err)
		return codeFailed
	}
	go closeAtSignal(c)
	broken, err := p(c, trouble)
	c.close()
	pause(endTime)
	switch {
	case err != nil:
		rec.add("result: could not run: %v", err)
		return codeFailed
	case broken != "":
		rec.add("result: broken: %s", broken)
		return codeBroken
	}
	rec.add("result: held")
	return codeHeld
}
