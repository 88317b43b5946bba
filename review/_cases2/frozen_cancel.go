package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// freezeTime is how long the entry stands still that gets the cancellation. The sites
	// freeze machines for 4 s.
	freezeTime  = 2 * time.Second
	chainSteps  = 11
	chainTaskMS = 800
	chainTime   = 12 * time.Second
)

// frozenCancel cancels a job of one entry at another one, which stands still when the
// request reaches it.
var frozenCancel = scenario{
	size: size{
		entries:  3,
		agents:   3,
		memoryMB: 284,
		timeout:  chainTime,
	},
	play: func(in *installation, trouble bool) (bool, error) {
		const job = "5c0e7a21d94b36f8"
		owner, other := in.entries[0], in.entries[1]
		posted := make(chan answer, 1)
		in.rec.note("client sends POST of job %s, a chain of %d tasks of %d ms, to %s", job, chainSteps, chainTaskMS, owner.name)
		go func() { posted <- owner.post(job, chain(chainSteps, chainTaskMS), chainTime) }()
		time.Sleep(500 * time.Millisecond)
		if trouble {
			in.rec.note("%s stands still for %v", other.name, freezeTime)
			if err := other.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
				return false, err
			}
			time.AfterFunc(freezeTime, func() { _ = other.cmd.Process.Signal(syscall.SIGCONT) })
			time.Sleep(freezeTime / 2)
		}
		in.rec.note("client sends DELETE of job %s to %s", job, other.name)
		a := other.request(http.MethodDelete, job, "", chainTime)
		acknowledged := time.Now()
		in.rec.note("DELETE is answered: %v", a)
		if a.status != http.StatusOK && a.status != http.StatusGone {
			return false, fmt.Errorf("DELETE is not acknowledged")
		}
		in.rec.note("POST is answered: %v", <-posted)
		late := in.runs.of(job, acknowledged.Add(cancelTime))
		in.rec.note("%d tasks of the cancelled job started over %v after the acknowledgement", len(late), cancelTime)
		return len(late) > 0, nil
	},
}

// chain returns a job of steps of one task that run one after the other.
func chain(steps, ms int) string {
	var list []string
	for i := range steps {
		after := ""
		if i > 0 {
			after = fmt.Sprintf(`,"after":[%d]`, i-1)
		}
		list = append(list, fmt.Sprintf(`{"count":1,"cpu":1000,"memMb":64,"estimateMs":%d%s}`, ms, after))
	}
	return fmt.Sprintf(`{"spec":"1000/%d","bestEffort":true,"steps":[%s]}`, ms, strings.Join(list, ","))
}
