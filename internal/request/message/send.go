package message

import "greengagedoor.example/greengagedoor/internal/process/identity"

// Send is an effect: a message for another process. The body is a message of this
// package or of package membership, or a message of a process to itself.
type Send struct {
	to   identity.Process
	body any
}

func NewSend(to identity.Process, body any) Send {
	return Send{
		to:   to,
		body: body,
	}
}

// To returns the receiver.
func (s Send) To() identity.Process {
	return s.to
}

func (s Send) Body() any {
	return s.body
}

// Received is an event: a message from another process, with the credit and the
// capacity hint of its frame.
type Received struct {
	from     identity.Process
	credit   uint64
	capacity []Capacity
	body     any
}

// NewReceived returns the event. The body is nil for a heartbeat.
func NewReceived(from identity.Process, credit uint64, capacity []Capacity, body any) Received {
	return Received{
		from:     from,
		credit:   credit,
		capacity: capacity,
		body:     body,
	}
}

// From returns the sender.
func (r Received) From() identity.Process {
	return r.from
}

// Credit returns the newest credit that the sender has issued, or zero if it has
// issued none.
func (r Received) Credit() uint64 {
	return r.credit
}

// Capacity returns the free capacity of the sender's back ends by service, or nil
// if the frame has no hint.
func (r Received) Capacity() []Capacity {
	return r.capacity
}

// Body returns the message, or nil for a heartbeat.
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

// NewCapacity returns the free capacity of a service. The numbers are slots; see
// the methods for the unit of speed.
func NewCapacity(service string, free, reserved, long uint32, speed float64) Capacity {
	return Capacity{
		service:  service,
		free:     free,
		reserved: reserved,
		long:     long,
		speed:    speed,
	}
}

func (c Capacity) Service() string {
	return c.service
}

// Free returns the number of free slots that tasks of any urgency may use.
func (c Capacity) Free() uint32 {
	return c.free
}

// Reserved returns the number of free slots that only critical tasks may use.
func (c Capacity) Reserved() uint32 {
	return c.reserved
}

// Long returns how many of the free slots long tasks may use.
func (c Capacity) Long() uint32 {
	return c.long
}

// Speed returns the measured speed: declared run time divided by actual run time,
// so 1 is a back end that needs the declared time.
func (c Capacity) Speed() float64 {
	return c.speed
}

// Undelivered is an event: a message that certainly did not leave this process.
type Undelivered struct {
	send Send
}

func NewUndelivered(s Send) Undelivered {
	return Undelivered{
		send: s,
	}
}

// Send returns the message with its receiver.
func (u Undelivered) Send() Send {
	return u.send
}

// ProcessEnded is an event: a process incarnation will not send any more, because
// a newer incarnation has its name or its membership has ended.
type ProcessEnded struct {
	process identity.Process
}

func NewProcessEnded(p identity.Process) ProcessEnded {
	return ProcessEnded{
		process: p,
	}
}

func (e ProcessEnded) Process() identity.Process {
	return e.process
}

// Wake is an event: the time that a state machine returned as its next timer has
// been reached.
type Wake struct{}
