package executor

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
)

// The parameters of stall detection. Targets list how many percent of its work each
// run has done.
const (
	// stallStart is how long a run may show no progress at all.
	stallStart = 350 * time.Millisecond
	// stallBase and stallSteps bound the time between two percents of a run:
	// stallBase plus stallSteps times the average time of a percent so far.
	stallBase  = 200 * time.Millisecond
	stallSteps = 5
	// firstReportAfter is the run time from which progress is reported, and
	// reportInterval the minimum time between two reports.
	firstReportAfter = 60 * time.Millisecond
	reportInterval   = 100 * time.Millisecond
)

// stalledCause is the cause of a stop of a run without progress.
const stalledCause = "stalled"

// progress is how far a run has come.
type progress struct {
	percent  int64
	advanced time.Duration
	reported time.Duration
}

// trackProgress records the percent that the target lists for a run, reports it to
// the entry, and stops a run that stalls.
func (s *StateMachine) trackProgress(now time.Duration, r *run, percent int64) {
	if r.state != runRunning && r.state != runStarting {
		return
	}
	if percent != r.progress.percent || r.progress.advanced == 0 {
		r.progress.percent = percent
		r.progress.advanced = now
	}
	// This is a lower bound: the run began before the target confirmed it.
	ran := now - max(r.startSent, r.confirmedAt)
	sess := s.sessions[r.session]
	if sess != nil && r.confirmed && ran >= firstReportAfter && now-r.progress.reported >= reportInterval {
		r.progress.reported = now
		sess.progress = append(sess.progress, frame.NewProgress(frameRunID(r.id), int(percent), ran))
		sess.capacityDue = true
	}
	if now-r.progress.advanced > r.progress.stallTimeout(r.startSent) {
		s.stop(now, r, stalledCause)
	}
}

// stallTimeout returns how long a run may stay at the same percent.
func (p progress) stallTimeout(began time.Duration) time.Duration {
	if p.percent == 0 {
		return stallStart
	}
	return stallBase + stallSteps*(p.advanced-began)/time.Duration(p.percent)
}
