package main

import (
	"net/http"
	"time"
)

const (
	// cancelTime is the bound cancel_ms, and duplicateDelay how long after the answers the
	// duplicate arrives.
	cancelTime     = 3 * time.Second
	duplicateDelay = 4 * time.Second
	longTaskMS     = 900
	deadline       = 1500 * time.Millisecond
)

// lateDuplicate cancels a job. Seconds after the answers, the request arrives once more
// at another entry.
var lateDuplicate = scenario{
	size: size{
		entries:  3,
		agents:   3,
		memoryMB: 284,
		timeout:  deadline,
	},
	play: func(in *installation, trouble bool) (bool, error) {
		const job = "5c0e7a21d94b36f8"
		first, second := in.entries[0], in.entries[1]
		posted := make(chan answer, 1)
		in.rec.note("client sends POST of job %s to %s", job, first.name)
		go func() { posted <- first.post(job, oneTask(longTaskMS), deadline) }()
		time.Sleep(300 * time.Millisecond)
		in.rec.note("client sends DELETE of job %s to %s", job, first.name)
		in.rec.note("DELETE is answered: %v", first.request(http.MethodDelete, job, "", deadline))
		acknowledged := time.Now()
		in.rec.note("POST is answered: %v", <-posted)
		time.Sleep(duplicateDelay)
		if trouble {
			in.rec.note("the POST of job %s arrives once more, at %s", job, second.name)
			in.rec.note("it is answered: %v", second.post(job, oneTask(longTaskMS), deadline))
		}
		late := in.runs.of(job, acknowledged.Add(cancelTime))
		in.rec.note("%d tasks of the cancelled job started over %v after the acknowledgement", len(late), cancelTime)
		return len(late) > 0, nil
	},
}
