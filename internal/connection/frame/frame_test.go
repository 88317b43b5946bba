package frame_test

import (
	"bytes"
	"math"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/encoding/protowire"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/version/evacuation"
)

// fullFrame returns a frame with every field set.
func fullFrame() frame.Frame {
	h := frame.NewHello("agent_1", 7, "zone", "10.0.0.1:7400", frame.RoleAgent)
	t := frame.NewTarget("i-1@5", "service", "zone", []string{"a", "r1"}, true).WithCapacity(32000, 65536, 2).WithWarmUp(time.Second).WithLeavesIn(2 * time.Second)
	r := frame.NewFreeCapacity(-5, 6, 7, 8, 9)
	p := frame.NewConfig(4, []byte("packed")).Piece(2, 3)
	q := frame.NewConfigRequest(7, 8)
	id := frame.NewRunID("job", 1, 2, 3)
	return frame.Frame{
		Hello:            &h,
		Target:           &t,
		FreeCapacity:     &r,
		ConfigRequest:    &q,
		ConfigPiece:      &p,
		NewestVersion:    5,
		NewestAge:        time.Second,
		KeepConfig:       true,
		Clock:            time.Minute,
		Echo:             time.Second,
		ConfigVersion:    4,
		ReportInterval:   70 * time.Millisecond,
		EarlierRunsEnded: true,
		Leaving:          true,
		ServiceAgents:    52,
		Starts:           []frame.Start{frame.NewStart(1, "job", 0, []int{0, 5}, []int64{1, 2}, "spec").WithResources(1, 2, 3).WithTimes(4, 5*time.Second, -6)},
		Stops:            []frame.RunID{id},
		Started:          []frame.RunID{id},
		Ended:            []frame.Ended{frame.NewEnded(id, 2, time.Second)},
		Progress:         []frame.Progress{frame.NewProgress(id, 41, time.Second)},
		Peers:            []frame.Peer{frame.NewPeer("entry_1", "10.0.0.2:7400").InZone("zone_a")},
		Cancels:          []string{"job"},
		Evacuated:        evacuation.New(6, []string{"zone_a", "zone_b"}),
	}
}

// TestCodec guards against fields that are lost or swapped by encoding or decoding.
func TestCodec(t *testing.T) {
	want := fullFrame()
	want.Starts[0] = want.Starts[0].WithTimes(4*time.Microsecond, 5*time.Second, -6)
	tests := map[string]frame.Frame{
		"empty": {},
		"full":  want,
		"none_evacuated": {
			Evacuated: evacuation.New(1, nil),
		},
	}
	for name, f := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("a decoded frame equals the encoded one", t, func() {
				got, err := frame.Decode(frame.Encode(f))
				So(err, ShouldBeNil)
				So(reflect.DeepEqual(got, f), ShouldBeTrue)
			})
		})
	}
}

// FuzzDecode guards against bytes that crash the decoder, and against frames that
// change when they are encoded again.
func FuzzDecode(f *testing.F) {
	f.Add(frame.Encode(fullFrame()))
	f.Add(frame.Encode(frame.Frame{
		Clock:    math.MaxInt64,
		Progress: []frame.Progress{frame.NewProgress(frame.NewRunID("job", -1, -1, -1), -1, math.MaxInt64)},
		Peers:    []frame.Peer{frame.NewPeer("odd", "127.0.0.1:70000")},
	}))
	f.Add(bytes.Repeat([]byte{0x32, 0x7f}, 500))
	f.Fuzz(func(t *testing.T, b []byte) {
		x, err := frame.Decode(b)
		if err != nil {
			return
		}
		if err := checkRanges(x); err != nil {
			t.Error(err)
		}
		y, err := frame.Decode(frame.Encode(x))
		if err != nil || !reflect.DeepEqual(x, y) {
			t.Errorf("decoded %+v, after encoding it again got %+v, error %v", x, y, err)
		}
	})
}

// TestOddValues guards against a value of another process that overflows a
// calculation or divides by zero.
func TestOddValues(t *testing.T) {
	id := frame.NewRunID("job", 1, 2, 3)
	free := frame.NewFreeCapacity(math.MinInt64, math.MaxInt64, math.MaxInt64, math.MaxInt32, 9)
	target := frame.NewTarget("i", "s", "z", nil, true).WithCapacity(math.MaxInt64, math.MaxInt64, math.MaxInt64).WithWarmUp(math.MaxInt64)
	tests := map[string]frame.Frame{
		"percent_negative": {Progress: []frame.Progress{frame.NewProgress(id, -1, time.Second)}},
		"percent_large":    {Progress: []frame.Progress{frame.NewProgress(id, math.MaxInt64, math.MaxInt64)}},
		"run_time":         {Ended: []frame.Ended{frame.NewEnded(id, math.MaxInt64, math.MinInt64)}},
		"clock":            {Clock: math.MaxInt64, Echo: math.MinInt64},
		"amounts":          {FreeCapacity: &free, Target: &target},
		"indexes":          {Starts: []frame.Start{frame.NewStart(1, "job", -1, []int{-1}, []int64{-1}, "").WithResources(math.MaxInt64, math.MinInt64, 0).WithTimes(math.MaxInt64, math.MaxInt64, 0)}},
	}
	for name, f := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("decoded values are in their ranges", t, func() {
				got, err := frame.Decode(frame.Encode(f))
				So(err, ShouldBeNil)
				So(checkRanges(got), ShouldBeNil)
			})
		})
	}
}

// TestOddEvacuations guards against a part of a set that is taken for the whole: zones that
// are missing from it would get work.
func TestOddEvacuations(t *testing.T) {
	field := func(n protowire.Number, text string) []byte {
		return protowire.AppendString(protowire.AppendTag(nil, n, protowire.BytesType), text)
	}
	revision := protowire.AppendVarint(protowire.AppendTag(nil, 24, protowire.VarintType), protowire.EncodeZigZag(7))
	many := revision
	for i := range evacuation.MaxZones + 1 {
		many = append(many, field(25, strconv.Itoa(i))...)
	}
	tests := map[string]struct {
		b        []byte
		want     evacuation.Set
		wantFail bool
	}{
		"zones_first":       {b: append(field(25, "a"), revision...), want: evacuation.New(7, []string{"a"})},
		"without_revision":  {b: field(25, "a")},
		"negative_revision": {b: protowire.AppendVarint(protowire.AppendTag(nil, 24, protowire.VarintType), 1)},
		"empty_name":        {b: append(revision, field(25, "")...), wantFail: true},
		"long_name":         {b: append(revision, field(25, strings.Repeat("z", evacuation.MaxZoneBytes+1))...), wantFail: true},
		"many_zones":        {b: many, wantFail: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("a frame has the whole set or none", t, func() {
				f, err := frame.Decode(tt.b)
				So(err != nil, ShouldEqual, tt.wantFail)
				if !tt.wantFail {
					So(f.Evacuated, ShouldResemble, tt.want)
				}
			})
		})
	}
}

// checkRanges reports a value with which sums of a few, or a product with 100, could
// overflow, or a progress outside 0 to 100.
func checkRanges(f frame.Frame) error {
	times := []time.Duration{f.Clock, f.Echo}
	var amounts []int64
	add := func(list ...int64) { amounts = append(amounts, list...) }
	for _, p := range f.Progress {
		if p.Percent() < 0 || p.Percent() > 100 {
			return errors.Errorf("progress %d, want 0 to 100", p.Percent())
		}
		times = append(times, p.RunTime()*100)
		add(p.ID().Run())
	}
	for _, e := range f.Ended {
		times = append(times, e.RunTime()*100)
		add(e.ID().Run())
	}
	if f.Target != nil {
		times = append(times, f.Target.WarmUp())
		a, b, c := f.Target.Capacity()
		add(a, b, c)
	}
	if f.FreeCapacity != nil {
		a, b, c := f.FreeCapacity.Amounts()
		add(a, b, c, int64(f.FreeCapacity.Queued()))
	}
	for _, s := range f.Starts {
		times = append(times, s.NotAfter(), s.TimeLimit())
		a, b, c := s.Resources()
		add(a, b, c)
		add(s.Runs()...)
		for _, i := range s.Indexes() {
			if i < 0 {
				return errors.Errorf("index %d, want 0 or more", i)
			}
		}
	}
	for _, d := range times {
		if d < -math.MaxInt64/4 || d > math.MaxInt64/4 {
			return errors.Errorf("time %d ns could overflow", d)
		}
	}
	for _, n := range amounts {
		if n < -1<<40 || n > 1<<40 {
			return errors.Errorf("amount %d could overflow", n)
		}
	}
	return nil
}
