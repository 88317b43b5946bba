package admission

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const ms = time.Millisecond

// TestDecide guards against jobs that are refused without a queue or because of their own
// size, and against jobs that are accepted behind work that leaves them no time.
func TestDecide(t *testing.T) {
	const now = time.Minute
	// small is a job of two tasks, large one of twenty that are four times as long.
	small := NewJob(3, 0.6, 200*ms, 0.4).WithTimes(now+400*ms, now+1200*ms)
	large := NewJob(30, 24, 800*ms, 0.4).WithTimes(now+500*ms, now+1500*ms)
	tests := map[string]struct {
		job        Job
		queued     int
		capacity   Capacity
		reason     Reason
		kept       Reason
		retryAfter time.Duration
	}{
		"free":                     {job: small, capacity: NewCapacity(10, 100), retryAfter: time.Second},
		"no_queue":                 {job: small, capacity: NewCapacity(0, 100), retryAfter: time.Second},
		"queue_that_fits":          {job: small, queued: 3, capacity: NewCapacity(10, 10), retryAfter: time.Second},
		"short_queue":              {job: small, queued: 4, capacity: NewCapacity(0, 100), retryAfter: time.Second},
		"long_queue":               {job: small, queued: 6, capacity: NewCapacity(0, 100), reason: ReasonBacklog, retryAfter: time.Second},
		"large_behind_short_queue": {job: large, queued: 4, capacity: NewCapacity(0, 100), retryAfter: time.Second},
		"large_behind_long_queue":  {job: large, queued: 7, capacity: NewCapacity(0, 100), reason: ReasonBacklog, retryAfter: time.Second},
		"past_its_use":             {job: small, queued: 400, capacity: NewCapacity(0, 100), reason: ReasonBacklog, kept: ReasonTooLate, retryAfter: 3 * time.Second},
		"targets_lost":             {job: small, queued: 4, capacity: NewCapacity(0, 1), reason: ReasonBacklog, kept: ReasonTooLate, retryAfter: 3 * time.Second},
		"nothing_ends":             {job: small, queued: 1, reason: ReasonTooLate, kept: ReasonTooLate, retryAfter: maxRetryAfter},
		"few_queued":               {job: small, queued: 3, capacity: NewCapacity(0, 10), retryAfter: time.Second},
		"stalled":                  {job: small, queued: 4, capacity: NewCapacity(0, 100).Stalled(50 * ms), reason: ReasonBacklog, retryAfter: time.Second},
		"stalled_with_free_cores":  {job: small, queued: 4, capacity: NewCapacity(20, 100).Stalled(50 * ms), retryAfter: time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the decision is as the backlog and the capacity call for", t, func() {
				var ahead Backlog
				for range tt.queued {
					ahead.Add(3, 0.6)
				}
				d := Decide(now, tt.job, ahead, tt.capacity)
				So(d.Reason(), ShouldEqual, tt.reason)
				So(d.RetryAfter(), ShouldEqual, tt.retryAfter)
				So(d.ExpectedEnd(), ShouldBeGreaterThanOrEqualTo, now+tt.job.runTime)
				So(Keep(now, tt.job, ahead, tt.capacity).Reason(), ShouldEqual, tt.kept)
			})
		})
	}
}
