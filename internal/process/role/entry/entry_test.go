package entry_test

import (
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/process/role/entry"
	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/request/job"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

const team = "tegnestuen"

var (
	start  = time.UnixMilli(1_800_000_000_000)
	first  = process("agent_a", 1)
	second = process("agent_b", 1)
)

func process(name string, incarnation uint64) identity.Process {
	p, err := identity.NewProcess(name, incarnation)
	if err != nil {
		panic(err)
	}
	return p
}

func orderOf(t *testing.T, tasks int) job.Order {
	t.Helper()
	key := uuid.MustParse("01a3185c-5000-7000-8000-000000000001") // 1,800,000,000,000 ms
	s, err := identity.SubmissionOf(team, key)
	if err != nil {
		t.Fatal(err)
	}
	o, err := job.NewOrder(s, "log_sale", time.Time{}, make([][]byte, tasks))
	if err != nil {
		t.Fatal(err)
	}
	return o
}

// newReadyEntry returns an entry with a configuration and one owner of all shards.
func newReadyEntry(t *testing.T) *entry.Entry {
	t.Helper()
	e, err := entry.New(1, 1)
	if err != nil {
		t.Fatal(err)
	}
	limits, err := configuration.NewLimits(10, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	tm, err := configuration.NewTeam(team, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := configuration.New(1, limits, []configuration.Team{tm}, nil)
	if err != nil {
		t.Fatal(err)
	}
	e.Handle(start, cfg)
	e.Handle(start, routes(1, first))
	return e
}

func routes(epoch identity.Epoch, owner identity.Process) membership.Routes {
	return membership.NewRoutes([]membership.Route{membership.NewRoute(0, epoch, owner)})
}

func newReply(p identity.Process, request uint64, a answer.Answer) message.Received {
	return message.NewReceived(p, 0, nil, message.NewReply(request, a))
}

// sentTo lists the recipients of the messages among effects.
func sentTo(effects []any) []identity.Process {
	var to []identity.Process
	for _, e := range effects {
		if s, ok := e.(message.Send); ok {
			to = append(to, s.To())
		}
	}
	return to
}

// answers maps request numbers to the answers among effects.
func answers(effects []any) map[uint64]answer.Answer {
	found := map[uint64]answer.Answer{}
	for _, e := range effects {
		if r, ok := e.(entry.Respond); ok {
			found[r.Request()] = r.Answer()
		}
	}
	return found
}

// TestSubmit guards against a request that is lost, answered twice, or answered
// by a process that no longer owns the shard.
func TestSubmit(t *testing.T) {
	complete := answer.Completion([][]byte{[]byte("1")})
	until := start.Add(time.Minute)
	tests := map[string]func(e *entry.Entry) map[uint64]answer.Answer{
		"answered_by_owner": func(e *entry.Entry) map[uint64]answer.Answer {
			return answers(e.Handle(start, newReply(first, 1, complete)))
		},
		"answered_after_acceptance": func(e *entry.Entry) map[uint64]answer.Answer {
			So(e.Handle(start, newReply(first, 1, answer.Pending())), ShouldBeEmpty)
			return answers(e.Handle(start, newReply(first, 1, complete)))
		},
		"moved_to_new_owner": func(e *entry.Entry) map[uint64]answer.Answer {
			So(sentTo(e.Handle(start, routes(2, second))), ShouldResemble, []identity.Process{second})
			So(e.Handle(start, newReply(first, 1, answer.NotForwarded(answer.KeyExpired, "", 0))), ShouldBeEmpty)
			return answers(e.Handle(start, newReply(second, 1, complete)))
		},
		"old_route_ignored": func(e *entry.Entry) map[uint64]answer.Answer {
			e.Handle(start, routes(3, second))
			So(e.Handle(start, routes(2, first)), ShouldBeEmpty)
			return answers(e.Handle(start, newReply(second, 1, complete)))
		},
		"owner_without_lease": func(e *entry.Entry) map[uint64]answer.Answer {
			So(e.Handle(start, newReply(first, 1, answer.NotForwarded(answer.Unavailable, "", 0))), ShouldBeEmpty)
			So(e.Handle(start, message.Wake{}), ShouldBeEmpty)
			So(sentTo(e.Handle(start.Add(time.Second), message.Wake{})), ShouldResemble, []identity.Process{first})
			return answers(e.Handle(start, newReply(first, 1, complete)))
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the caller gets the complete answer exactly once", t, func() {
				e := newReadyEntry(t)
				So(sentTo(e.Handle(start, entry.NewSubmit(1, orderOf(t, 1), until))), ShouldResemble, []identity.Process{first})
				got := run(e)
				So(got, ShouldHaveLength, 1)
				So(got[1].State(), ShouldEqual, answer.Complete)
				So(e.Handle(start, newReply(first, 1, complete)), ShouldBeEmpty)
				So(e.Handle(until, message.Wake{}), ShouldBeEmpty)
				So(e.Requests(), ShouldEqual, 0)
			})
		})
	}
}

// TestExpiry guards against a caller that waits longer than requested, or gets an
// unavailable answer before the owner has had ownerTimeout to reply.
func TestExpiry(t *testing.T) {
	tests := map[string]struct {
		wait    time.Duration
		replied bool
		after   time.Duration
		ends    bool
		reason  answer.Reason
	}{
		"running_in_time": {
			wait:    time.Second,
			replied: true,
			after:   time.Second - 1,
		},
		"running_at_the_end": {
			wait:    time.Second,
			replied: true,
			after:   time.Second,
			ends:    true,
		},
		"silent_owner_is_given_time": {
			wait:  time.Second,
			after: 5 * time.Second,
		},
		"silent_owner_is_given_up": {
			wait:   time.Second,
			after:  6 * time.Second,
			ends:   true,
			reason: answer.Unavailable,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the request is answered at its deadline or at the owner timeout", t, func() {
				e := newReadyEntry(t)
				e.Handle(start, entry.NewSubmit(1, orderOf(t, 1), start.Add(tt.wait)))
				if tt.replied {
					e.Handle(start, newReply(first, 1, answer.Pending()))
				}
				a, ended := answers(e.Handle(start.Add(tt.after), message.Wake{}))[1]
				So(ended, ShouldEqual, tt.ends)
				So(a.Reason(), ShouldEqual, tt.reason)
				So(a.NotRun(), ShouldBeFalse)
			})
		})
	}
}

// TestDrain guards against a draining entry that accepts new requests, drops
// pending ones, or reports that they did not run.
func TestDrain(t *testing.T) {
	Convey("a draining entry", t, func() {
		e := newReadyEntry(t)
		until := start.Add(time.Minute)
		e.Handle(start, entry.NewSubmit(1, orderOf(t, 1), until))
		e.Handle(start, entry.NewSubmit(2, orderOf(t, 1), until))
		e.Handle(start, entry.NewSubmit(3, orderOf(t, 1), until))
		e.Handle(start, newReply(first, 2, answer.Pending()))
		So(e.Handle(start, entry.NewDrain(start.Add(5*time.Second))), ShouldBeEmpty)
		So(e.Ready(), ShouldBeFalse)
		So(e.Drained(), ShouldBeFalse)
		refused := answers(e.Handle(start, entry.NewSubmit(4, orderOf(t, 1), until)))[4]
		So(refused.Reason(), ShouldEqual, answer.ShuttingDown)
		So(refused.NotRun(), ShouldBeFalse)
		done := answers(e.Handle(start, newReply(first, 1, answer.Completion([][]byte{nil}))))
		So(done[1].State(), ShouldEqual, answer.Complete)
		rest := answers(e.Handle(start.Add(5*time.Second), message.Wake{}))
		So(rest, ShouldHaveLength, 2)
		So(rest[2].State(), ShouldEqual, answer.Running)
		So(rest[3].Reason(), ShouldEqual, answer.ShuttingDown)
		So(rest[3].NotRun(), ShouldBeFalse)
		So(e.Drained(), ShouldBeTrue)
	})
}

// TestLimits guards against jobs that exceed the limits of the configuration.
func TestLimits(t *testing.T) {
	tests := map[string]struct {
		now    time.Time
		tasks  int
		reason answer.Reason
	}{
		"within": {
			now:   start,
			tasks: 10,
		},
		"too_many_tasks": {
			now:    start,
			tasks:  11,
			reason: answer.InvalidRequest,
		},
		"clock_just_in_bounds": {
			now:   start.Add(-entry.MaxCallerSkew),
			tasks: 1,
		},
		"clock_ahead": {
			now:    start.Add(-entry.MaxCallerSkew - time.Millisecond),
			tasks:  1,
			reason: answer.KeyInFuture,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the submission is forwarded or refused", t, func() {
				effects := newReadyEntry(t).Handle(tt.now, entry.NewSubmit(1, orderOf(t, tt.tasks), tt.now.Add(time.Second)))
				So(answers(effects)[1].Reason(), ShouldEqual, tt.reason)
				So(len(sentTo(effects)) == 0, ShouldEqual, tt.reason != answer.NoReason)
			})
		})
	}
}

// TestHeldBytes guards against payloads that exhaust the memory of an entry, and
// against capacity that is not released when a request ends.
func TestHeldBytes(t *testing.T) {
	Convey("requests are accepted up to MaxPendingBytes", t, func() {
		e := newReadyEntry(t)
		// Orders of maximum size, and one that uses the remaining capacity.
		large := orderWith(t, job.MaxOrderBytes-8)
		const fitting = entry.MaxPendingBytes / job.MaxOrderBytes
		until := start.Add(time.Minute)
		for n := range uint64(fitting) {
			So(answers(e.Handle(start, entry.NewSubmit(n, large, until))), ShouldBeEmpty)
		}
		So(answers(e.Handle(start, entry.NewSubmit(100, orderWith(t, 8*fitting), until))), ShouldBeEmpty)
		refused := answers(e.Handle(start, entry.NewSubmit(101, orderWith(t, 1), until)))[101]
		So(refused.Reason(), ShouldEqual, answer.Overloaded)
		So(refused.NotRun(), ShouldBeFalse)
		e.Handle(start, entry.NewAbandon(0))
		e.Handle(start, newReply(first, 1, answer.Completion([][]byte{nil})))
		So(answers(e.Handle(start, entry.NewSubmit(102, large, until))), ShouldBeEmpty)
		So(answers(e.Handle(start, entry.NewSubmit(103, large, until))), ShouldBeEmpty)
		So(answers(e.Handle(start, entry.NewSubmit(104, large, until))), ShouldHaveLength, 1)
	})
}

// orderWith returns an order with one payload of n bytes.
func orderWith(t *testing.T, n int) job.Order {
	t.Helper()
	o, err := job.NewOrder(orderOf(t, 1).Submission(), "log_sale", time.Time{}, [][]byte{make([]byte, n)})
	if err != nil {
		t.Fatal(err)
	}
	return o
}

// TestOrderTooLarge guards against forwarding a submission that exceeds the frame
// size: such a frame ends every stream that carries it.
func TestOrderTooLarge(t *testing.T) {
	tests := map[string]struct {
		payloads []int
		refused  bool
	}{
		"at the limit": {
			payloads: []int{job.MaxOrderBytes - 8},
		},
		"one byte over": {
			payloads: []int{job.MaxOrderBytes - 7},
			refused:  true,
		},
		"over with two tasks": {
			payloads: []int{job.MaxOrderBytes / 2, job.MaxOrderBytes / 2},
			refused:  true,
		},
	}
	for name, tt := range tests {
		Convey(name, t, func() {
			var payloads [][]byte
			for _, n := range tt.payloads {
				payloads = append(payloads, make([]byte, n))
			}
			o, err := job.NewOrder(orderOf(t, 1).Submission(), "log_sale", time.Time{}, payloads)
			So(err, ShouldBeNil)
			effects := newReadyEntry(t).Handle(start, entry.NewSubmit(1, o, start.Add(time.Minute)))
			So(len(sentTo(effects)) == 0, ShouldEqual, tt.refused)
			So(len(answers(effects)) == 1, ShouldEqual, tt.refused)
			for _, a := range answers(effects) {
				So(a.Reason(), ShouldEqual, answer.InvalidRequest)
				So(a.NotRun(), ShouldBeFalse)
				So(a.Detail(), ShouldStartWith, "tasks: ")
			}
		})
	}
}
