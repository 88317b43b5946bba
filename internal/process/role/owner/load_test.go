package owner_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

const tick = time.Millisecond

// simulation is a harness whose tasks end after their run time.
type simulation struct {
	*harness
	endAt      map[identity.Task]time.Time
	sentAt     map[uint64]time.Time
	done       map[uint64]time.Duration
	startDelay map[identity.Submission]time.Duration
	counter    uint64
}

func simulate(agents, slots int, kinds ...configuration.Kind) *simulation {
	s := &simulation{
		harness:    newHarness(agents, slots, kinds...),
		endAt:      map[identity.Task]time.Time{},
		sentAt:     map[uint64]time.Time{},
		done:       map[uint64]time.Duration{},
		startDelay: map[identity.Submission]time.Duration{},
	}
	s.onStart = func(_ *standin, m message.Start) {
		k, _ := s.cfg.Kind(m.Task().Submission().Team(), m.Kind())
		s.endAt[m.Task()] = s.now.Add(k.RunTime())
		s.startDelay[m.Task().Submission()] = s.now.Sub(m.Task().Submission().FirstSent())
	}
	s.startOwner("owner", 1, nil)
	return s
}

// send submits a job now and returns the number of its request.
func (s *simulation) send(kind string, tasks int) uint64 {
	s.counter++
	n := s.submit(key(s.now, s.counter), kind, tasks, time.Time{})
	s.sentAt[n] = s.now
	return n
}

// step moves the clock by one tick and ends the tasks whose run time has passed.
func (s *simulation) step() {
	s.now = s.now.Add(tick)
	if s.now.UnixMilli()%100 == 0 {
		s.advance(0)
	}
	for _, a := range s.agents {
		for n := 0; n < len(a.running); n++ {
			task := a.running[n]
			if !s.endAt[task].After(s.now) {
				s.finish(a, n, outcome.Success(nil, s.endAt[task].Sub(s.now)+s.runTime(task)))
				n--
			}
		}
	}
	s.deliverAll()
	for n, at := range s.sentAt {
		if _, ok := s.answers[n]; ok {
			s.done[n] = s.now.Sub(at)
			delete(s.sentAt, n)
		}
	}
}

func (s *simulation) runTime(identity.Task) time.Duration {
	return 100 * time.Millisecond
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

// TestBurst guards against urgent work that misses its commitment while ten times
// the capacity is submitted, and against capacity that stays unused meanwhile.
func TestBurst(t *testing.T) {
	Convey("the most urgent kind keeps its commitment at ten times the capacity", t, func() {
		const commitment = 500 * time.Millisecond
		s := simulate(4, 8,
			kindOf("urgent", configuration.Critical, commitment, 100*time.Millisecond).WithHarm(9),
			kindOf("bulk", configuration.Low, time.Second, 100*time.Millisecond).WithHarm(1))
		// 32 slots complete 320 tasks of 100 ms in a second. Urgent work is half of that.
		urgent := map[uint64]bool{}
		bulk := map[uint64]bool{}
		for i := range 5000 {
			if i%25 < 4 {
				urgent[s.send("urgent", 1)] = true
			}
			for range 3 {
				bulk[s.send("bulk", 1)] = true
			}
			s.step()
		}
		s.run(2 * time.Second)
		inTime, refused, served := 0, 0, 0
		for n := range urgent {
			if s.answers[n].State() == answer.Complete && s.done[n] <= commitment {
				inTime++
			}
		}
		late, withoutRetryAfter := 0, 0
		for n := range bulk {
			switch {
			case s.answers[n].State() == answer.Complete:
				served++
				if s.done[n] > time.Second {
					late++
				}
			case s.answers[n].NotRun():
				refused++
				if s.answers[n].RetryAfter() <= 0 {
					withoutRetryAfter++
				}
			}
		}
		So(withoutRetryAfter, ShouldEqual, 0)
		t.Logf("urgent %d of %d kept, bulk %d served (%d late), %d refused of %d", inTime, len(urgent), served, late, refused, len(bulk))
		So(float64(inTime), ShouldBeGreaterThanOrEqualTo, 0.99*float64(len(urgent)))
		So(served+refused, ShouldEqual, len(bulk))
		// The capacity of the load peak of 5 s is 1,600 tasks.
		So(inTime+served-late, ShouldBeGreaterThanOrEqualTo, 1440)
		s.checkStarts(t)
	})
	Convey("the most urgent kind alone at ten times the capacity", t, func() {
		const commitment = time.Second
		s := simulate(4, 8, kindOf("urgent", configuration.Critical, commitment, 100*time.Millisecond))
		accepted, inTime := 0, 0
		for range 5000 {
			for range 3 {
				s.send("urgent", 1)
			}
			s.step()
		}
		s.run(2 * time.Second)
		for n := range s.done {
			if s.answers[n].State() == answer.Complete {
				accepted++
				if s.done[n] <= commitment {
					inTime++
				}
			}
		}
		t.Logf("%d of %d accepted jobs kept the commitment", inTime, accepted)
		So(float64(inTime), ShouldBeGreaterThanOrEqualTo, 0.99*float64(accepted))
		So(inTime, ShouldBeGreaterThanOrEqualTo, 1440)
	})
}

// TestShedding guards against work that is refused while work whose refusal does
// less harm waits, and against a shed job that cannot be submitted again.
func TestShedding(t *testing.T) {
	Convey("jobs of less harm are shed and may be submitted again", t, func() {
		s := simulate(1, 1,
			kindOf("little", configuration.Normal, time.Second, 100*time.Millisecond).WithHarm(1),
			kindOf("much", configuration.Normal, time.Second, 100*time.Millisecond).WithHarm(5))
		sentAt := s.now
		var little, much []uint64
		for range 20 {
			little = append(little, s.send("little", 1))
		}
		accepted := s.owners[s.current].Snapshot(s.now).Submissions()
		for range 6 {
			much = append(much, s.send("much", 1))
		}
		shed := uint64(0)
		for n, request := range little[:accepted] {
			if got := s.answers[request]; got.Reason() == answer.Overloaded {
				So(got.NotRun(), ShouldBeTrue)
				So(got.RetryAfter(), ShouldBeGreaterThan, 0)
				shed = uint64(n + 1)
			}
		}
		So(shed, ShouldBeGreaterThan, 0)
		s.run(2 * time.Second)
		for _, n := range much {
			So(s.answers[n].State(), ShouldEqual, answer.Complete)
		}
		again := s.submit(key(sentAt, shed), "little", 1, time.Time{})
		s.run(time.Second)
		So(s.answers[again].State(), ShouldEqual, answer.Complete)
	})
}

// TestFairness guards against narrow jobs that wait for wide ones and against work
// that never starts.
func TestFairness(t *testing.T) {
	Convey("a narrow job overtakes a wide one", t, func() {
		s := simulate(1, 8, kindOf("wide", configuration.Normal, 30*time.Second, 100*time.Millisecond))
		wide := s.send("wide", 1100)
		s.run(time.Second)
		narrow := s.send("wide", 1)
		s.run(time.Second)
		So(s.answers[narrow].State(), ShouldEqual, answer.Complete)
		So(s.done[narrow], ShouldBeLessThanOrEqualTo, 300*time.Millisecond)
		s.run(15 * time.Second)
		So(s.answers[wide].State(), ShouldEqual, answer.Complete)
	})
	Convey("low work starts during endless high work", t, func() {
		s := simulate(1, 2,
			kindOf("high", configuration.High, 2*time.Second, 100*time.Millisecond),
			kindOf("low", configuration.Low, time.Minute, 100*time.Millisecond))
		for range 100 {
			s.send("high", 1)
		}
		s.run(20 * tick)
		s.counter++
		low := key(s.now, s.counter)
		s.submit(low, "low", 1, time.Time{})
		for range 600 {
			s.send("high", 1)
			s.run(20 * tick)
		}
		wait, started := s.startDelay[low]
		So(started, ShouldBeTrue)
		// Work is treated as aged after 5 s, and then gets one of 16 starts.
		So(wait, ShouldBeLessThan, 7*time.Second)
	})
}

// TestOffer guards against more starts than offered, and against an offer without an
// answer.
func TestOffer(t *testing.T) {
	tests := map[string]struct {
		waiting  int
		kind     string
		urgent   bool
		starts   int
		notified int
	}{
		"more work than slots": {
			waiting: 5,
			kind:    "plain",
			starts:  2,
		},
		"less work than slots": {
			waiting:  1,
			kind:     "plain",
			starts:   1,
			notified: 1,
		},
		"nothing waits": {
			kind:     "plain",
			notified: 1,
		},
		"urgent slots are not for other work": {
			waiting:  3,
			kind:     "plain",
			urgent:   true,
			notified: 1,
		},
		"urgent slots are for urgent work": {
			waiting: 3,
			kind:    "urgent",
			urgent:  true,
			starts:  2,
			// The demand fell to half of what the agent was notified of.
			notified: 1,
		},
	}
	for name, tt := range tests {
		Convey(name, t, func() {
			h := newHarness(1, 0, kindOf("urgent", configuration.Critical, 10*time.Second, 100*time.Millisecond))
			h.startOwner("owner", 1, nil)
			for i := range tt.waiting {
				h.submit(key(h.now, uint64(i)), tt.kind, 1, time.Time{})
			}
			h.sent = nil
			h.paused = true
			none := []message.Capacity{message.NewCapacity("service", 0, 0, 0, 1)}
			h.handle(message.NewReceived(h.agents[0].process, 1, none, message.NewOffer("service", 2, tt.urgent)))
			So(len(sentMessages[message.Start](h)), ShouldEqual, tt.starts)
			So(len(sentMessages[message.Interest](h)), ShouldEqual, tt.notified)
		})
	}
}

// TestInterest guards against a message to every agent for each waiting task, which
// would grow with the load.
func TestInterest(t *testing.T) {
	Convey("agents are notified when a demand doubles or halves", t, func() {
		h := newHarness(2, 0)
		h.startOwner("owner", 1, nil)
		h.sent = nil
		for i := range 100 {
			h.submit(key(h.now, uint64(i)), "plain", 1, time.Time{})
		}
		// 1, 2, 4, 8, 16, 32 and 64 to each of two agents.
		So(len(sentMessages[message.Interest](h)), ShouldEqual, 14)
	})
}

// TestEjection guards against an agent that fails all tasks and so attracts more
// work than the others, and against the ejection of too many agents.
func TestEjection(t *testing.T) {
	tests := map[string]struct {
		broken int
		want   int
	}{
		"one of three": {
			broken: 1,
			want:   1,
		},
		"all of three": {
			broken: 3,
			want:   1,
		},
	}
	for name, tt := range tests {
		Convey(name, t, func() {
			h := newHarness(3, 1)
			h.startOwner("owner", 1, nil)
			for i := range 60 {
				h.submit(key(h.now, uint64(i)), "plain", 1, time.Time{})
				for n, a := range h.agents {
					for len(a.running) > 0 {
						r := success
						if n < tt.broken {
							r = outcome.Failure("broken", time.Millisecond)
						}
						h.finish(a, 0, r)
					}
				}
				h.advance(5 * time.Millisecond)
			}
			So(h.owners[h.current].Snapshot(h.now).EjectedEndpoints(), ShouldEqual, tt.want)
			h.advance(time.Second)
			So(h.owners[h.current].Snapshot(h.now).EjectedEndpoints(), ShouldEqual, 0)
		})
	}
}
