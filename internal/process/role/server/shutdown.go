package server

import (
	"context"
	"os"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/duty"
	"greengagedoor.example/greengagedoor/internal/process/event"
)

// The times of a leaving process; docs/shutdown.md has what callers see.
const (
	// probeInterval and probeMisses describe the load balancer, which stops sending new
	// connections after consecutive failures of the readiness probe.
	probeInterval = time.Second
	probeMisses   = 2
	// lingerTime is how long an entry that shuts down continues to serve before it
	// closes idle connections: until the load balancer has noticed, and a margin.
	lingerTime = 2500 * time.Millisecond
	// drainMargin is the part of the grace period that is left after the last task and
	// the dispatcher's last answer.
	drainMargin = 700 * time.Millisecond
	// runStopTime is the time before drainMargin in which a leaving agent stops its runs
	// and reports their ends.
	runStopTime = 200 * time.Millisecond
	// replyMargin is the part of the grace period that is left when requests no longer
	// wait for a dispatcher that is too busy to answer.
	replyMargin = 550 * time.Millisecond
	// answerMargin is the part of the grace period that is left when the connections of
	// callers are cut.
	answerMargin = 400 * time.Millisecond
	// answerOvertime is how much longer a process that gets little processor time may
	// take to write answers; its other duties may then be killed.
	answerOvertime = 250 * time.Millisecond
	// revokeLimit bounds the removal of the entry's key once its duty stops.
	revokeLimit = 100 * time.Millisecond
)

// stage is a moment of a process that leaves.
type stage struct {
	// name is in snake case, for logs and the page.
	name string
	// at is the time since the stop signal for a grace period.
	at func(grace time.Duration) time.Duration
}

// stages lists what a leaving entry does, in the order of time.
var stages = []stage{
	{
		name: "stop_signal",
		at:   func(time.Duration) time.Duration { return 0 },
	},
	{
		name: "balancer_notices",
		at:   func(time.Duration) time.Duration { return probeMisses * probeInterval },
	},
	{
		name: "linger_over",
		at:   func(grace time.Duration) time.Duration { return min(lingerTime, grace-drainMargin) },
	},
	{
		name: "last_answer",
		at:   func(grace time.Duration) time.Duration { return grace - drainMargin },
	},
	{
		name: "reply_deadline",
		at:   func(grace time.Duration) time.Duration { return grace - replyMargin },
	},
	{
		name: "connections_cut",
		at:   func(grace time.Duration) time.Duration { return grace - answerMargin },
	},
	{
		name: "grace_end",
		at:   func(grace time.Duration) time.Duration { return grace },
	},
}

// run starts all duties. It returns an error when a duty fails, or nil when ctx has
// ended, the process has drained and its duties have stopped.
func (b *base) run(ctx context.Context, idle func() bool, linger time.Duration) error {
	// The journal, the first duty, outlives the others to log their end.
	journal, err := duty.NewTable(b.duties[:1]...)
	if err != nil {
		return err
	}
	table, err := duty.NewTable(b.duties[1:]...)
	if err != nil {
		return err
	}
	_, stopJournal := journal.Start(context.WithoutCancel(ctx))
	defer stopJournal()
	failed, stop := table.Start(context.WithoutCancel(ctx))
	defer stop()
	b.logEvent(event.ProcessStarted, event.F("zone", b.settings.zone), event.F("link", b.settings.link), event.F("boot", b.hello.Incarnation()), event.F("pid", os.Getpid()))
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	began := time.Now()
	b.leave(began)
	cause := b.drain(idle, linger)
	drained := time.Since(began)
	stop()
	b.logEvent(event.ProcessStopped, event.F("cause", cause), event.F("drained_ms", drained.Milliseconds()),
		event.F("took_ms", time.Since(began).Milliseconds()))
	return nil
}

// leave tells all duties that the process has got its stop signal.
func (b *base) leave(now time.Time) {
	end := now.Add(b.settings.grace)
	b.graceEnd.Store(&end)
	close(b.leaving)
	// The timer outlives the drain, after which requests may still wait.
	time.AfterFunc(b.settings.grace-replyMargin, func() { close(b.replyDeadline) })
	var times []event.Field
	for _, s := range stages {
		times = append(times, event.F(s.name+"_ms", s.at(b.settings.grace).Milliseconds()))
	}
	b.logEvent(event.ProcessStopping, times...)
}

// drain waits for the linger time and then until the process is idle, but not
// longer than the grace period allows. It returns why it ended.
func (b *base) drain(idle func() bool, linger time.Duration) string {
	end := time.NewTimer(b.settings.grace - drainMargin)
	defer end.Stop()
	lingered := time.NewTimer(linger)
	defer lingered.Stop()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lingerOver := false
	for {
		select {
		case <-end.C:
			return "grace"
		case <-lingered.C:
			lingerOver = true
			close(b.lingered)
		case <-ticker.C:
		}
		if lingerOver && idle() {
			return "idle"
		}
	}
}

// left returns how much of the grace period is left, without a margin.
func (b *base) left(margin time.Duration) time.Duration {
	end := b.graceEnd.Load()
	if end == nil {
		return 0
	}
	return max(0, time.Until(*end)-margin)
}

// untilCut returns how long the open requests may still take during a shutdown.
func (b *base) untilCut() time.Duration {
	return b.left(answerMargin)
}

// untilLastAnswer returns how long an entry that shuts down may still take to answer.
func (b *base) untilLastAnswer() time.Duration {
	return b.left(drainMargin)
}

// closed reports whether a channel that carries no values is closed.
func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
