package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() {
	cases["cancel-duplicate"] = playCancelDuplicate
	cases["cancel-frozen"] = playCancelFrozen
}

var errNotAcknowledged = errors.New("the cancelling was not acknowledged")

// checkCancelled breaks the rule for starts of a job's tasks later than cancelTime after
// its cancelling was acknowledged.
func checkCancelled(j *judge, job string) func() {
	var acknowledged time.Time
	j.checkStarts(func(minion string, _ []string, task string, run int64) {
		if jobOf(task) != job || acknowledged.IsZero() {
			return
		}
		if after := time.Since(acknowledged); after > cancelTime {
			j.breaks("%s#%d starts on %s %d ms after the job's cancelling was acknowledged", task, run, minion, after.Milliseconds())
		}
	})
	return func() {
		j.call(func() { acknowledged = time.Now() })
	}
}

// acknowledges reports whether a status acknowledges a cancelling.
func acknowledges(status int) bool {
	return status/100 == 2 || status == http.StatusGone
}

// chain returns a job of steps that follow each other.
func chain(steps, ms int) string {
	var list []jobStep
	for n := range steps {
		s := jobStep{
			Count:      2,
			CPU:        1000,
			MemMB:      256,
			EstimateMs: int64(ms),
		}
		if n > 0 {
			s.After = []int{n - 1}
		}
		list = append(list, s)
	}
	return jobBody(strings.Repeat(fmt.Sprintf("1000/%d ", ms), steps), list...)
}

// playCancelDuplicate cancels a job at its entry. The client's first request for the job,
// whose channel broke, arrives at another entry seconds after the answers.
func playCancelDuplicate(j *judge, trouble bool) error {
	c, err := newCluster(j, 3, []string{"a", "a", "a"})
	if err != nil {
		return err
	}
	defer c.close()
	id := newID()
	acknowledged := checkCancelled(j, id)
	body := chain(4, 700)
	j.note("client sends POST %s to %s; its channel breaks while the request is under way", id, c.entries[1].name)
	pause(resendPause)
	answered := make(chan int, 1)
	go func() {
		status, _ := c.call(http.MethodPost, c.entries[0], id, body, 10*time.Second)
		answered <- status
	}()
	pause(time.Second)
	status, _ := c.call(http.MethodDelete, c.entries[0], id, "", 3*time.Second)
	if !acknowledges(status) {
		return errNotAcknowledged
	}
	acknowledged()
	if s := <-answered; s/100 != 2 {
		return fmt.Errorf("the job's request was answered with %d", s)
	}
	pause(4 * time.Second)
	if trouble {
		j.note("the first request arrives")
		c.call(http.MethodPost, c.entries[1], id, body, 10*time.Second)
	}
	pause(2 * time.Second)
	return nil
}

// playCancelFrozen cancels a job at another entry while its own one stands still.
func playCancelFrozen(j *judge, trouble bool) error {
	c, err := newCluster(j, 3, []string{"a", "a", "a"})
	if err != nil {
		return err
	}
	defer c.close()
	id := newID()
	acknowledged := checkCancelled(j, id)
	answered := make(chan int, 1)
	go func() {
		status, _ := c.call(http.MethodPost, c.entries[0], id, chain(10, 1000), 25*time.Second)
		answered <- status
	}()
	pause(1500 * time.Millisecond)
	if trouble {
		c.signal(c.entries[0], syscall.SIGSTOP)
		pause(time.Second)
	}
	status, _ := c.call(http.MethodDelete, c.entries[1], id, "", 3*time.Second)
	if !acknowledges(status) {
		return errNotAcknowledged
	}
	acknowledged()
	if trouble {
		pause(time.Second)
		c.signal(c.entries[0], syscall.SIGCONT)
	}
	select {
	case <-answered:
	case <-time.After(25 * time.Second):
	}
	return nil
}
