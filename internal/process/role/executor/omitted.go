package executor

import "greengagedoor.example/greengagedoor/internal/process/event"

// Omitted describes the rows of a target's lists that can't be used and were left
// out.
type Omitted struct {
	rows int
	// runs is the number of rows that may be of any active run.
	runs int
	// ends is the number of rows of ended runs, and lastEnd the highest number of an
	// end among them.
	ends    int
	lastEnd int64
	cause   string
}

// AddRunning returns o with a further row of the active runs and the cause for which
// it was left out. Identified reports that no run of this agent is hidden by it.
func (o Omitted) AddRunning(identified bool, cause string) Omitted {
	if !identified {
		o.runs++
	}
	return o.add(cause)
}

// AddEnd returns o with a further row of the ended runs, the number of the end, 0 if
// it can't be read, and the cause.
func (o Omitted) AddEnd(number int64, cause string) Omitted {
	o.ends++
	o.lastEnd = max(o.lastEnd, number)
	return o.add(cause)
}

func (o Omitted) add(cause string) Omitted {
	o.rows++
	if o.cause == "" {
		o.cause = cause
	}
	return o
}

// Merge returns the rows of both.
func (o Omitted) Merge(p Omitted) Omitted {
	p.rows += o.rows
	p.runs += o.runs
	p.ends += o.ends
	p.lastEnd = max(p.lastEnd, o.lastEnd)
	if o.cause != "" {
		p.cause = o.cause
	}
	return p
}

// Rows returns the number of rows.
func (o Omitted) Rows() int {
	return o.rows
}

// WithoutCause returns the same rows without the cause.
func (o Omitted) WithoutCause() Omitted {
	o.cause = ""
	return o
}

// WithOmitted returns the event of an answer to a renewal with the rows that were
// left out of its lists.
func (e Event) WithOmitted(o Omitted) Event {
	if e.renewalReply != nil {
		reply := *e.renewalReply
		reply.omitted = o
		e.renewalReply = &reply
	}
	return e
}

// logOmitted logs that rows of the target's lists were left out.
func (s *StateMachine) logOmitted(o Omitted) {
	if o.rows == 0 {
		return
	}
	id := s.target.incarnation.id
	s.out.notes = append(s.out.notes, event.New(event.ValueInvalid, event.F("target", id), event.F("error", o.cause)).About(id))
}
