package configuration_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func kind(team, name string, u configuration.Urgency) configuration.Kind {
	return must(configuration.NewKind(team, name, name, u, time.Second, 100*time.Millisecond))
}

func build(teams []configuration.Team, kinds ...configuration.Kind) *configuration.Configuration {
	limits := must(configuration.NewLimits(1100, 10*time.Minute))
	return must(configuration.New(1, limits, teams, kinds))
}

// twoYearSize returns a configuration of the size expected in two years: 260 teams
// with 20 kinds each, half of them on workers, with names as long as teams commonly
// choose.
func twoYearSize() *configuration.Configuration {
	var teams []configuration.Team
	var kinds []configuration.Kind
	size := must(configuration.NewResources(32_000, 64<<30, 2))
	for i := range 260 {
		name := fmt.Sprintf("regional_archive_%03d", i)
		hash := must(configuration.NewTokenHash("caller", [32]byte{byte(i), 1}))
		teams = append(teams, must(configuration.NewTeam(name, 1.0/260, 0)).WithTokens([]configuration.TokenHash{hash, hash, hash}))
		for j := range 20 {
			k := kind(name, fmt.Sprintf("request_kind_%02d", j), configuration.Urgency(j%4)).WithRepeatable(j%2 == 0)
			if j%2 == 0 {
				k = k.WithWorker(size, configuration.MayStop)
			}
			kinds = append(kinds, k)
		}
	}
	return build(teams, kinds...).WithWorkers([]configuration.WorkerClass{must(configuration.NewWorkerClass("large", size))})
}

// TestTwoYears guards against a configuration of the size expected in two years that
// exceeds the largest store value or that encoding and decoding change.
func TestTwoYears(t *testing.T) {
	Convey("the encoded configuration fits the store and decodes to the same content", t, func() {
		c := twoYearSize()
		So(c.Check(), ShouldBeEmpty)
		data, err := configuration.Encode(c)
		So(err, ShouldBeNil)
		t.Logf("%d bytes", len(data))
		So(len(data), ShouldBeLessThan, configuration.MaxBytes)
		back, err := configuration.Decode(data)
		So(err, ShouldBeNil)
		So(configuration.Diff(c, back), ShouldBeEmpty)
		again, err := configuration.Encode(back)
		So(err, ShouldBeNil)
		So(string(again), ShouldEqual, string(data))
	})
}

// TestCheck guards against a check that accepts a contradiction or stops at the
// first one.
func TestCheck(t *testing.T) {
	team := must(configuration.NewTeam("a", 0.5, 0))
	large := must(configuration.NewResources(64_000, 1<<30, 0))
	normal := kind("a", "normal", configuration.Normal)
	tests := map[string]struct {
		c    *configuration.Configuration
		want []string
	}{
		"sound": {
			c: build([]configuration.Team{team}, normal, kind("a", "urgent", configuration.Critical)),
		},
		"no team": {
			c:    build(nil),
			want: []string{"teams"},
		},
		"quotas over the whole and foreign region": {
			c: build([]configuration.Team{
				team,
				must(configuration.NewTeam("b", 0.6, 3)),
			}, normal),
			want: []string{"home_region", "sum of share"},
		},
		"all kinds most urgent": {
			c:    build([]configuration.Team{team}, kind("a", "x", configuration.Critical), kind("a", "y", configuration.Critical)),
			want: []string{"urgency of all kinds"},
		},
		"commitment shorter than run time": {
			c:    build([]configuration.Team{team}, must(configuration.NewKind("a", "x", "x", configuration.Low, time.Second, 2*time.Second))),
			want: []string{"commitment"},
		},
		"commitment longer than the retention": {
			c:    build([]configuration.Team{team}, must(configuration.NewKind("a", "x", "x", configuration.Low, time.Hour, time.Second))),
			want: []string{"commitment"},
		},
		"unrepeatable with retries": {
			c:    build([]configuration.Team{team}, normal.WithMaxStarts(2)),
			want: []string{"max_starts"},
		},
		"fits no worker": {
			c:    build([]configuration.Team{team}, normal.WithWorker(large, 0)),
			want: []string{"resources"},
		},
		"several in one kind": {
			c:    build([]configuration.Team{team}, normal.WithMaxStarts(99).WithSpread(0).WithPayloadBytes(0)),
			want: []string{"spread", "payload_bytes", "max_starts"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("exactly the expected contradictions are reported", t, func() {
				var fields []string
				for _, p := range tt.c.Check() {
					fields = append(fields, p.Field())
					So(p.Allowed(), ShouldNotBeEmpty)
				}
				So(fields, ShouldResemble, tt.want)
			})
		})
	}
}

// TestDiff guards against a difference in behaviour that Diff omits.
func TestDiff(t *testing.T) {
	team := must(configuration.NewTeam("a", 0.5, 0))
	before := build([]configuration.Team{team}, kind("a", "x", configuration.Low), kind("a", "gone", configuration.Low))
	after := build([]configuration.Team{team}, kind("a", "x", configuration.High).WithHarm(3), kind("a", "new", configuration.Low))
	Convey("added, removed and changed parts are listed", t, func() {
		var got []string
		for _, c := range configuration.Diff(before, after) {
			got = append(got, c.Place()+" "+c.Field()+" "+c.Before()+" "+c.After())
		}
		So(got, ShouldResemble, []string{"kind a/gone   ", "kind a/new   ", "kind a/x urgency low high", "kind a/x harm 0 3"})
	})
}

// TestPage guards against a field that the operators' page does not document.
func TestPage(t *testing.T) {
	Convey("docs/configuration.md documents every field", t, func() {
		page, err := os.ReadFile("../../../docs/configuration.md")
		So(err, ShouldBeNil)
		c := build([]configuration.Team{must(configuration.NewTeam("a", 0.5, 0))}, kind("a", "x", configuration.Low))
		for _, l := range configuration.Show(c) {
			_, field, _ := strings.Cut(l, ": ")
			name, _, _ := strings.Cut(field, " = ")
			So(string(page), ShouldContainSubstring, "| `"+name+"` |")
		}
	})
}

// FuzzDecode guards against input that makes the decoder panic, and against a
// version that encoding and decoding change.
func FuzzDecode(f *testing.F) {
	small := build([]configuration.Team{must(configuration.NewTeam("a", 0.5, 0))}, kind("a", "x", configuration.Low))
	f.Add(must(configuration.Encode(small)))
	f.Add([]byte(`{"version":1,"teams":[{"name":"a","kinds":{"name":["x"]}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := configuration.Decode(data)
		if err != nil {
			return
		}
		_ = c.Check()
		once, err := configuration.Encode(c)
		if err != nil {
			t.Fatal(err)
		}
		again, err := configuration.Encode(must(configuration.Decode(once)))
		if err != nil || string(again) != string(once) {
			t.Fatalf("error %v; encoded as %s, then as %s", err, once, again)
		}
	})
}

// FuzzDecodeHead guards against stored data that makes the decoder panic, and
// against a head that encoding and decoding change.
func FuzzDecodeHead(f *testing.F) {
	f.Add(must(configuration.EncodeHead(must(configuration.NewHead(1, nil, "m")))))
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := configuration.DecodeHead(data)
		if err != nil {
			return
		}
		back, err := configuration.DecodeHead(must(configuration.EncodeHead(h)))
		if err != nil || back.Version() != h.Version() || back.ChangeKey() != h.ChangeKey() {
			t.Fatalf("error %v; got head %v, then %v", err, h, back)
		}
	})
}

func BenchmarkCheckTwoYears(b *testing.B) {
	c := twoYearSize()
	for b.Loop() {
		_ = c.Check()
	}
}

func BenchmarkEncodeTwoYears(b *testing.B) {
	c := twoYearSize()
	for b.Loop() {
		_, _ = configuration.Encode(c)
	}
}
