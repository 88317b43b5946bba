package main

import (
	"fmt"
	"os"
	"time"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	owner   owner
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		owner:   newOwner(),
		file:    f,
		started: time.Now(),
	}, nil
}

// note writes one line to the record and to standard output.
func (r *record) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	r.owner.call(func() {
		fmt.Print(line)
		// The case is judged by what was seen, with or without its record.
		_, _ = r.file.WriteString(line)
	})
}

func (r *record) close() {
	_ = r.file.Close()
}
