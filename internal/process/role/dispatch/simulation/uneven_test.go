package simulation_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/request/task"
)

// unevenPeaks is the least number of load peaks of TestUnevenTargets. Few jobs of the
// largest tenth are possible in one peak, so that one job decides on a share.
const unevenPeaks = 5

// transferTime is the time that the messages about a job take beside its runs.
const transferTime = 20 * time.Millisecond

// alternate returns n targets of the given kinds in turn.
func alternate(n int, kinds ...targetKind) []targetKind {
	var targets []targetKind
	for i := range n {
		targets = append(targets, kinds[i%len(kinds)])
	}
	return targets
}

// possible reports whether targets of a factor can end each task of a job in time.
func (c *cluster) possible(j *simJob, factor float64) bool {
	for i := range j.tasks {
		if time.Duration(float64(c.length(task.NewRun(j.id, 0, i, 1)))*factor) > callerLimit-transferTime {
			return false
		}
	}
	return true
}

// moves returns the number of runs that replaced another one of their task.
func (c *cluster) moves() int {
	n := 0
	for id, runs := range c.oracle.runs {
		n += max(0, runs-c.jobs[id].tasks)
	}
	return n
}

// TestUnevenTargets guards against long and wide jobs that are lost among short ones
// although a target could end them in time: on equal targets, where one seems the fastest
// by chance, a run that is moved to it starts anew for nothing; on targets of two kinds, a
// job belongs on those that can end it.
func TestUnevenTargets(t *testing.T) {
	kinds := map[string]jobKind{
		"short":  {tasks: 8, length: 51 * time.Millisecond, perSecond: 50},
		"long":   {tasks: 4, length: 760 * time.Millisecond, perSecond: 9},
		"search": {tasks: 2, length: 170 * time.Millisecond, perSecond: 100},
	}
	tests := map[string]struct {
		targets []targetKind
		fastest float64
		// served is the least share of the possible jobs, largest that of the possible ones
		// of the largest tenth.
		served  float64
		largest float64
		// moves is the greatest number of runs, of 1,000 tasks, that are moved.
		moves float64
	}{
		"equal": {
			targets: alternate(72, targetKind{label: "a", factor: 1}, targetKind{label: "b", factor: 1}),
			fastest: 1, served: 0.995, largest: 0.95, moves: 0.1,
		},
		"two_speeds": {
			targets: alternate(72, targetKind{label: "a", factor: 1}, targetKind{label: "a", factor: 1}, targetKind{label: "b", factor: 2.4}),
			fastest: 1, served: 0.985, largest: 0.95, moves: 0.3,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var jobs []*simJob
			possible := map[*simJob]bool{}
			moves, tasks := 0, 0
			for seed := range uint64(max(*peaks, unevenPeaks)) {
				c := playPeak(t, seed+1, kinds, tt.targets, 3, true)
				moves += c.moves()
				for _, j := range c.jobs {
					tasks += j.tasks
					if j.kind == "long" {
						jobs = append(jobs, j)
						possible[j] = c.possible(j, tt.fastest)
					}
				}
			}
			slices.SortFunc(jobs, func(a, b *simJob) int { return int(b.work()*1e6) - int(a.work()*1e6) })
			share := func(list []*simJob) (float64, float64) {
				n, served := 0, 0
				for _, j := range list {
					if possible[j] {
						n++
						if j.served() {
							served++
						}
					}
				}
				return float64(served) / float64(n), float64(n) / float64(len(list))
			}
			served, bound := share(jobs)
			largest, largestBound := share(jobs[:len(jobs)/10])
			moved := 1000 * float64(moves) / float64(tasks)
			t.Logf("of %d jobs %.3f are possible, of which %.3f are served; of the largest tenth %.3f and %.3f; %.2f of 1,000 tasks moved",
				len(jobs), bound, served, largestBound, largest, moved)
			Convey(fmt.Sprintf("the possible jobs are served on %s targets", name), t, func() {
				So(served, ShouldBeGreaterThanOrEqualTo, tt.served)
				So(largest, ShouldBeGreaterThanOrEqualTo, tt.largest)
				So(moved, ShouldBeLessThanOrEqualTo, tt.moves)
			})
		})
	}
}
