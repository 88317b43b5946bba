package local_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"greengagedoor.example/greengagedoor/internal/process/log"
	"greengagedoor.example/greengagedoor/internal/process/role/local"
)

const testLimit = 15 * time.Second

// TestRunSample guards against a system that violates a guarantee in a run without
// faults, and against goroutines that outlive the cleanup.
func TestRunSample(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	l, err := log.New(io.Discard, "text", "error", "test")
	Convey("a run of sample jobs keeps every guarantee", t, func() {
		So(err, ShouldBeNil)
		s, cleanup, err := local.New(7, l)
		So(err, ShouldBeNil)
		defer cleanup()
		_, stop, err := s.Start(context.Background())
		So(err, ShouldBeNil)
		defer stop()
		cfg, err := local.SampleConfiguration()
		So(err, ShouldBeNil)
		So(s.Apply(ctx, cfg), ShouldBeNil)
		So(s.Ready(ctx), ShouldBeNil)
		sum, err := s.RunSample(ctx, 7, 50)
		So(err, ShouldBeNil)
		var out bytes.Buffer
		So(sum.Write(&out), ShouldBeNil)
		So(sum.Err(), ShouldBeNil)
		lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
		var last map[string]int
		So(json.Unmarshal(lines[len(lines)-1], &last), ShouldBeNil)
		So(last["jobs_accepted"], ShouldEqual, 50)
		So(last["jobs_complete"], ShouldEqual, 48)
		So(last["jobs_failed"], ShouldEqual, 2)
		So(last["tasks_started"], ShouldBeGreaterThan, 50)
		So(last["tasks_started_twice"], ShouldEqual, 0)
		So(last["answers_partial"], ShouldEqual, 0)
	})
}

// TestCleanupWithoutStart guards against listeners and goroutines that remain after
// the cleanup of a system that was never started.
func TestCleanupWithoutStart(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("the clean-up ends everything", t, func() {
		l, err := log.New(io.Discard, "text", "error", "test")
		So(err, ShouldBeNil)
		_, cleanup, err := local.New(1, l)
		So(err, ShouldBeNil)
		cleanup()
	})
}
