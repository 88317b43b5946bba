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
	// minOverhead is the minimum time that a job spends between processes: from the
	// caller to entry, owner, agent and target and back, on loopback.
	minOverhead = time.Millisecond
	// ratioScale stores three decimals of a ratio in an integer histogram.
	ratioScale        = 1000
	maxRatio          = 100_000 * ratioScale
	maxWait           = 10 * time.Minute
	significantDigits = 3
)

// Summary contains the results of a run for one kind.
type Summary struct {
	kind       Kind
	jobs       int
	complete   int
	refused    int
	failed     int
	wrong      int
	peakJobs   int
	peakInTime int
	ratio      *hdrhistogram.Histogram
	wait       *hdrhistogram.Histogram
}

func (s *Summary) Kind() Kind {
	return s.kind
}

// Wrong returns the number of incorrect answers.
func (s *Summary) Wrong() int {
	return s.wrong
}

// Ratio returns a percentile, from 0 to 100, of the response time divided by the
// ideal response time.
func (s *Summary) Ratio(percentile float64) float64 {
	return float64(s.ratio.ValueAtPercentile(percentile)) / ratioScale
}

// Wait returns a percentile, from 0 to 100, of the response time without the time at
// the target.
func (s *Summary) Wait(percentile float64) time.Duration {
	return time.Duration(s.wait.ValueAtPercentile(percentile)) * time.Microsecond
}

// InTimeAtPeak returns the fraction of the jobs sent at the load peak that were
// answered within the commitment. It is 1 if no job was sent then.
func (s *Summary) InTimeAtPeak() float64 {
	if s.peakJobs == 0 {
		return 1
	}
	return float64(s.peakInTime) / float64(s.peakJobs)
}

// Result contains the results of one dispatcher.
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

// Summarize evaluates the samples of a run. capacity is in slot seconds per second.
// messages is the number of messages per task beyond the minimum, and negative if it
// was not measured.
func Summarize(name string, samples []Sample, shape Shape, capacity, messages float64) *Result {
	r := &Result{
		name:      name,
		messages:  messages,
		samples:   samples,
		shape:     shape,
		capacity:  capacity,
		shortWait: hdrhistogram.New(1, maxWait.Microseconds(), significantDigits),
	}
	byKind := map[string]*Summary{}
	for _, s := range samples {
		k := byKind[s.job.kind.name]
		if k == nil {
			k = &Summary{
				kind:  s.job.kind,
				ratio: hdrhistogram.New(1, maxRatio, significantDigits),
				wait:  hdrhistogram.New(1, maxWait.Microseconds(), significantDigits),
			}
			byKind[s.job.kind.name] = k
			r.kinds = append(r.kinds, k)
		}
		r.addSample(k, s)
	}
	sort.Slice(r.kinds, func(i, j int) bool { return r.kinds[i].kind.name < r.kinds[j].kind.name })
	r.goodput = r.computeGoodput(samples)
	return r
}

func (r *Result) addSample(k *Summary, s Sample) {
	k.jobs++
	peak := r.shape.InPeak(s.job.at)
	if peak {
		k.peakJobs++
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
	if peak && s.response <= s.job.kind.commitment {
		k.peakInTime++
	}
	wait := max(s.response-s.answer.service, time.Microsecond)
	ideal := s.answer.service + minOverhead
	_ = k.ratio.RecordValue(int64(float64(s.response) / float64(ideal) * ratioScale))
	_ = k.wait.RecordValue(wait.Microseconds())
	if !s.job.kind.long {
		_ = r.shortWait.RecordValue(wait.Microseconds())
	}
}

// computeGoodput returns the work answered within its commitment as a fraction of
// the capacity, at the load peak, or over the whole run if it has no peak.
func (r *Result) computeGoodput(samples []Sample) float64 {
	from, to := time.Duration(0), r.shape.length
	if r.shape.peak > 0 {
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

// Kinds returns a summary for each kind, in order of name.
func (r *Result) Kinds() []*Summary {
	return r.kinds
}

// Goodput returns the work answered within its commitment as a fraction of the
// capacity, at the load peak if the run has one.
func (r *Result) Goodput() float64 {
	return r.goodput
}

// ShortWait returns a percentile, from 0 to 100, of the wait of all jobs whose kind
// is not long.
func (r *Result) ShortWait(percentile float64) time.Duration {
	return time.Duration(r.shortWait.ValueAtPercentile(percentile)) * time.Microsecond
}

// Print writes both results as a table, and the ratio of each figure.
func Print(w io.Writer, product, baseline *Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "kind\tsystem\tjobs\tcomplete\trefused\tfailed\twrong\tp50\tp99\tp99.9\twait p99\tcrest in time\t")
	for i, k := range product.kinds {
		printKind(t, product.name, k)
		b := baseline.kinds[i]
		printKind(t, baseline.name, b)
		fmt.Fprintf(t, "%s\tratio\t\t\t\t\t\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", k.kind.name,
			ratioOf(k.Ratio(50), b.Ratio(50)), ratioOf(k.Ratio(99), b.Ratio(99)), ratioOf(k.Ratio(99.9), b.Ratio(99.9)),
			ratioOf(float64(k.Wait(99)), float64(b.Wait(99))), ratioOf(k.InTimeAtPeak(), b.InTimeAtPeak()))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "p50, p99, p99.9: response time over the ideal (time at the target + %v)\n", minOverhead)
	for _, r := range []*Result{product, baseline} {
		fmt.Fprintf(w, "%s: goodput %.3f of capacity, wait of short work p99 %v", r.name, r.goodput, r.ShortWait(99))
		if r.messages >= 0 {
			fmt.Fprintf(w, ", %.2f messages a task beyond the minimum", r.messages)
		}
		fmt.Fprintln(w)
	}
	_, err := fmt.Fprintf(w, "ratio: goodput %.2f, wait of short work p99 %.4f\n", ratioOf(product.goodput, baseline.goodput),
		ratioOf(float64(product.ShortWait(99)), float64(baseline.ShortWait(99))))
	return err
}

func printKind(w io.Writer, system string, k *Summary) {
	fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%v\t%.3f\t\n", k.kind.name, system, k.jobs, k.complete,
		k.refused, k.failed, k.wrong, k.Ratio(50), k.Ratio(99), k.Ratio(99.9), k.Wait(99).Round(10*time.Microsecond), k.InTimeAtPeak())
}

// ratioOf returns a/b, or 0 if b is 0.
func ratioOf(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// Slowest writes the n jobs with the longest wait, which helps to find the cause of
// tail latency.
func (r *Result) Slowest(w io.Writer, n int) {
	samples := append([]Sample(nil), r.samples...)
	sort.Slice(samples, func(i, j int) bool { return samples[i].wait() > samples[j].wait() })
	for _, s := range samples[:min(n, len(samples))] {
		fmt.Fprintf(w, "%s: sent at %v, %d tasks, longest %v, waited %v, outcome %d\n", s.job.kind.name, s.job.at.Round(time.Millisecond),
			len(s.job.tasks), s.job.Longest().Round(time.Millisecond), s.wait().Round(time.Millisecond), s.answer.outcome)
	}
}

// wait returns the response time without the time at the target.
func (s Sample) wait() time.Duration {
	return s.response - s.answer.service
}
