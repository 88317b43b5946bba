package executor_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/role/executor"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// muteStops plays time in steps of 10 ms on a target that answers all calls but stops,
// each of which gets no answer within 90 ms. Its two runs go on while their lease does.
type muteStops struct {
	*fixture
	// silent is set if the entry sends no more frames.
	silent bool
	open   []pendingStop
	// waiting are the renewals that wait for an end.
	waiting []pendingRenewal
	// openAtOnce is the most unanswered stops of a run at the same time.
	openAtOnce int
	stoppedAt  time.Duration
	// expires is the latest end of the lease that the target was asked for.
	expires time.Duration
	// lapsedAt is when the lease ended, and the runs with it; 0 before.
	lapsedAt time.Duration
	endedAt  map[int]time.Duration
	// confirmFrom is when the target begins to answer stops, 0 for never.
	confirmFrom time.Duration
}

type pendingStop struct {
	command executor.Command
	due     time.Duration
}

type pendingRenewal struct {
	renewal executor.Renewal
	due     time.Duration
}

func (m *muteStops) step() {
	m.now += 10 * ms
	if m.now > m.expires && m.lapsedAt == 0 {
		m.lapsedAt = m.now
	}
	if m.silent {
		m.handle(executor.Tick())
	} else {
		m.frame(frame.Frame{
			Echo: m.now,
		})
	}
	m.answerDueStops()
	m.carryOut()
}

func (m *muteStops) answerDueStops() {
	var rest []pendingStop
	for _, p := range m.open {
		switch {
		case m.confirmFrom > 0 && m.now >= m.confirmFrom:
			m.handle(executor.CommandReplied(p.command, executor.ResultDone, m.now))
		case m.now >= p.due:
			m.handle(executor.CommandReplied(p.command, executor.ResultUnknown, 0))
		default:
			rest = append(rest, p)
		}
	}
	m.open = rest
}

// carryOut performs the commands and renewals, and records the ends.
func (m *muteStops) carryOut() {
	for _, c := range m.collect() {
		if c.Kind() == executor.CommandStart {
			m.expires = max(m.expires, c.Expires())
			m.handle(executor.CommandReplied(c, executor.ResultDone, m.now))
			continue
		}
		if m.stoppedAt == 0 {
			m.stoppedAt = m.now
		}
		m.open = append(m.open, pendingStop{
			command: c,
			due:     m.now + 90*ms,
		})
		m.openAtOnce = max(m.openAtOnce, m.openOf(c.Run()))
	}
	for _, r := range m.renewals {
		m.expires = max(m.expires, r.Expires())
		m.waiting = append(m.waiting, pendingRenewal{
			renewal: r,
			due:     m.now + r.Wait(),
		})
	}
	m.renewals = nil
	m.answerDueRenewals()
	for _, e := range m.ended {
		m.endedAt[e.ID().Index()] = m.now
	}
	m.ended = nil
}

func (m *muteStops) answerDueRenewals() {
	percent := int64((m.now - time.Minute) / (20 * ms))
	var rest, due []pendingRenewal
	for _, p := range m.waiting {
		if p.due <= m.now {
			due = append(due, p)
			continue
		}
		rest = append(rest, p)
	}
	m.waiting = rest
	for _, p := range due {
		var running []executor.ActiveRun
		if m.lapsedAt == 0 && m.confirmFrom == 0 {
			running = append(running, executor.NewActiveRun(run(0), percent), executor.NewActiveRun(run(1), percent))
		}
		m.handle(executor.RenewalReplied(p.renewal, executor.ResultDone, m.incarnation.Started(), m.now, running, nil))
	}
}

func (m *muteStops) openOf(r task.Run) int {
	n := 0
	for _, p := range m.open {
		if p.command.Run() == r {
			n++
		}
	}
	return n
}

func newMuteStops(t *testing.T) *muteStops {
	m := &muteStops{
		fixture: newFixture(t),
		endedAt: map[int]time.Duration{},
	}
	m.collect()
	m.start(0, 1)
	m.carryOut()
	for range 20 {
		m.step()
	}
	return m
}

// leaseSpan is the longest time that a run lasts after the last extension of its lease.
const leaseSpan = 678 * ms

// TestUnansweredStopsEndWithTheLease guards against a run that goes on to its natural end
// although it was stopped: the target left the stops unanswered, and the agent went on
// extending the lease, so that the task ran twice once its job was sent again.
func TestUnansweredStopsEndWithTheLease(t *testing.T) {
	tests := map[string]struct {
		cause func(*muteStops)
		// silent is set if no frame tells the entry of the ends.
		silent bool
	}{
		"job_given_up": {cause: func(m *muteStops) {
			m.frame(frame.Frame{
				Echo:  m.now,
				Stops: []frame.RunID{frame.NewRunID("job", 0, 0, 1)},
			})
		}},
		"cancelled": {cause: func(m *muteStops) {
			m.frame(frame.Frame{
				Echo:    m.now,
				Cancels: []string{"job"},
			})
		}},
		"deadline":        {cause: func(m *muteStops) { m.stepUntilStop(2000 * ms) }},
		"agent_leaves":    {cause: func(m *muteStops) { m.handle(executor.ShutdownRequested(0)) }},
		"session_closed":  {cause: func(m *muteStops) { m.handle(executor.SessionClosed(session)) }, silent: true},
		"entry_is_silent": {cause: func(m *muteStops) { m.silent = true; m.stepUntilStop(600 * ms) }, silent: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("no call extends the lease after the stop, and all runs end with it", t, func() {
				m := newMuteStops(t)
				tt.cause(m)
				m.carryOut()
				So(m.stoppedAt, ShouldBeGreaterThan, 0)
				for range 100 {
					m.step()
				}
				So(m.lapsedAt, ShouldBeBetweenOrEqual, m.stoppedAt, m.stoppedAt+620*ms)
				So(m.openAtOnce, ShouldBeBetweenOrEqual, 1, 3)
				if !tt.silent {
					So(m.endedAt, ShouldHaveLength, 2)
					So(m.endedAt[0], ShouldBeBetweenOrEqual, m.lapsedAt, m.stoppedAt+leaseSpan+20*ms)
				}
			})
		})
	}
}

// stepUntilStop lets time pass until a stop is sent, for at most d.
func (m *muteStops) stepUntilStop(d time.Duration) {
	for end := m.now + d; m.stoppedAt == 0 && m.now < end; {
		m.step()
	}
}

// TestStartsWhileStopsAreUnanswered guards against a start that extends the lease of a run
// that is to end, and against a target that gets work that ends with the lease.
func TestStartsWhileStopsAreUnanswered(t *testing.T) {
	Convey("a start does not extend the lease, and none is accepted once half of it is over", t, func() {
		m := newMuteStops(t)
		m.frame(frame.Frame{
			Echo:  m.now,
			Stops: []frame.RunID{frame.NewRunID("job", 0, 0, 1)},
		})
		m.carryOut()
		for range 5 {
			m.step()
		}
		m.start(2)
		m.carryOut()
		So(m.expires, ShouldBeLessThanOrEqualTo, m.stoppedAt+600*ms)
		So(m.endedAt, ShouldBeEmpty)
		for range 40 {
			m.step()
		}
		So(m.reportedUsable, ShouldBeFalse)
		m.start(3)
		m.carryOut()
		So(m.endedAt, ShouldContainKey, 3)
		So(m.expires, ShouldBeLessThanOrEqualTo, m.stoppedAt+600*ms)
	})
}

// TestConfirmedStopExtendsTheLease guards against runs that end with the lease although the
// stop that withheld it has been confirmed.
func TestConfirmedStopExtendsTheLease(t *testing.T) {
	Convey("the lease is extended again at once, and the target takes work", t, func() {
		m := newMuteStops(t)
		m.frame(frame.Frame{
			Echo:  m.now,
			Stops: []frame.RunID{frame.NewRunID("job", 0, 0, 1)},
		})
		m.carryOut()
		for range 40 {
			m.step()
		}
		So(m.reportedUsable, ShouldBeFalse)
		m.confirmFrom = m.now
		for range 3 {
			m.step()
		}
		So(m.reportedUsable, ShouldBeTrue)
		So(m.expires, ShouldBeGreaterThanOrEqualTo, m.confirmFrom+580*ms)
	})
}

// TestUnclaimedRunIsWaitedFor guards against calls for lists without a pause while a run
// that no entry asked for goes on, since its stop is unanswered.
func TestUnclaimedRunIsWaitedFor(t *testing.T) {
	Convey("the next renewal waits for an end and does not extend the lease", t, func() {
		fx := newFixture(t)
		fx.start(0)
		fx.answerCommands(executor.ResultNoCapacity)
		foreign := []executor.ActiveRun{executor.NewActiveRun(run(9), 10)}
		fx.collect()
		renewals := fx.renewals
		fx.renewals = nil
		for _, r := range renewals {
			fx.now += ms
			fx.handle(executor.RenewalReplied(r, executor.ResultDone, fx.incarnation.Started(), fx.now, foreign, nil))
		}
		So(kinds(fx.collect(), executor.CommandStop), ShouldResemble, []int{9})
		So(fx.renewals, ShouldHaveLength, 1)
		So(fx.renewals[0].Wait(), ShouldBeGreaterThan, 0)
		So(fx.renewals[0].Expires(), ShouldEqual, 0)
	})
}
