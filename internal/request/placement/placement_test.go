package placement_test

import (
	"math/rand"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"greengagedoor.example/greengagedoor/internal/request/placement"
)

const ms = time.Millisecond

// TestDecide guards against a wait that costs more than a start elsewhere, and against a
// start elsewhere although the better place is about to be free.
func TestDecide(t *testing.T) {
	offer := placement.NewOffer(200*ms, 100*ms, 0.2, time.Second)
	tests := map[string]struct {
		offer placement.Offer
		room  placement.Room
		wait  bool
		limit time.Duration
	}{
		"run_about_to_end":         {offer: offer, room: placement.NewRoom([]placement.Run{placement.NewRun(90*ms, 100*ms)}, 0.2, 0), wait: true, limit: 100 * ms},
		"run_just_begun":           {offer: offer, room: placement.NewRoom([]placement.Run{placement.NewRun(0, 400*ms)}, 0.2, 0)},
		"run_far_longer_than_said": {offer: offer, room: placement.NewRoom([]placement.Run{placement.NewRun(900*ms, 100*ms)}, 0.2, 0)},
		"places_freed_often":       {offer: offer, room: placement.NewRoom(nil, 0.2, 50), wait: true, limit: 100 * ms},
		"places_freed_seldom":      {offer: offer, room: placement.NewRoom(nil, 0.2, 5)},
		"many_wait_before":         {offer: offer, room: placement.NewRoom(nil, 0.2, 50).Behind(10)},
		"far_too_many_wait_before": {offer: offer, room: placement.NewRoom(nil, 0.2, 1e6).Behind(1000)},
		"nothing_known":            {offer: offer, room: placement.NewRoom(nil, 0.2, 0)},
		"places_scarce":            {offer: offer.WithScarcity(1), room: placement.NewRoom(nil, 0.2, 8), wait: true, limit: 200 * ms},
		"other_task_is_the_last":   {offer: offer.WithJob(500 * ms).WithScarcity(0.1), room: placement.NewRoom(nil, 0.2, 20), wait: true, limit: 410 * ms},
		"last_task_costs_nothing":  {offer: offer.WithJob(500 * ms), room: placement.NewRoom(nil, 0.2, 20)},
		"commitment_is_near":       {offer: placement.NewOffer(200*ms, 100*ms, 0.2, 300*ms), room: placement.NewRoom(nil, 0.2, 50), wait: true, limit: 20 * ms},
		"commitment_is_reached":    {offer: placement.NewOffer(200*ms, 100*ms, 0.2, 280*ms), room: placement.NewRoom(nil, 0.2, 50)},
		"only_in_time_there":       {offer: placement.NewOffer(200*ms, 100*ms, 0.2, 170*ms), room: placement.NewRoom(nil, 0.2, 50), wait: true, limit: 85 * ms},
		"late_everywhere":          {offer: placement.NewOffer(200*ms, 100*ms, 0.2, 50*ms), room: placement.NewRoom(nil, 0.2, 50)},
		"better_place_is_no_better": {
			offer: placement.NewOffer(100*ms, 100*ms, 0.2, time.Second),
			room:  placement.NewRoom(nil, 0.2, 1000),
		},
		"time_left_of_a_wait":    {offer: offer.Within(30 * ms), room: placement.NewRoom(nil, 0.2, 50), wait: true, limit: 30 * ms},
		"wait_is_over":           {offer: offer.Within(0), room: placement.NewRoom(nil, 0.2, 50)},
		"group_lacks_one_place":  {offer: offer, room: placement.NewRoom(nil, 0.2, 50).ForGroup(1), wait: true, limit: 100 * ms},
		"group_lacks_ten_places": {offer: offer, room: placement.NewRoom(nil, 0.2, 50).ForGroup(10)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the task waits, or starts now", t, func() {
				d := placement.Decide(tt.offer, tt.room)
				So(d.Wait(), ShouldEqual, tt.wait)
				if tt.wait {
					So(d.Limit(), ShouldEqual, tt.limit)
					So(d.Expected(), ShouldBeBetweenOrEqual, 0, tt.limit)
				}
			})
		})
	}
}

// TestBound guards against a rule that costs more than the better of "never wait" and
// "always wait" by more than the cost of going now, whenever the place becomes free, and
// against a wait after which a start elsewhere is late on the worse side of its estimate.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		there := time.Duration(rapid.IntRange(1, 2000).Draw(t, "there_ms")) * ms
		here := time.Duration(float64(there) * rapid.Float64Range(1, 4).Draw(t, "factor"))
		spread := rapid.Float64Range(0.15, 0.8).Draw(t, "spread")
		slack := time.Duration(float64(here) * rapid.Float64Range(0, 10).Draw(t, "slack"))
		o := placement.NewOffer(here, there, spread, slack).
			WithJob(time.Duration(rapid.IntRange(0, 4000).Draw(t, "covered_ms")) * ms).
			WithScarcity(rapid.Float64Range(0, 1).Draw(t, "scarcity"))
		var runs []placement.Run
		for range rapid.IntRange(0, 10).Draw(t, "runs") {
			runs = append(runs, placement.NewRun(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ran_ms"))*ms, time.Duration(rapid.IntRange(1, 3000).Draw(t, "run_ms"))*ms))
		}
		r := placement.NewRoom(runs, spread, rapid.Float64Range(0, 100).Draw(t, "rate")).Behind(rapid.IntRange(0, 30).Draw(t, "ahead"))
		d := placement.Decide(o, r)
		worse := time.Duration(float64(here) * (1 + 2*spread))
		if !d.Wait() || slack < worse {
			return
		}
		if d.Limit()+worse > slack {
			t.Fatalf("the wait of %v is too long for a slack of %v", d.Limit(), slack)
		}
		free := time.Duration(rapid.IntRange(0, 10_000).Draw(t, "free_ms")) * ms
		cost := o.Waiting(min(free, d.Limit()))
		if free > d.Limit() {
			cost += o.GoingNow()
		}
		if best := min(o.GoingNow(), o.Waiting(free)); cost > best+o.GoingNow()+1 {
			t.Fatalf("the cost %v exceeds the best %v by more than %v", cost, best, o.GoingNow())
		}
	})
}

// TestExpectedCost guards against a rule that is worse on average than both "never wait"
// and "always wait", when places become free as expected and when the rate is wrong by
// 40%.
func TestExpectedCost(t *testing.T) {
	tests := map[string]struct {
		rate  float64
		error float64
		// excess is the most that the rule may cost more than the better of the two, as a
		// share of the cost of going now. Waits that end in vain at their limit cost 0.08.
		excess float64
	}{
		"seldom":             {rate: 2, error: 1, excess: 0.09},
		"as_often_as_worth":  {rate: 10, error: 1, excess: 0.09},
		"somewhat_more":      {rate: 16, error: 1, excess: 0.09},
		"often":              {rate: 50, error: 1, excess: 0.09},
		"overestimated_40%":  {rate: 16, error: 0.6, excess: 0.2},
		"underestimated_40%": {rate: 10, error: 1.4, excess: 0.3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the mean cost is close to the better of never and always", t, func() {
				o := placement.NewOffer(200*ms, 100*ms, 0.2, 10*time.Second)
				d := placement.Decide(o, placement.NewRoom(nil, 0.2, tt.rate))
				rng := rand.New(rand.NewSource(1))
				const samples = 20_000
				var rule, always time.Duration
				for range samples {
					free := time.Duration(rng.ExpFloat64() / (tt.rate * tt.error) * float64(time.Second))
					always += free
					switch {
					case !d.Wait():
						rule += o.GoingNow()
					case free <= d.Limit():
						rule += free
					default:
						rule += d.Limit() + o.GoingNow()
					}
				}
				never := o.GoingNow() * samples
				t.Logf("mean cost: rule %v, never %v, always %v", rule/samples, never/samples, always/samples)
				So(float64(rule), ShouldBeLessThanOrEqualTo, float64(min(never, always))+tt.excess*float64(never))
			})
		})
	}
}

// TestCharge guards against runs that are late on slow targets while others wait for
// them, and against waits for a target that only seems faster.
func TestCharge(t *testing.T) {
	tests := map[string]struct {
		here     time.Duration
		scarcity float64
		want     time.Duration
	}{
		"slower_and_scarce":     {here: 140 * ms, scarcity: 0.5, want: 0},
		"slower_with_room":      {here: 140 * ms, scarcity: 0.4, want: 120 * ms},
		"within_error":          {here: 125 * ms, scarcity: 1, want: 120 * ms},
		"far_slower_with_room":  {here: 400 * ms, scarcity: 0, want: 120 * ms},
		"far_slower_and_scarce": {here: 400 * ms, scarcity: 1, want: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the charge depends on what the run takes from others", t, func() {
				So(placement.Charge(tt.here, 100*ms, tt.scarcity), ShouldEqual, tt.want)
			})
		})
	}
}
