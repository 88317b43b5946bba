package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"time"
)

// judge writes the record and sees each start and end on the minions.
type judge struct {
	*owner
	began  time.Time
	file   *os.File
	out    *bufio.Writer
	broken []string
	// atWork has the minions on which a run of a task is at work.
	atWork map[string]map[string]int64
	// onStart checks a start against the rule of the case. It is called by the owner.
	onStart func(minion string, labels []string, task string, run int64)
}

func newJudge(path string) (*judge, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &judge{
		owner:  newOwner(),
		began:  time.Now(),
		file:   f,
		out:    bufio.NewWriter(f),
		atWork: map[string]map[string]int64{},
	}, nil
}

func (j *judge) close() {
	j.call(func() {
		_ = j.out.Flush()
		_ = j.file.Close()
	})
}

func (j *judge) write(format string, args ...any) {
	_, _ = fmt.Fprintf(j.out, "%8d ms  %s\n", time.Since(j.began).Milliseconds(), fmt.Sprintf(format, args...))
}

// note writes a line of the record.
func (j *judge) note(format string, args ...any) {
	j.call(func() { j.write(format, args...) })
}

// breaks records that the rule is broken. It is called by the owner.
func (j *judge) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	j.broken = append(j.broken, text)
	j.write("BROKEN: %s", text)
}

func (j *judge) started(minion string, labels []string, task string, run int64) {
	j.call(func() {
		j.write("minion %s starts %s#%d", minion, task, run)
		if j.onStart != nil {
			j.onStart(minion, labels, task, run)
		}
		if j.atWork[task] == nil {
			j.atWork[task] = map[string]int64{}
		}
		j.atWork[task][minion] = run
	})
}

func (j *judge) ended(minion, task string, run int64, how string) {
	j.call(func() {
		j.write("minion %s ends %s#%d: %s", minion, task, run, how)
		delete(j.atWork[task], minion)
	})
}

// checkStarts has each start checked by f.
func (j *judge) checkStarts(f func(minion string, labels []string, task string, run int64)) {
	j.call(func() { j.onStart = f })
}

// atWorkOf returns the number of runs of a job that are at work.
func (j *judge) atWorkOf(job string) int {
	n := 0
	j.call(func() {
		for task, runs := range j.atWork {
			if jobOf(task) == job {
				n += len(runs)
			}
		}
	})
	return n
}

func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}
