package main

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"strconv"
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
)

// memoryWatch is the platform's watch on the memory of one process. It kills the process
// when it exceeds its memory.
type memoryWatch struct {
	owner    owner
	highest  int64
	exceeded bool
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
			n, err := residentBytes(p.cmd.Process.Pid)
			if err != nil {
				continue
			}
			over := n > int64(limitMB)*megabyte
			w.owner.call(func() {
				w.highest = max(w.highest, n)
				w.exceeded = w.exceeded || over
			})
			if time.Since(noted) >= noteInterval || over {
				noted = time.Now()
				rec.note("%s has %d MB of %d MB", p.name, n/megabyte, limitMB)
			}
			if over {
				rec.note("the platform kills %s, which exceeds its memory", p.name)
				p.kill()
				return
			}
		}
	}()
	return w
}

// result returns the highest memory and whether the process was killed for it.
func (w *memoryWatch) result() (highest int64, exceeded bool) {
	w.owner.call(func() { highest, exceeded = w.highest, w.exceeded })
	return highest, exceeded
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
			if a.err != nil && !p.alive() {
				return
			}
		}
	}()
	return func() (int, int) {
		<-done
		return sent, unanswered
	}
}

// judgeMemory plays a crowd against the first entry and reports whether the entry
// exceeded its memory.
func judgeMemory(in *installation, trouble bool, crowd func(e *process) error) (bool, error) {
	in.runs.setQuiet()
	e := in.entries[0]
	stop := make(chan struct{})
	w := watchMemory(e, in.size.memoryMB, in.rec, stop)
	finish := callOrdinarily(e, in.rec, stop)
	pause(time.Second)
	if trouble {
		if err := crowd(e); err != nil {
			return false, err
		}
	} else {
		pause(calmTime)
	}
	close(stop)
	sent, unanswered := finish()
	highest, exceeded := w.result()
	in.rec.note("%s had up to %d MB of %d MB; of %d ordinary jobs %d got no answer", e.name, highest/megabyte, in.size.memoryMB, sent, unanswered)
	return exceeded, nil
}

// calmTime is the length of a run without a crowd.
const calmTime = 5 * time.Second
