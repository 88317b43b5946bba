package main

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"sync"
	"time"
)

const (
	// memoryInterval is how often the platform looks at the memory of a process, and
	// noteInterval how often that is recorded.
	memoryInterval = 10 * time.Millisecond
	noteInterval   = 500 * time.Millisecond
	// callInterval is the pause between two requests of an ordinary caller.
	callInterval = 100 * time.Millisecond
	kilobyte     = 1 << 10
	megabyte     = 1 << 20
	// restartDelay is when the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
	// endsOfFault and machinesOfFault are the figures of the rule Fault.
	endsOfFault     = 3
	machinesOfFault = 2
	// crowdTime bounds the crowds, and calmTime is the length of a run without them.
	crowdTime = 95 * time.Second
	calmTime  = 5 * time.Second
)

// memoryWatch is the platform's watch on the memory of one process. It kills the process
// when it exceeds its memory, and starts it again.
type memoryWatch struct {
	owner   owner
	highest int64
	ends    int
}

// watchMemory watches a process until stop is closed.
func watchMemory(p *process, limitMB int, rec *record, stop <-chan struct{}) *memoryWatch {
	w := &memoryWatch{
		owner: newOwner(),
	}
	go func() {
		noted := time.Now()
		for {
			select {
			case <-stop:
				return
			case <-time.After(memoryInterval):
			}
			n, err := residentBytes(p.pid())
			if err != nil {
				continue
			}
			over := n > int64(limitMB)*megabyte
			if time.Since(noted) >= noteInterval || over {
				noted = time.Now()
				rec.note("%s has %d MB of %d MB", p.name, n/megabyte, limitMB)
			}
			w.owner.call(func() { w.highest = max(w.highest, n) })
			if !over {
				continue
			}
			rec.note("the platform kills %s, which exceeds its memory, and starts it again", p.name)
			p.kill()
			w.owner.call(func() { w.ends++ })
			pause(restartDelay)
			if err := p.start(); err != nil {
				rec.note("%s does not start: %v", p.name, err)
				return
			}
		}
	}()
	return w
}

// result returns the highest memory and how often the process was killed for it.
func (w *memoryWatch) result() (highest int64, ends int) {
	w.owner.call(func() { highest, ends = w.highest, w.ends })
	return highest, ends
}

var residentLine = regexp.MustCompile(`(?m)^VmRSS:\s+(\d+) kB$`)

// residentBytes returns the memory that a process has in use.
func residentBytes(pid int) (int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	m := residentLine.FindSubmatch(b)
	if m == nil {
		return 0, errors.New("process has ended")
	}
	n, err := strconv.ParseInt(string(m[1]), 10, 64)
	return n * kilobyte, err
}

// callOrdinarily sends a small job after the other until stop is closed, and records the
// answers that are not 200. It returns a function that waits for the end and returns the
// number of jobs and of those without any answer.
func callOrdinarily(p *process, rec *record, stop <-chan struct{}) func() (sent, unanswered int) {
	done := make(chan struct{})
	sent, unanswered := 0, 0
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(callInterval):
			}
			sent++
			a := p.post(fmt.Sprintf("0d1e%012x", sent), oneTask(20), deadline)
			if a.status != 200 {
				rec.note("ordinary job %d: %v", sent, a)
			}
			if a.err != nil {
				unanswered++
			}
		}
	}()
	return func() (int, int) {
		<-done
		return sent, unanswered
	}
}

// judgeMemory plays a crowd against each entry, again and again. It reports whether the
// processes of two machines or more have ended three times each: the entries are all
// machines that callers reach, and more than a tenth of the installation.
func judgeMemory(in *installation, trouble bool, crowd func(e *process, ended <-chan struct{})) (bool, error) {
	in.runs.setQuiet()
	stop := make(chan struct{})
	over := time.Now().Add(crowdTime)
	var watches []*memoryWatch
	var finishes []func() (int, int)
	var crowds sync.WaitGroup
	for _, e := range in.entries {
		w := watchMemory(e, in.size.memoryMB, in.rec, stop)
		watches = append(watches, w)
		finishes = append(finishes, callOrdinarily(e, in.rec, stop))
		if !trouble {
			continue
		}
		crowds.Add(1)
		go func() {
			defer crowds.Done()
			pause(time.Second)
			for time.Now().Before(over) {
				if _, ends := w.result(); ends >= endsOfFault {
					return
				}
				crowd(e, e.ended())
				for i := 0; time.Now().Before(over) && e.post(fmt.Sprintf("5e771e%010x", i), oneTask(20), deadline).status != 200; i++ {
					pause(callInterval)
				}
			}
		}()
	}
	if !trouble {
		pause(calmTime)
	}
	crowds.Wait()
	close(stop)
	broken := 0
	for i, w := range watches {
		sent, unanswered := finishes[i]()
		highest, ends := w.result()
		in.rec.note("%s had up to %d MB of %d MB and ended %d times; of %d ordinary jobs %d got no answer",
			in.entries[i].name, highest/megabyte, in.size.memoryMB, ends, sent, unanswered)
		if ends >= endsOfFault {
			broken++
		}
	}
	return broken >= machinesOfFault, nil
}
