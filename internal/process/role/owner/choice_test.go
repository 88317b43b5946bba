package owner_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/process/role/owner"
	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/request/job"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// TestChoice guards against work that crosses availability zones or goes to a slow
// agent without need, and against slots used by work that must not use them.
func TestChoice(t *testing.T) {
	type report struct {
		zone                 string
		free, reserved, long uint32
		speed                float64
	}
	at := func(zone string, free, reserved, long uint32, speed float64) report {
		return report{
			zone:     zone,
			free:     free,
			reserved: reserved,
			long:     long,
			speed:    speed,
		}
	}
	tests := map[string]struct {
		kind    string
		reports []report
		want    string
	}{
		"own availability zone before a faster agent": {
			kind:    "plain",
			reports: []report{at("near", 1, 0, 1, 1), at("far", 8, 0, 8, 4)},
			want:    "agent-0",
		},
		"faster agent of the own zone": {
			kind:    "plain",
			reports: []report{at("near", 8, 0, 8, 1), at("near", 1, 0, 1, 2)},
			want:    "agent-1",
		},
		"another zone when the own has no free slot": {
			kind:    "plain",
			reports: []report{at("near", 0, 1, 0, 1), at("far", 1, 0, 1, 1)},
			want:    "agent-1",
		},
		"reserved slots are for critical work": {
			kind:    "urgent",
			reports: []report{at("near", 0, 1, 0, 1), at("far", 1, 0, 1, 1)},
			want:    "agent-0",
		},
		"long work needs a slot for long work": {
			kind:    "long",
			reports: []report{at("near", 4, 1, 0, 1), at("far", 1, 0, 1, 1)},
			want:    "agent-1",
		},
		"no free slot at all": {
			kind:    "long",
			reports: []report{at("near", 4, 1, 0, 1)},
		},
	}
	for name, tt := range tests {
		Convey(name, t, func() {
			h := newHarness(0, 0,
				kindOf("urgent", configuration.Critical, time.Second, 50*time.Millisecond),
				kindOf("long", configuration.Normal, time.Minute, 5*time.Second).WithLong(true))
			topology, _ := owner.NewTopology(1, 1)
			o, err := owner.New(process("owner"), topology, rand.New(rand.NewPCG(1, 2)))
			So(err, ShouldBeNil)
			o.Handle(h.now, h.cfg)
			o.Handle(h.now, membership.NewLease(h.now.Add(time.Second)))
			o.Handle(h.now, membership.NewGranted(0, 1, nil))
			var members []membership.Member
			for i, r := range tt.reports {
				members = append(members, membership.NewMember(process("agent-"+string(rune('0'+i))), "", r.zone, time.Time{}))
			}
			o.Handle(h.now, membership.NewWorkingSet(members))
			for i, r := range tt.reports {
				capacity := []message.Capacity{message.NewCapacity("service", r.free, r.reserved, r.long, r.speed)}
				o.Handle(h.now, message.NewReceived(members[i].Process(), 1, capacity, nil))
			}
			order, _ := job.NewOrder(key(h.now, 1), tt.kind, time.Time{}, make([][]byte, 1))
			got := ""
			for _, s := range o.Handle(h.now, message.NewReceived(process("entry"), 0, nil, message.NewSubmit(1, order))) {
				if _, ok := s.Body().(message.Start); ok {
					got = s.To().Name()
				}
			}
			So(got, ShouldEqual, tt.want)
		})
	}
}

// TestShare guards against a team that gets no capacity because another team uses
// all of it beyond its own share.
func TestShare(t *testing.T) {
	Convey("a returning team is served within its commitment", t, func() {
		theirs, err := configuration.NewKind("other", "theirs", "service", configuration.Normal, time.Second, 100*time.Millisecond)
		So(err, ShouldBeNil)
		s := simulate(2, 8, theirs, kindOf("ours", configuration.Normal, time.Second, 100*time.Millisecond))
		returned := map[uint64]bool{}
		reasons := map[answer.Reason]int{}
		for i := range 4000 {
			s.send("ours", 1)
			if i >= 2000 && i%20 == 0 {
				s.counter++
				n := s.submit(keyOf("other", s.now, s.counter), "theirs", 1, time.Time{})
				s.sentAt[n] = s.now
				returned[n] = true
			}
			s.step()
		}
		s.run(2 * time.Second)
		inTime := 0
		for n := range returned {
			if s.answers[n].State() == answer.Complete && s.done[n] <= time.Second {
				inTime++
			}
		}
		for n := range s.done {
			reasons[s.answers[n].Reason()]++
		}
		// 100 jobs of 100 ms in 2 s take 5 of 16 slots, less than the share of one half.
		So(inTime, ShouldBeGreaterThanOrEqualTo, 99)
		So(reasons[answer.QuotaExceeded], ShouldBeGreaterThan, 0)
		So(s.owners[s.current].Snapshot(s.now).Waiting(configuration.Normal), ShouldEqual, 0)
	})
}
