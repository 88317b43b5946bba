package main

import "time"

// owner runs functions one at a time on its goroutine, which alone uses the state that
// belongs to it. A function that it runs must not call it.
type owner struct {
	do chan func()
}

func newOwner() *owner {
	o := &owner{
		do: make(chan func()),
	}
	go func() {
		for f := range o.do {
			f()
		}
	}()
	return o
}

// call runs f and waits for its end.
func (o *owner) call(f func()) {
	done := make(chan struct{})
	o.do <- func() {
		f()
		close(done)
	}
	<-done
}

// pause waits for d.
func pause(d time.Duration) {
	<-time.After(d)
}
