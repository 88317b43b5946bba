package agent_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/process/role/agent"
	"greengagedoor.example/greengagedoor/internal/request/message"
)

// TestRefusal guards against the admission of a start that a check must reject.
func TestRefusal(t *testing.T) {
	tests := map[string]struct {
		prepare func(*bench)
		start   func(*bench) []any
		want    string
	}{
		"admitted": {},
		"no lease": {
			prepare: func(b *bench) { b.handle(membership.NewLease(b.now)) },
			want:    "no_lease",
		},
		"credit of 500 ms": {
			start: func(b *bench) []any {
				return b.receive(one, message.NewStart(taskOf(1), message.NewGrant(1, 1), b.credit(b.now)-501, normal, nil, time.Time{}))
			},
			want: "stale_credit",
		},
		"credit from the future": {
			start: func(b *bench) []any {
				return b.receive(one, message.NewStart(taskOf(1), message.NewGrant(1, 1), b.credit(b.now)+1, normal, nil, time.Time{}))
			},
			want: "stale_credit",
		},
		"past deadline": {
			start: func(b *bench) []any {
				return b.receive(one, message.NewStart(taskOf(1), message.NewGrant(1, 1), b.credit(b.now), normal, nil, b.now))
			},
			want: "past_deadline",
		},
		"previous owner after fencing": {
			prepare: func(b *bench) { b.receive(two, message.NewFence([]message.Grant{message.NewGrant(1, 2)})) },
			want:    "stale_epoch",
		},
		"revoked submission": {
			prepare: func(b *bench) {
				b.receive(one, message.NewRevoke([]message.Grant{message.NewGrant(1, 1)}, submissions(1)))
			},
			want: "withdrawn",
		},
		"started before": {
			prepare: func(b *bench) { b.start(one, taskOf(1), 1, normal) },
			want:    "already_started",
		},
		"unknown kind": {
			start: func(b *bench) []any { return b.start(one, taskOf(1), 1, "other") },
			want:  "no_back_end",
		},
		"no worker here": {
			start: func(b *bench) []any { return b.start(one, taskOf(1), 1, batch) },
			want:  "no_back_end",
		},
		"draining": {
			prepare: func(b *bench) { b.handle(agent.Drain{}) },
			want:    "draining",
		},
		"target is leaving": {
			prepare: func(b *bench) {
				b.start(one, taskOf(2), 1, normal)
				b.announce("t", 8, true)
			},
			want: "draining",
		},
		"target has expired": {
			prepare: func(b *bench) { b.advance(2 * time.Second) },
			want:    "no_back_end",
		},
		"all slots in use": {
			prepare: func(b *bench) { b.fill(one, normal) },
			want:    "busy",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the start is admitted or rejected", t, func() {
				b := newBench(t)
				b.advance(time.Second)
				b.announce("t", 8, false)
				if tt.prepare != nil {
					tt.prepare(b)
				}
				if tt.start == nil {
					tt.start = func(b *bench) []any { return b.start(one, taskOf(1), 1, normal) }
				}
				So(answer(tt.start(b)), ShouldEqual, tt.want)
			})
		})
	}
}

// TestSlots guards against more tasks than a target has slots or connections, and
// against other work that occupies the slots reserved for critical tasks.
func TestSlots(t *testing.T) {
	tests := map[string]struct {
		slots    int
		kinds    []string
		wantRuns []int
	}{
		"one slot of 8 is reserved": {
			slots:    8,
			kinds:    []string{normal, critical},
			wantRuns: []int{7, 1},
		},
		"critical work may take everything": {
			slots:    8,
			kinds:    []string{critical, normal},
			wantRuns: []int{8, 0},
		},
		"none of 3 is reserved": {
			slots:    3,
			kinds:    []string{normal, critical},
			wantRuns: []int{3, 0},
		},
		"one of 4 is reserved": {
			slots:    4,
			kinds:    []string{normal, critical},
			wantRuns: []int{3, 1},
		},
		"long work has half": {
			slots:    8,
			kinds:    []string{long, normal, critical},
			wantRuns: []int{4, 3, 1},
		},
		"long work has half of 5, down": {
			slots:    5,
			kinds:    []string{long, normal, critical},
			wantRuns: []int{2, 2, 1},
		},
		"long work has a single slot": {
			slots:    1,
			kinds:    []string{long, normal},
			wantRuns: []int{1, 0},
		},
		"at most 64 connections": {
			slots:    100,
			kinds:    []string{critical},
			wantRuns: []int{64},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("each kind gets its number of slots", t, func() {
				b := newBench(t)
				b.announce("t", tt.slots, false)
				for i, k := range tt.kinds {
					So(b.fill(one, k), ShouldEqual, tt.wantRuns[i])
				}
			})
		})
	}
}

// fill starts tasks of a kind until one is rejected, and returns how many started.
func (b *bench) fill(owner identity.Process, kind string) int {
	for n := 0; ; n++ {
		if _, cause := b.run(owner, kind); cause != "" {
			return n
		}
	}
}

// TestEnd guards against results that are lost or sent to a previous owner, and against
// a second start of a task that may have had an effect.
func TestEnd(t *testing.T) {
	tests := map[string]struct {
		kind   string
		result outcome.Result
		again  string
	}{
		"success": {
			kind:   normal,
			result: success(),
			again:  "already_started",
		},
		"failure": {
			kind:   normal,
			result: outcome.Failure("no", 1),
			again:  "already_started",
		},
		"failure of two": {
			kind:   twice,
			result: outcome.Failure("no", 1),
		},
		"unknown of two": {
			kind:   twice,
			result: outcome.Lost("cut"),
			again:  "already_started",
		},
		"connection refused": {
			kind:   normal,
			result: outcome.Revocation("refused"),
		},
		"refused, then of two": {
			kind:   twice,
			result: outcome.Revocation("refused"),
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the owner gets the result once, and the ledger decides on the next start", t, func() {
				b := newBench(t)
				b.announce("t", 8, false)
				So(answer(b.start(one, taskOf(1), 1, tt.kind)), ShouldEqual, "")
				got := sent[message.Finished](b.end(taskOf(1), tt.result), one)
				So(got, ShouldHaveLength, 1)
				So(got[0].Result().State(), ShouldEqual, tt.result.State())
				So(b.end(taskOf(1), tt.result), ShouldBeEmpty)
				So(answer(b.start(one, taskOf(1), 1, tt.kind)), ShouldEqual, tt.again)
			})
		})
	}
	Convey("after fencing the new owner gets the result", t, func() {
		b := newBench(t)
		b.announce("t", 8, false)
		b.start(one, taskOf(1), 1, normal)
		b.receive(two, message.NewFence([]message.Grant{message.NewGrant(1, 2)}))
		got := b.end(taskOf(1), success())
		So(sent[message.Finished](got, one), ShouldBeEmpty)
		So(sent[message.Finished](got, two), ShouldHaveLength, 1)
	})
}
