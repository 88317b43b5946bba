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

// simulation runs tasks for a time of the virtual clock.
type simulation struct {
	*world
	due     map[identity.Task]time.Time
	asked   map[uint64]time.Time
	done    map[uint64]time.Duration
	waited  map[identity.Submission]time.Duration
	counter uint64
}

func simulate(agents, slots int, kinds ...configuration.Kind) *simulation {
	s := &simulation{
		world:  newWorld(agents, slots, kinds...),
		due:    map[identity.Task]time.Time{},
		asked:  map[uint64]time.Time{},
		done:   map[uint64]time.Duration{},
		waited: map[identity.Submission]time.Duration{},
	}
	s.onStart = func(_ *standin, m message.Start) {
		k, _ := s.cfg.Kind(m.Task().Submission().Team(), m.Kind())
		s.due[m.Task()] = s.now.Add(k.RunTime())
		s.waited[m.Task().Submission()] = s.now.Sub(m.Task().Submission().FirstSent())
	}
	s.own("owner", 1, nil)
	return s
}

// send submits a job now and returns its request.
func (s *simulation) send(kind string, tasks int) uint64 {
	s.counter++
	n := s.submit(key(s.now, s.counter), kind, tasks, time.Time{})
	s.asked[n] = s.now
	return n
}

// step moves the clock by one tick and ends the tasks that are due.
func (s *simulation) step() {
	s.now = s.now.Add(tick)
	if s.now.UnixMilli()%100 == 0 {
		s.advance(0)
	}
	for _, a := range s.agents {
		for n := 0; n < len(a.running); n++ {
			task := a.running[n]
			if !s.due[task].After(s.now) {
				s.finish(a, n, outcome.Success(nil, s.due[task].Sub(s.now)+s.runTime(task)))
				n--
			}
		}
	}
	s.settle()
	for n, at := range s.asked {
		if _, ok := s.answers[n]; ok {
			s.done[n] = s.now.Sub(at)
			delete(s.asked, n)
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
// the capacity is submitted, and against lost capacity.
func TestBurst(t *testing.T) {
	Convey("the most urgent kind keeps its commitment at ten times the capacity", t, func() {
		const commitment = 500 * time.Millisecond
		s := simulate(4, 8,
			kindOf("urgent", configuration.Critical, commitment, 100*time.Millisecond).WithHarm(9),
			kindOf("bulk", configuration.Low, time.Second, 100*time.Millisecond).WithHarm(1))
		// 32 slots end 320 tasks of 100 ms in a second. Urgent work is half of that.
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
		kept, refused, served := 0, 0, 0
		for n := range urgent {
			if s.answers[n].State() == answer.Complete && s.done[n] <= commitment {
				kept++
			}
		}
		late, hasty := 0, 0
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
					hasty++
				}
			}
		}
		So(hasty, ShouldEqual, 0)
		t.Logf("urgent %d of %d kept, bulk %d served (%d late), %d refused of %d", kept, len(urgent), served, late, refused, len(bulk))
		So(float64(kept), ShouldBeGreaterThanOrEqualTo, 0.99*float64(len(urgent)))
		So(served+refused, ShouldEqual, len(bulk))
		// 1,600 tasks fit into the 5 s of the crest.
		So(kept+served-late, ShouldBeGreaterThanOrEqualTo, 1440)
		s.check(t)
	})
	Convey("the most urgent kind alone at ten times the capacity", t, func() {
		const commitment = time.Second
		s := simulate(4, 8, kindOf("urgent", configuration.Critical, commitment, 100*time.Millisecond))
		accepted, kept := 0, 0
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
					kept++
				}
			}
		}
		t.Logf("%d of %d accepted jobs kept the commitment", kept, accepted)
		So(float64(kept), ShouldBeGreaterThanOrEqualTo, 0.99*float64(accepted))
		So(kept, ShouldBeGreaterThanOrEqualTo, 1440)
	})
}

// TestShedding guards against work of much harm that is refused while work of
// little harm waits, and against a shed job that cannot come back.
func TestShedding(t *testing.T) {
	Convey("jobs of less harm make room and may be sent again", t, func() {
		s := simulate(1, 1,
			kindOf("little", configuration.Normal, time.Second, 100*time.Millisecond).WithHarm(1),
			kindOf("much", configuration.Normal, time.Second, 100*time.Millisecond).WithHarm(5))
		began := s.now
		var little, much []uint64
		for range 20 {
			little = append(little, s.send("little", 1))
		}
		accepted := s.owners[s.current].Snapshot(s.now).Live()
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
		again := s.submit(key(began, shed), "little", 1, time.Time{})
		s.run(time.Second)
		So(s.answers[again].State(), ShouldEqual, answer.Complete)
	})
}

// TestFairness guards against narrow jobs behind wide ones and against work that
// never starts.
func TestFairness(t *testing.T) {
	Convey("a narrow job passes a wide one", t, func() {
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
	Convey("low work starts beside endless high work", t, func() {
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
		wait, started := s.waited[low]
		So(started, ShouldBeTrue)
		// Work counts as aged after 5 s, and then one take in 16 is for it.
		So(wait, ShouldBeLessThan, 7*time.Second)
	})
}

// TestOffer guards against more starts than offered, and against an offer that
// stays without an answer.
func TestOffer(t *testing.T) {
	tests := map[string]struct {
		waiting int
		kind    string
		urgent  bool
		starts  int
		told    int
	}{
		"more work than slots": {
			waiting: 5,
			kind:    "plain",
			starts:  2,
		},
		"less work than slots": {
			waiting: 1,
			kind:    "plain",
			starts:  1,
			told:    1,
		},
		"nothing waits": {
			kind: "plain",
			told: 1,
		},
		"urgent slots are not for other work": {
			waiting: 3,
			kind:    "plain",
			urgent:  true,
			told:    1,
		},
		"urgent slots are for urgent work": {
			waiting: 3,
			kind:    "urgent",
			urgent:  true,
			starts:  2,
			// The demand fell to half of what the agent was told.
			told: 1,
		},
	}
	for name, tt := range tests {
		Convey(name, t, func() {
			w := newWorld(1, 0, kindOf("urgent", configuration.Critical, 10*time.Second, 100*time.Millisecond))
			w.own("owner", 1, nil)
			for i := range tt.waiting {
				w.submit(key(w.now, uint64(i)), tt.kind, 1, time.Time{})
			}
			w.sent = nil
			w.hold = true
			none := []message.Capacity{message.NewCapacity("service", 0, 0, 0, 1)}
			w.handle(message.NewReceived(w.agents[0].process, 1, none, message.NewOffer("service", 2, tt.urgent)))
			So(len(sentOf[message.Start](w)), ShouldEqual, tt.starts)
			So(len(sentOf[message.Interest](w)), ShouldEqual, tt.told)
		})
	}
}

// TestInterest guards against a message to every agent for each waiting task.
func TestInterest(t *testing.T) {
	Convey("agents are told when a demand doubles or halves", t, func() {
		w := newWorld(2, 0)
		w.own("owner", 1, nil)
		w.sent = nil
		for i := range 100 {
			w.submit(key(w.now, uint64(i)), "plain", 1, time.Time{})
		}
		// 1, 2, 4, 8, 16, 32 and 64 to each of two agents.
		So(len(sentOf[message.Interest](w)), ShouldEqual, 14)
	})
}

// TestEjection guards against an agent that fails all it starts and draws in more
// work than the others, and against the ejection of too many.
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
			w := newWorld(3, 1)
			w.own("owner", 1, nil)
			for i := range 60 {
				w.submit(key(w.now, uint64(i)), "plain", 1, time.Time{})
				for n, a := range w.agents {
					for len(a.running) > 0 {
						r := success
						if n < tt.broken {
							r = outcome.Failure("broken", time.Millisecond)
						}
						w.finish(a, 0, r)
					}
				}
				w.advance(5 * time.Millisecond)
			}
			So(w.owners[w.current].Snapshot(w.now).Ejected(), ShouldEqual, tt.want)
			w.advance(time.Second)
			So(w.owners[w.current].Snapshot(w.now).Ejected(), ShouldEqual, 0)
		})
	}
}
