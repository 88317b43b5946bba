package publisher_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/role/publisher"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func content(version uint64, tasks int) *configuration.Configuration {
	team := must(configuration.NewTeam("a", 1, 0))
	limits := must(configuration.NewLimits(tasks, 10*time.Minute))
	return must(configuration.New(version, limits, []configuration.Team{team}, nil))
}

func head(version uint64, changeKey string) configuration.Head {
	return must(configuration.NewHead(version, nil, changeKey))
}

// describe returns the effect's type and the values that identify it.
func describe(effect any) string {
	text := strings.TrimPrefix(fmt.Sprintf("%T", effect), "publisher.")
	switch e := effect.(type) {
	case publisher.CreateVersion:
		return fmt.Sprint(text, " ", e.Content().Version())
	case publisher.MoveHead:
		return fmt.Sprint(text, " ", e.Content().Version(), " at ", e.Index())
	case publisher.ReadVersion:
		return fmt.Sprint(text, " ", e.Version())
	case publisher.Reply:
		return fmt.Sprint(text, " ", e.Result().State())
	}
	return text
}

// TestSteps guards against steps of a change in the wrong order or after the wrong
// answer of the store.
func TestSteps(t *testing.T) {
	base := publisher.NewHeadRead(publisher.Done, head(4, "m4"), 40)
	body := publisher.NewVersionRead(publisher.Done, content(4, 10))
	done := publisher.NewWritten(publisher.Done)
	lost := publisher.NewWritten(publisher.Unknown)
	audit := publisher.NewAuditRead(publisher.Done, publisher.NewAudit(0, 0, nil), 7)
	full := publisher.NewAuditRead(publisher.Done, publisher.NewAudit(0, 0, make([]publisher.Record, publisher.SegmentRecords)), 7)
	same := publisher.NewWritten(publisher.AlreadyStored)
	start := []string{"ReadHead", "ReadVersion 4", "CreateVersion 5"}
	tests := map[string]struct {
		events []any
		want   []string
	}{
		"all answers come": {
			events: []any{base, body, done, done, audit, done},
			want:   append(start[:3:3], "MoveHead 5 at 40", "ReadAudit", "WriteAudit", "Reply applied"),
		},
		"number in use": {
			events: []any{base, body, publisher.NewWritten(publisher.Mismatch), done, done},
			want:   append(start[:3:3], "CreateVersion 6", "MoveHead 6 at 40", "ReadAudit"),
		},
		"answer lost, own change key found": {
			events: []any{base, body, done, lost, publisher.NewHeadRead(publisher.Done, head(5, "key"), 41)},
			want:   append(start[:3:3], "MoveHead 5 at 40", "ReadHead", "ReadAudit"),
		},
		"answer lost, own change key behind another": {
			events: []any{base, body, done, lost, publisher.NewHeadRead(publisher.Done, head(6, "m6").WithPrevious(head(5, "key")), 42), audit, done},
			want:   append(start[:3:3], "MoveHead 5 at 40", "ReadHead", "ReadAudit", "WriteAudit", "Reply applied"),
		},
		"answer lost, head unchanged": {
			events: []any{base, body, done, lost, base, done},
			want:   append(start[:3:3], "MoveHead 5 at 40", "ReadHead", "MoveHead 5 at 40", "ReadAudit"),
		},
		"answer lost, head moved without it": {
			events: []any{base, body, done, lost, publisher.NewHeadRead(publisher.Done, head(5, "other"), 41), body, body, audit, done},
			want:   append(start[:3:3], "MoveHead 5 at 40", "ReadHead", "ReadVersion 4", "ReadVersion 5", "ReadAudit", "WriteAudit", "Reply stale_base"),
		},
		"move refused outright": {
			events: []any{base, body, done, publisher.NewWritten(publisher.Unavailable), audit, done},
			want:   append(start[:3:3], "MoveHead 5 at 40", "ReadAudit", "WriteAudit", "Reply store_unavailable"),
		},
		"stale base": {
			events: []any{publisher.NewHeadRead(publisher.Done, head(6, "m6"), 42), audit, body, body},
			want:   []string{"ReadHead", "ReadAudit", "ReadVersion 4", "ReadVersion 6", "ReadAudit"},
		},
		"base not readable": {
			events: []any{base, publisher.NewVersionRead(publisher.Unavailable, nil), publisher.NewAuditRead(publisher.Unavailable, publisher.Audit{}, 0)},
			want:   []string{"ReadHead", "ReadVersion 4", "ReadAudit", "Reply store_unavailable"},
		},
		"answer to the archiving lost": {
			events: []any{base, body, done, done, full, lost, full, same, done},
			want:   append(start[:3:3], "MoveHead 5 at 40", "ReadAudit", "Archive", "ReadAudit", "Archive", "WriteAudit", "Reply applied"),
		},
		"audit log changed by another publisher": {
			events: []any{base, body, done, done, audit, publisher.NewWritten(publisher.Mismatch), audit, done},
			want:   append(start[:3:3], "MoveHead 5 at 40", "ReadAudit", "WriteAudit", "ReadAudit", "WriteAudit", "Reply applied"),
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("each answer leads to the next step", t, func() {
				p := publisher.New()
				now := time.Unix(0, 0)
				effects := p.Handle(now, publisher.NewApply("key", "ann", 4, content(0, 20)))
				var got []string
				for _, e := range tt.events {
					So(effects, ShouldHaveLength, 1)
					got = append(got, describe(effects[0]))
					effects = p.Handle(now, e)
				}
				So(append(got, describe(effects[0])), ShouldResemble, tt.want)
				So(p.Idle(), ShouldEqual, strings.HasPrefix(tt.want[len(tt.want)-1], "Reply"))
			})
		})
	}
}

// TestUnknown guards against a definite result when the store's answer to the move
// of the head stays unknown.
func TestUnknown(t *testing.T) {
	Convey("a change whose answer stays lost ends as unknown", t, func() {
		p := publisher.New()
		now := time.Unix(0, 0)
		p.Handle(now, publisher.NewApply("key", "ann", 4, content(0, 20)))
		p.Handle(now, publisher.NewHeadRead(publisher.Done, head(4, "m4"), 40))
		p.Handle(now, publisher.NewVersionRead(publisher.Done, content(4, 10)))
		p.Handle(now, publisher.NewWritten(publisher.Done))
		effects := p.Handle(now, publisher.NewWritten(publisher.Unknown))
		var pauses time.Duration
		for range 5 {
			r, ok := effects[0].(publisher.ReadHead)
			So(ok, ShouldBeTrue)
			pauses += r.Pause()
			effects = p.Handle(now, publisher.NewHeadRead(publisher.Unavailable, configuration.Head{}, 0))
		}
		So(pauses, ShouldEqual, 3100*time.Millisecond)
		effects = p.Handle(now, publisher.NewAuditRead(publisher.Unavailable, publisher.Audit{}, 0))
		So(effects[0].(publisher.Reply).Result().State(), ShouldEqual, publisher.Indeterminate)
		So(p.Handle(now, publisher.NewApply("", "ann", 4, content(0, 20)))[0].(publisher.Reply).Result().State(), ShouldEqual, publisher.Invalid)
	})
}
