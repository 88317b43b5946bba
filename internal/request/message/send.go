package message

import "greengagedoor.example/greengagedoor/internal/process/identity"

// Send is an effect: a message for another process. Body is one of the message
// types of this package or of package membership.
type Send struct {
	to   identity.Process
	body any
}

// NewSend returns the effect.
func NewSend(to identity.Process, body any) Send {
	return Send{
		to:   to,
		body: body,
	}
}

// To is the receiver.
func (s Send) To() identity.Process {
	return s.to
}

// Body is the message.
func (s Send) Body() any {
	return s.body
}

// Received is an event: a message from another process, with the credit and the
// room that came with its frame.
type Received struct {
	from   identity.Process
	credit uint64
	room   []Capacity
	body   any
}

// NewReceived returns the event. Body is nil for a heartbeat.
func NewReceived(from identity.Process, credit uint64, room []Capacity, body any) Received {
	return Received{
		from:   from,
		credit: credit,
		room:   room,
		body:   body,
	}
}

// From is the sender.
func (r Received) From() identity.Process {
	return r.from
}

// Credit is the newest credit that the sender issued; zero if it issued none.
func (r Received) Credit() uint64 {
	return r.credit
}

// Capacity is what the sender's back ends have free; nil if the frame does not say.
func (r Received) Capacity() []Capacity {
	return r.room
}

// Body is the message, nil for a heartbeat.
func (r Received) Body() any {
	return r.body
}

// Capacity is the free capacity of one service at an agent.
type Capacity struct {
	service  string
	free     uint32
	reserved uint32
	long     uint32
	speed    float64
}

// NewCapacity returns the capacity hint.
func NewCapacity(service string, free, reserved, long uint32, speed float64) Capacity {
	return Capacity{
		service:  service,
		free:     free,
		reserved: reserved,
		long:     long,
		speed:    speed,
	}
}

// Service names the back ends.
func (r Capacity) Service() string {
	return r.service
}

// Free is the number of slots open to every urgency.
func (r Capacity) Free() uint32 {
	return r.free
}

// Reserved is the number of slots open to the most urgent class alone.
func (r Capacity) Reserved() uint32 {
	return r.reserved
}

// Long is how many of the free slots may take long work.
func (r Capacity) Long() uint32 {
	return r.long
}

// Speed is the observed speed, 1 for a back end that takes the learned run time.
func (r Capacity) Speed() float64 {
	return r.speed
}

// Undelivered is an event: a message that certainly did not leave this process.
type Undelivered struct {
	send Send
}

// NewUndelivered returns the event.
func NewUndelivered(s Send) Undelivered {
	return Undelivered{
		send: s,
	}
}

// Send is the message with its receiver.
func (u Undelivered) Send() Send {
	return u.send
}

// ProcessEnded is an event: a process incarnation that will never send again, because
// another incarnation took its name or its membership ended.
type ProcessEnded struct {
	process identity.Process
}

// NewProcessEnded returns the event.
func NewProcessEnded(p identity.Process) ProcessEnded {
	return ProcessEnded{
		process: p,
	}
}

// Process is the process that is gone.
func (g ProcessEnded) Process() identity.Process {
	return g.process
}

// Wake is an event: the time that a decision asked to be woken at has come.
type Wake struct{}
