package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/ledger"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
)

var startTime = time.Unix(1_800_000_000, 0)

const retention = time.Minute

func task(t testing.TB, index uint32) identity.Task {
	t.Helper()
	s, err := identity.SubmissionOf("team", uuid.MustParse("01890000-0000-7000-8000-000000000001"))
	if err != nil {
		t.Fatal(err)
	}
	return identity.NewTask(s, index)
}

func newLedger(t testing.TB, limit, bytes int) *ledger.Ledger {
	t.Helper()
	l, err := ledger.New(startTime, retention, limit, bytes)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// TestBegin guards against a second start of a task, a start by a previous owner,
// and a record that blocks a task which never reached a back end.
func TestBegin(t *testing.T) {
	tests := map[string]struct {
		result    outcome.Result
		maxStarts int
		epoch     identity.Epoch
		want      error
	}{
		"running task": {
			maxStarts: 3,
			epoch:     2,
			want:      ledger.ErrStarted,
		},
		"succeeded": {
			result:    outcome.Success([]byte("x"), 1),
			maxStarts: 3,
			epoch:     2,
			want:      ledger.ErrStarted,
		},
		"unknown outcome": {
			result:    outcome.Lost(""),
			maxStarts: 3,
			epoch:     2,
			want:      ledger.ErrStarted,
		},
		"failed without a second start": {
			result:    outcome.Failure("", 1),
			maxStarts: 1,
			epoch:     2,
			want:      ledger.ErrStarted,
		},
		"failed with a second start": {
			result:    outcome.Failure("", 1),
			maxStarts: 2,
			epoch:     2,
		},
		"never reached": {
			result:    outcome.Revocation("refused"),
			maxStarts: 1,
			epoch:     2,
		},
		"former owner": {
			result:    outcome.Revocation("refused"),
			maxStarts: 1,
			epoch:     1,
			want:      ledger.ErrEpoch,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the second start is allowed or refused", t, func() {
				l := newLedger(t, 10, 1000)
				So(l.Begin(startTime, task(t, 0), 1, 2, tt.maxStarts), ShouldBeNil)
				if tt.result.State().Ended() {
					So(l.End(startTime, task(t, 0), tt.result), ShouldBeTrue)
				}
				err := l.Begin(startTime, task(t, 0), 1, tt.epoch, tt.maxStarts)
				if tt.want == nil {
					So(err, ShouldBeNil)
					So(l.Begin(startTime, task(t, 0), 1, 2, tt.maxStarts), ShouldNotBeNil)
					return
				}
				So(err.Error(), ShouldContainSubstring, tt.want.Error())
			})
		})
	}
}

// TestExpire guards against a long task that keeps all later records, and against
// records that are removed before the owner refuses the key.
func TestExpire(t *testing.T) {
	Convey("a running task does not delay the removal of other records", t, func() {
		l := newLedger(t, 10_000, 1000)
		for i := range uint32(2000) {
			So(l.Begin(startTime, task(t, i), 1, 1, 1), ShouldBeNil)
			if i > 0 {
				l.End(startTime, task(t, i), outcome.Success(nil, 1))
			}
		}
		l.Expire(startTime.Add(retention - 1))
		So(l.Len(), ShouldEqual, 2000)
		l.Expire(startTime.Add(retention))
		So(l.Len(), ShouldBeBetween, 1, 2000)
		l.Expire(startTime.Add(retention))
		So(l.Len(), ShouldEqual, 1)
		Convey("and its result is kept for a later fence", func() {
			end := startTime.Add(2 * retention)
			So(l.End(end, task(t, 0), outcome.Success([]byte("late"), 1)), ShouldBeTrue)
			l.Expire(end)
			records, err := l.Fence(1, 2)
			So(err, ShouldBeNil)
			So(records, ShouldHaveLength, 1)
			l.Expire(end.Add(retention))
			So(l.Len(), ShouldEqual, 0)
			So(l.Bytes(), ShouldEqual, 0)
		})
	})
}

// TestResults guards against results that grow without limit, and against a success
// that is reported without its result.
func TestResults(t *testing.T) {
	Convey("the oldest results become unknown", t, func() {
		l := newLedger(t, 100, 25)
		for i := range uint32(4) {
			So(l.Begin(startTime, task(t, i), 1, 1, 1), ShouldBeNil)
			l.End(startTime, task(t, i), outcome.Success([]byte(fmt.Sprintf("%010d", i)), 1))
		}
		So(l.Bytes(), ShouldEqual, 20)
		So(l.Evicted(), ShouldEqual, 2)
		for i, want := range []outcome.State{outcome.Unknown, outcome.Unknown, outcome.Succeeded, outcome.Succeeded} {
			r, ok := l.Find(task(t, uint32(i)))
			So(ok, ShouldBeTrue)
			So(r.Result().State(), ShouldEqual, want)
		}
	})
	Convey("a full ledger refuses starts, and no fence returns a start that reached no back end", t, func() {
		l := newLedger(t, 1, 25)
		So(l.Begin(startTime, task(t, 0), 1, 1, 1), ShouldBeNil)
		So(l.Begin(startTime, task(t, 1), 1, 1, 1).Error(), ShouldContainSubstring, ledger.ErrFull.Error())
		l.End(startTime, task(t, 0), outcome.Revocation(""))
		records, err := l.Fence(1, 2)
		So(err, ShouldBeNil)
		So(records, ShouldBeEmpty)
		So(l.Running(), ShouldEqual, 0)
		l.Expire(startTime.Add(retention))
		So(l.Begin(startTime, task(t, 1), 1, 2, 1), ShouldBeNil)
		So(l.BySubmission(task(t, 0).Submission()), ShouldHaveLength, 1)
		So(l.Running(), ShouldEqual, 1)
	})
	Convey("a failed start still counts after a second one that reached no back end", t, func() {
		l := newLedger(t, 1, 25)
		So(l.Begin(startTime, task(t, 0), 1, 1, 2), ShouldBeNil)
		l.End(startTime, task(t, 0), outcome.Failure("", 1))
		So(l.Begin(startTime, task(t, 0), 1, 1, 2), ShouldBeNil)
		l.End(startTime, task(t, 0), outcome.Revocation(""))
		records, err := l.Fence(1, 2)
		So(err, ShouldBeNil)
		So(records, ShouldHaveLength, 1)
		So(records[0].Result().State(), ShouldEqual, outcome.Failed)
		So(l.Begin(startTime, task(t, 0), 1, 2, 2), ShouldBeNil)
		l.End(startTime, task(t, 0), outcome.Failure("", 1))
		So(l.Begin(startTime, task(t, 0), 1, 2, 2), ShouldNotBeNil)
	})
}
