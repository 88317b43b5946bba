package quota_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/request/quota"
)

// TestUsage guards against a team that is refused for usage long ago, or although
// it uses less than its share.
func TestUsage(t *testing.T) {
	Convey("a team exceeds its share by its recent usage", t, func() {
		now := time.Unix(1_800_000_000, 0)
		u := quota.NewUsage()
		So(u.OverShare(now, "a", 0.5), ShouldBeFalse)
		u.Charge(now, "a", 3*time.Second)
		u.Charge(now, "b", time.Second)
		So(u.OverShare(now, "a", 0.5), ShouldBeTrue)
		So(u.OverShare(now, "b", 0.5), ShouldBeFalse)
		now = now.Add(30 * time.Second)
		u.Charge(now, "b", time.Second)
		So(u.OverShare(now, "a", 0.5), ShouldBeFalse)
		So(u.OverShare(now, "b", 0.5), ShouldBeTrue)
	})
}

// TestRetries guards against retries that multiply the load of failing work.
func TestRetries(t *testing.T) {
	Convey("retries are a tenth of the first starts", t, func() {
		r := quota.NewRetryBudget()
		taken := 0
		for range 1000 {
			r.Deposit()
			if r.TryWithdraw() {
				taken++
			}
		}
		So(taken, ShouldBeBetweenOrEqual, 99, 101)
	})
}
