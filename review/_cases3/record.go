package main

import (
	"fmt"
	"os"
	"time"
)

// record is the list of what was sent, answered and run, with the seconds since its start.
type record struct {
	owner owner
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		owner: newOwner(),
		file:  f,
		began: time.Now(),
	}, nil
}

func (r *record) add(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	r.owner.call(func() {
		// A record that can't be written shows no result.
		_, _ = r.file.WriteString(line)
		fmt.Print(line)
	})
}

func (r *record) close() {
	_ = r.file.Close()
}
