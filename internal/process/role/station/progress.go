package station

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
)

// The parameters of judging progress. Targets list the percent of its work that
// each run has done.
const (
	// stallStart is how long a run may show no progress at all.
	stallStart = 350 * time.Millisecond
	// stallTime and stallSteps bound the time between two percents of a run, beyond
	// a number of the steps that it took before.
	stallTime  = 200 * time.Millisecond
	stallSteps = 5
	// reportAfter and reportEvery are when an entry is told of a run's progress.
	reportAfter = 60 * time.Millisecond
	reportEvery = 100 * time.Millisecond
)

// stalledCause is the cause of a stop of a run that makes no progress.
const stalledCause = "stalled"

// progress is how far a run has come.
type progress struct {
	percent  int64
	moved    time.Duration
	reported time.Duration
}

// follow takes the percent that the target lists for a run, tells its entry, and
// stops a run that stands still.
func (s *StateMachine) follow(now time.Duration, r *run, percent int64) {
	if r.state != runRunning && r.state != runStarting {
		return
	}
	if percent != r.progress.percent || r.progress.moved == 0 {
		r.progress.percent = percent
		r.progress.moved = now
	}
	// The run began before the target confirmed it.
	ran := now - max(r.ordered, r.confirmedAt)
	x := s.sessions[r.session]
	if x != nil && r.confirmed && ran >= reportAfter && now-r.progress.reported >= reportEvery {
		r.progress.reported = now
		x.progress = append(x.progress, frame.NewProgress(runID(r.id), int(percent), ran))
		x.roomDue = true
	}
	if now-r.progress.moved > r.progress.patience(r.ordered) {
		s.stop(now, r, stalledCause)
	}
}

// patience is how long a run may show the same percent.
func (p progress) patience(began time.Duration) time.Duration {
	if p.percent == 0 {
		return stallStart
	}
	return stallTime + stallSteps*(p.moved-began)/time.Duration(p.percent)
}
