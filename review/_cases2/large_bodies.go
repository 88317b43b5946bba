package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// crowdJobs is the number of large jobs, crowdPause the pause between two of them.
	crowdJobs  = 900
	crowdPause = 10 * time.Millisecond
	// largeTime is how long their clients wait, and the time of the route. largeTaskMS is
	// the time of the only task of a job that runs before it is over.
	largeTime   = 5 * time.Second
	largeTaskMS = 4500
	// repeatedSteps is how often a step names its prerequisite, so that the body is just
	// below maxBodyBytes.
	repeatedSteps = 130_900
)

// largeBodies sends many large bodies of legal size.
var largeBodies = scenario{
	size: size{
		entries:  2,
		agents:   3,
		memoryMB: 284,
		timeout:  largeTime,
	},
	play: func(in *installation, trouble bool) (bool, error) {
		return judgeMemory(in, trouble, func(e *process, ended <-chan struct{}) {
			body := largeBody()
			in.rec.note("up to %d clients send %s a job each, of %d bytes, of at most %d", crowdJobs, e.name, len(body), maxBodyBytes)
			answers := map[string]int{}
			counting := newOwner()
			var clients sync.WaitGroup
			for i := range crowdJobs {
				select {
				case <-ended:
				case <-time.After(crowdPause):
				}
				if isClosed(ended) {
					break
				}
				clients.Add(1)
				go func() {
					defer clients.Done()
					a := e.post(fmt.Sprintf("1a26e%011x", i), body, largeTime)
					counting.call(func() { answers[a.kind()]++ })
				}()
			}
			clients.Wait()
			for text, n := range answers {
				in.rec.note("%d large jobs at %s: %s", n, e.name, text)
			}
		})
	},
}

// largeBody returns a job of two tasks, of which the second names its prerequisite often.
func largeBody() string {
	return fmt.Sprintf(`{"spec":"10/%d","bestEffort":true,"steps":[{"count":1,"cpu":10,"estimateMs":%d},{"count":1,"cpu":10,"estimateMs":10,"after":[%s0]}]}`,
		largeTaskMS, largeTaskMS, strings.Repeat("0,", repeatedSteps-1))
}
