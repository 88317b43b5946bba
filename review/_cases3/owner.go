package main

import "time"

// owner runs functions one at a time on its goroutine, which alone uses what they share.
type owner chan func()

func newOwner() owner {
	o := make(owner)
	go func() {
		for f := range o {
			f()
		}
	}()
	return o
}

// call runs f and waits for it. F must not call the same owner.
func (o owner) call(f func()) {
	done := make(chan struct{})
	o <- func() {
		f()
		close(done)
	}
	<-done
}

// pause waits for a time.
func pause(d time.Duration) {
	<-time.After(d)
}
