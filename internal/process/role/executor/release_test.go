package executor_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/role/executor"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// echo lets the entry answer with the latest time of the agent's clock, some ms later.
func (fx *fixture) echo(f frame.Frame) {
	fx.now += ms
	f.Echo = fx.now
	fx.now += ms
	fx.handle(executor.FrameReceived(session, f))
}

// closed reports whether the session was closed since the last call.
func (fx *fixture) closed() bool {
	closed := false
	for _, o := range fx.outputs {
		closed = closed || len(o.SessionsToClose()) > 0
	}
	fx.outputs = nil
	return closed
}

// TestRelease guards against a connection that is closed on purpose while something
// depends on it: a run would be stopped, or its end would not reach the entry, which
// then waits for the longest time that the run may last.
func TestRelease(t *testing.T) {
	start := func() frame.Frame {
		return frame.Frame{
			Starts: []frame.Start{frame.NewStart(1, "job", 0, []int{0}, []int64{1}, "spec").
				WithResources(1000, 64, 0).WithTimes(1<<62, 10_000*ms, 0)},
		}
	}
	end := func(fx *fixture) {
		fx.answerRenewals(nil, []executor.FinishedRun{executor.NewFinishedRun(1, task.NewRun("job", 0, 0, 1), task.EndDone)})
	}
	tests := map[string]struct {
		before func(*fixture)
		after  func(*fixture)
		closes bool
	}{
		"announced":   {before: func(*fixture) {}, after: func(*fixture) {}},
		"old_echo":    {before: func(*fixture) {}, after: func(fx *fixture) { fx.handle(executor.FrameReceived(session, frame.Frame{Echo: fx.now - ms})) }},
		"echoed":      {before: func(*fixture) {}, after: func(fx *fixture) { fx.echo(frame.Frame{}) }, closes: true},
		"run":         {before: func(fx *fixture) { fx.echo(start()) }, after: func(fx *fixture) { fx.echo(frame.Frame{}) }},
		"late_start":  {before: func(*fixture) {}, after: func(fx *fixture) { fx.echo(start()) }},
		"end_unheard": {before: func(fx *fixture) { fx.echo(start()) }, after: func(fx *fixture) { fx.echo(frame.Frame{}); end(fx) }},
		"end_heard":   {before: func(fx *fixture) { fx.echo(start()) }, after: func(fx *fixture) { fx.echo(frame.Frame{}); end(fx); fx.echo(frame.Frame{}) }, closes: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the session closes once nothing depends on it, and no run is stopped", t, func() {
				fx := newFixture(t)
				tt.before(fx)
				fx.handle(executor.SessionReleased(session))
				frames := fx.outputs[len(fx.outputs)-1].Frames()
				So(frames, ShouldHaveLength, 1)
				So(frames[0].Frame().Leaving, ShouldBeTrue)
				tt.after(fx)
				for _, o := range fx.outputs {
					for _, c := range o.Commands() {
						So(c.Kind(), ShouldEqual, executor.CommandStart)
					}
				}
				So(fx.closed(), ShouldEqual, tt.closes)
			})
		})
	}
}
