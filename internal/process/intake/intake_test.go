package intake_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/intake"
)

// TestHandle guards against a connection that is closed although another one makes less
// progress, or although its request was read whole.
func TestHandle(t *testing.T) {
	times := intake.Times{
		Head: 5 * time.Second,
		Body: 20 * time.Second,
		Idle: 60 * time.Second,
	}
	sample := func(key string, phase intake.Phase, received, held int64) intake.Sample[string] {
		return intake.Sample[string]{
			Key:      key,
			Phase:    phase,
			Received: received,
			Held:     held,
		}
	}
	type step struct {
		at      time.Duration
		opens   []string
		samples []intake.Sample[string]
		demand  intake.Demand
		closes  map[string]intake.Reason
	}
	tests := map[string][]step{
		"calm": {
			{opens: []string{"a"}},
			{at: 4 * time.Second, samples: []intake.Sample[string]{sample("a", intake.InBody, 100, 100)}},
			{at: 20 * time.Second, samples: []intake.Sample[string]{sample("a", intake.InBody, 101, 101)}},
			{at: 39 * time.Second, samples: []intake.Sample[string]{sample("a", intake.InBody, 102, 102)}},
		},
		"slow_head": {
			{opens: []string{"a", "b"}},
			{at: 4 * time.Second, samples: []intake.Sample[string]{sample("a", intake.InHead, 1, 1), sample("b", intake.Waiting, 0, 0)}},
			{
				at: 6 * time.Second, samples: []intake.Sample[string]{sample("a", intake.InHead, 9, 9), sample("b", intake.Waiting, 0, 0)},
				closes: map[string]intake.Reason{"b": intake.SlowHead},
			},
			{
				at: 10 * time.Second, samples: []intake.Sample[string]{sample("a", intake.InHead, 12, 12)},
				closes: map[string]intake.Reason{"a": intake.SlowHead},
			},
		},
		"stalled_body": {
			{opens: []string{"a"}},
			{at: time.Second, samples: []intake.Sample[string]{sample("a", intake.InBody, 50, 50)}},
			{
				at: 22 * time.Second, samples: []intake.Sample[string]{sample("a", intake.InBody, 50, 50)},
				closes: map[string]intake.Reason{"a": intake.StalledBody},
			},
		},
		"idle": {
			{opens: []string{"a"}},
			{at: time.Second, samples: []intake.Sample[string]{sample("a", intake.Answering, 50, 50)}},
			{at: 50 * time.Second, samples: []intake.Sample[string]{sample("a", intake.Waiting, 50, 0)}},
			{at: 100 * time.Second, samples: []intake.Sample[string]{sample("a", intake.Waiting, 50, 0)}},
			{
				at: 111 * time.Second, samples: []intake.Sample[string]{sample("a", intake.Waiting, 50, 0)},
				closes: map[string]intake.Reason{"a": intake.Idle},
			},
		},
		"memory_takes_least_progress": {
			{opens: []string{"stalled", "slow", "fast", "whole", "unused"}},
			{at: 2 * time.Second, samples: []intake.Sample[string]{
				sample("stalled", intake.InBody, 500, 500), sample("slow", intake.InBody, 100, 100), sample("fast", intake.InBody, 100, 100),
				sample("whole", intake.Answering, 900, 900), sample("unused", intake.Waiting, 0, 0),
			}},
			{
				at: 4 * time.Second, samples: []intake.Sample[string]{
					sample("stalled", intake.InBody, 500, 500), sample("slow", intake.InBody, 200, 200), sample("fast", intake.InBody, 600, 600),
					sample("whole", intake.Answering, 900, 900), sample("unused", intake.Waiting, 0, 0),
				},
				demand: intake.Demand{Bytes: 550},
				closes: map[string]intake.Reason{"stalled": intake.MemoryFull, "slow": intake.MemoryFull},
			},
		},
		"connections_take_least_progress": {
			{opens: []string{"stalled", "whole", "fast"}},
			{at: 2 * time.Second, samples: []intake.Sample[string]{
				sample("stalled", intake.InBody, 500, 500), sample("whole", intake.Answering, 0, 0), sample("fast", intake.InBody, 1, 1),
			}},
			{
				at: 4 * time.Second, opens: []string{"new"},
				samples: []intake.Sample[string]{
					sample("stalled", intake.InBody, 500, 500), sample("whole", intake.Answering, 0, 0), sample("fast", intake.InBody, 90, 90),
					sample("new", intake.Waiting, 0, 0),
				},
				demand: intake.Demand{Connections: 4},
				closes: map[string]intake.Reason{"stalled": intake.ConnectionFull},
			},
		},
		"nothing_to_close": {
			{opens: []string{"a"}},
			{at: time.Second, samples: []intake.Sample[string]{sample("a", intake.Answering, 500, 500)}, demand: intake.Demand{Bytes: 100, Connections: 1}},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the connections of each step are closed", t, func() {
				s := intake.NewState[string]()
				for _, x := range steps {
					for _, key := range x.opens {
						s.Opened(x.at, key)
					}
					got := map[string]intake.Reason{}
					for _, c := range s.Handle(x.at, times, x.demand, x.samples) {
						got[c.Key] = c.Reason
						s.Ended(c.Key)
					}
					want := x.closes
					if want == nil {
						want = map[string]intake.Reason{}
					}
					So(got, ShouldResemble, want)
				}
			})
		})
	}
}

// TestResources guards against parts that exceed the whole.
func TestResources(t *testing.T) {
	tests := map[string]struct {
		memory      int64
		descriptors int
	}{
		"memory":      {memory: 144 << 20},
		"descriptors": {descriptors: 3075},
		"both":        {memory: 144 << 20, descriptors: 3075},
		"small":       {memory: 32 << 20, descriptors: 64},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the parts leave room for the rest of the process", t, func() {
				r := intake.NewResources(tt.memory, tt.descriptors)
				connections := r.Main().Connections() + 2*r.Side().Connections() + r.Links().Connections()
				if tt.descriptors > 0 {
					So(connections, ShouldBeLessThanOrEqualTo, tt.descriptors*7/8)
				}
				if tt.memory > 0 {
					So(r.Main().Bytes()+2*r.Side().Bytes(), ShouldBeLessThanOrEqualTo, tt.memory/8)
				}
				So(connections, ShouldBeGreaterThan, 0)
			})
		})
	}
}
