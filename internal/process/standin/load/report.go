package load

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// roundTrips is the least time that a job spends between processes: caller to
	// entry to owner to agent to target and back on loopback.
	roundTrips = time.Millisecond
	// ratioScale keeps three decimals of a ratio in an integer histogram.
	ratioScale = 1000
	maxRatio   = 100_000 * ratioScale
	maxWait    = 10 * time.Minute
	precision  = 3
)

// Summary is what a run showed for one kind.
type Summary struct {
	kind        Kind
	jobs        int
	complete    int
	refused     int
	failed      int
	wrong       int
	crestJobs   int
	crestInTime int
	ratio       *hdrhistogram.Histogram
	wait        *hdrhistogram.Histogram
}

// Kind is the kind.
func (s *Summary) Kind() Kind {
	return s.kind
}

// Wrong is the number of wrong answers.
func (s *Summary) Wrong() int {
	return s.wrong
}

// Ratio is a percentile of response time over the ideal.
func (s *Summary) Ratio(percentile float64) float64 {
	return float64(s.ratio.ValueAtPercentile(percentile)) / ratioScale
}

// Wait is a percentile of the time that a job spent other than at its target.
func (s *Summary) Wait(percentile float64) time.Duration {
	return time.Duration(s.wait.ValueAtPercentile(percentile)) * time.Microsecond
}

// InTimeAtPeak is the share of the crest's jobs answered within the commitment.
func (s *Summary) InTimeAtPeak() float64 {
	if s.crestJobs == 0 {
		return 1
	}
	return float64(s.crestInTime) / float64(s.crestJobs)
}

// Result is what one dispatcher showed.
type Result struct {
	name      string
	kinds     []*Summary
	goodput   float64
	messages  float64
	samples   []Sample
	shape     Shape
	capacity  float64
	shortWait *hdrhistogram.Histogram
}

// Summarize evaluates the samples of a run. Messages is the number of messages
// beyond the least for each task, negative if it does not apply.
func Summarize(name string, samples []Sample, shape Shape, capacity, messages float64) *Result {
	r := &Result{
		name:      name,
		messages:  messages,
		samples:   samples,
		shape:     shape,
		capacity:  capacity,
		shortWait: hdrhistogram.New(1, maxWait.Microseconds(), precision),
	}
	byKind := map[string]*Summary{}
	for _, s := range samples {
		k := byKind[s.job.kind.name]
		if k == nil {
			k = &Summary{
				kind:  s.job.kind,
				ratio: hdrhistogram.New(1, maxRatio, precision),
				wait:  hdrhistogram.New(1, maxWait.Microseconds(), precision),
			}
			byKind[s.job.kind.name] = k
			r.kinds = append(r.kinds, k)
		}
		r.add(k, s)
	}
	sort.Slice(r.kinds, func(i, j int) bool { return r.kinds[i].kind.name < r.kinds[j].kind.name })
	r.goodput = r.goodputIn(samples)
	return r
}

func (r *Result) add(k *Summary, s Sample) {
	k.jobs++
	crest := r.shape.InPeak(s.job.at)
	if crest {
		k.crestJobs++
	}
	switch s.answer.outcome {
	case Refused:
		k.refused++
		return
	case Failed:
		k.failed++
		return
	case Wrong:
		k.wrong++
		return
	case Complete:
		k.complete++
	}
	if crest && s.response <= s.job.kind.commitment {
		k.crestInTime++
	}
	wait := max(s.response-s.answer.service, time.Microsecond)
	ideal := s.answer.service + roundTrips
	_ = k.ratio.RecordValue(int64(float64(s.response) / float64(ideal) * ratioScale))
	_ = k.wait.RecordValue(wait.Microseconds())
	if !s.job.kind.long {
		_ = r.shortWait.RecordValue(wait.Microseconds())
	}
}

// goodputIn is the work answered within its commitment over the capacity, for
// the time of the crest, or for the whole run if it has none.
func (r *Result) goodputIn(samples []Sample) float64 {
	from, to := time.Duration(0), r.shape.length
	if r.shape.crest > 0 {
		from, to = r.shape.from, r.shape.to
	}
	var work float64
	for _, s := range samples {
		end := s.job.at + s.response
		if s.answer.outcome != Complete || end < from || end >= to || s.response > s.job.kind.commitment {
			continue
		}
		for _, t := range s.job.tasks {
			work += t.Seconds()
		}
	}
	return work / (to - from).Seconds() / r.capacity
}

// Kinds has a summary for each kind.
func (r *Result) Kinds() []*Summary {
	return r.kinds
}

// Goodput is the work answered in time over the capacity, at the crest if the
// run has one.
func (r *Result) Goodput() float64 {
	return r.goodput
}

// ShortWait is a percentile of the wait of all kinds that are not long.
func (r *Result) ShortWait(percentile float64) time.Duration {
	return time.Duration(r.shortWait.ValueAtPercentile(percentile)) * time.Microsecond
}

// Print writes both results as tables, with each figure as a ratio.
func Print(w io.Writer, product, baseline *Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "kind\tsystem\tjobs\tcomplete\trefused\tfailed\twrong\tp50\tp99\tp99.9\twait p99\tcrest in time\t")
	for i, k := range product.kinds {
		printKind(t, product.name, k)
		b := baseline.kinds[i]
		printKind(t, baseline.name, b)
		fmt.Fprintf(t, "%s\tratio\t\t\t\t\t\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", k.kind.name,
			over(k.Ratio(50), b.Ratio(50)), over(k.Ratio(99), b.Ratio(99)), over(k.Ratio(99.9), b.Ratio(99.9)),
			over(float64(k.Wait(99)), float64(b.Wait(99))), over(k.InTimeAtPeak(), b.InTimeAtPeak()))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "p50, p99, p99.9: response time over the ideal (time at the target + %v)\n", roundTrips)
	for _, r := range []*Result{product, baseline} {
		fmt.Fprintf(w, "%s: goodput %.3f of capacity, wait of short work p99 %v", r.name, r.goodput, r.ShortWait(99))
		if r.messages >= 0 {
			fmt.Fprintf(w, ", %.2f messages a task beyond the minimum", r.messages)
		}
		fmt.Fprintln(w)
	}
	_, err := fmt.Fprintf(w, "ratio: goodput %.2f, wait of short work p99 %.4f\n", over(product.goodput, baseline.goodput),
		over(float64(product.ShortWait(99)), float64(baseline.ShortWait(99))))
	return err
}

func printKind(w io.Writer, system string, k *Summary) {
	fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%v\t%.3f\t\n", k.kind.name, system, k.jobs, k.complete,
		k.refused, k.failed, k.wrong, k.Ratio(50), k.Ratio(99), k.Ratio(99.9), k.Wait(99).Round(10*time.Microsecond), k.InTimeAtPeak())
}

func over(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// Slowest writes the n jobs that waited longest, to find the cause of a tail.
func (r *Result) Slowest(w io.Writer, n int) {
	samples := append([]Sample(nil), r.samples...)
	sort.Slice(samples, func(i, j int) bool { return samples[i].wait() > samples[j].wait() })
	for _, s := range samples[:min(n, len(samples))] {
		fmt.Fprintf(w, "%s: sent at %v, %d tasks, longest %v, waited %v, outcome %d\n", s.job.kind.name, s.job.at.Round(time.Millisecond),
			len(s.job.tasks), s.job.Longest().Round(time.Millisecond), s.wait().Round(time.Millisecond), s.answer.outcome)
	}
}

func (s Sample) wait() time.Duration {
	return s.response - s.answer.service
}
