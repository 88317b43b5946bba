package frame_test

import (
	"reflect"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
)

// fullFrame returns a frame with every field set.
func fullFrame() frame.Frame {
	h := frame.NewHello("agent_1", 7, "zone", "10.0.0.1:7400", frame.RoleAgent)
	t := frame.NewTarget("i-1@5", "service", "zone", []string{"a", "r1"}, true).WithCapacity(32000, 65536, 2).WithWarmUp(time.Second)
	r := frame.NewFreeCapacity(-5, 6, 7, 8, 9)
	c := frame.NewConfig(4, []byte("{}"))
	id := frame.NewRunID("job", 1, 2, 3)
	return frame.Frame{
		Hello:            &h,
		Target:           &t,
		FreeCapacity:     &r,
		Config:           &c,
		Clock:            time.Minute,
		Echo:             time.Second,
		ConfigVersion:    4,
		ReportInterval:   70 * time.Millisecond,
		EarlierRunsEnded: true,
		Leaving:          true,
		Starts:           []frame.Start{frame.NewStart(1, "job", 0, []int{0, 5}, []int64{1, 2}, "spec").WithResources(1, 2, 3).WithTimes(4, 5*time.Second, -6)},
		Stops:            []frame.RunID{id},
		Started:          []frame.RunID{id},
		Ended:            []frame.Ended{frame.NewEnded(id, 2, time.Second)},
		Progress:         []frame.Progress{frame.NewProgress(id, 41, time.Second)},
		Peers:            []frame.Peer{frame.NewPeer("entry_1", "10.0.0.2:7400")},
		Cancels:          []string{"job"},
	}
}

// TestCodec guards against fields that are lost or swapped by encoding or decoding.
func TestCodec(t *testing.T) {
	want := fullFrame()
	want.Starts[0] = want.Starts[0].WithTimes(4*time.Microsecond, 5*time.Second, -6)
	tests := map[string]frame.Frame{
		"empty": {},
		"full":  want,
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
	f.Fuzz(func(t *testing.T, b []byte) {
		x, err := frame.Decode(b)
		if err != nil {
			return
		}
		y, err := frame.Decode(frame.Encode(x))
		if err != nil || !reflect.DeepEqual(x, y) {
			t.Errorf("decoded %+v, after encoding it again got %+v, error %v", x, y, err)
		}
	})
}
