package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run, with the seconds since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		file:  f,
		began: time.Now(),
	}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	// A record that can't be written shows no result.
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

func (r *record) close() {
	_ = r.file.Close()
}
