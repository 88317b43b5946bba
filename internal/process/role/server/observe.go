package server

import (
	"expvar"
	"net/http"
	"runtime"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/labstack/echo/v4"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/process/ring"
	"greengagedoor.example/greengagedoor/internal/process/web"
)

// The sizes of a latency histogram and of the ring of its samples.
const (
	maxLatencyMS     = 600_000
	latencyPrecision = 2
	sampleRingSize   = 4096
)

// maxCounterKeys bounds the keys of a counter by text. A map keeps its keys for as long as the
// process runs. The tables of reasons and outcomes are far smaller.
const (
	maxCounterKeys = 64
	otherKey       = "other"
)

// latencies maps the events that have histograms to the fields with the values, in ms.
var latencies = map[event.Name][]string{
	event.JobEnded:   {"took_ms", "admission_error_ms"},
	event.JobRefused: {"took_ms"},
	event.TaskPlaced: {"waited_ms"},
	event.RunStarted: {"order_ms"},
	event.RunEnded:   {"ran_ms"},
	event.TaskWaited: {"waited_ms"},
}

// observer counts the events of a process and keeps latency histograms. The counters
// may be read concurrently. The histograms belong to a duty of their own.
type observer struct {
	vars   *expvar.Map
	events *expvar.Map
	// refusals counts refused jobs by reason.
	refusals *expvar.Map
	// servers has the counters of each HTTP server, by its name and the counter's.
	servers *expvar.Map
	// sentBytes has the bytes written to other processes, by the content of the frames.
	sentBytes *expvar.Map
	// sentFrames counts the frames written, by their content.
	sentFrames *expvar.Map
	// links counts connections to entries by what became of them.
	links *expvar.Map
	// waits counts the waits of tasks for a better place by their outcome.
	waits *expvar.Map
	// unsentAge is the age of the oldest frame that waits to be written, in ms.
	unsentAge *expvar.Int
	// evacuatedZones is the number of evacuated availability zones that the process knows of.
	evacuatedZones *expvar.Int
	ring           *ring.Ring[event.Note]
}

func newObserver() (*observer, error) {
	r, err := ring.New[event.Note]("samples", sampleRingSize)
	if err != nil {
		return nil, err
	}
	o := &observer{
		vars:           new(expvar.Map).Init(),
		events:         new(expvar.Map).Init(),
		servers:        new(expvar.Map).Init(),
		sentBytes:      new(expvar.Map).Init(),
		sentFrames:     new(expvar.Map).Init(),
		links:          new(expvar.Map).Init(),
		unsentAge:      new(expvar.Int),
		evacuatedZones: new(expvar.Int),
		ring:           r,
		refusals:       new(expvar.Map).Init(),
		waits:          new(expvar.Map).Init(),
	}
	o.vars.Set("events", o.events)
	o.vars.Set("refusals", o.refusals)
	o.vars.Set("servers", o.servers)
	o.vars.Set("sent_bytes", o.sentBytes)
	o.vars.Set("sent_frames", o.sentFrames)
	o.vars.Set("links", o.links)
	o.vars.Set("waits", o.waits)
	o.vars.Set("unsent_age_ms", o.unsentAge)
	o.vars.Set("evacuated_zones", o.evacuatedZones)
	o.vars.Set("goroutines", expvar.Func(func() any { return runtime.NumGoroutine() }))
	o.vars.Set("heap_bytes", expvar.Func(func() any {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}))
	return o, nil
}

// observe counts an event. If the ring is full, only a histogram sample is lost.
func (o *observer) observe(n event.Note) {
	o.events.Add(string(n.Name()), 1)
	switch n.Name() {
	case event.JobRefused:
		countBy(o.refusals, n, "reason")
	case event.TaskWaited:
		countBy(o.waits, n, "outcome")
	}
	if len(latencies[n.Name()]) > 0 {
		_ = o.ring.TryPush(n)
	}
}

// countBy counts an event in m by the text of one of its fields. A new text counts as
// otherKey if the map has maxCounterKeys.
func countBy(m *expvar.Map, n event.Note, field string) {
	for _, f := range n.Fields() {
		text, ok := f.Value().(string)
		if !ok || f.Key() != field {
			continue
		}
		if m.Get(text) == nil && countKeys(m) >= maxCounterKeys {
			text = otherKey
		}
		m.Add(text, 1)
	}
}

func countKeys(m *expvar.Map) int {
	n := 0
	m.Do(func(expvar.KeyValue) { n++ })
	return n
}

// count counts an occurrence at an HTTP server.
func (o *observer) count(server string, c web.Counter) {
	o.servers.Add(server+"_"+string(c), 1)
}

// countSent counts the bytes of a frame that was written to another process.
func (o *observer) countSent(c frame.Content, bytes int) {
	o.sentBytes.Add(string(c), int64(bytes))
	o.sentFrames.Add(string(c), 1)
}

// quantiles is the published summary of a histogram.
type quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_ms"`
	P90   int64 `json:"p90_ms"`
	P99   int64 `json:"p99_ms"`
	Max   int64 `json:"max_ms"`
}

// run keeps the histograms and publishes their quantiles.
func (o *observer) run(done <-chan struct{}) {
	histograms := map[string]*hdrhistogram.Histogram{}
	for {
		select {
		case n := <-o.ring.Out():
			o.record(histograms, n)
		case <-done:
			return
		}
	}
}

func (o *observer) record(histograms map[string]*hdrhistogram.Histogram, n event.Note) {
	fields := latencies[n.Name()]
	for _, f := range n.Fields() {
		ms, ok := f.Value().(int64)
		if !ok || !slices.Contains(fields, f.Key()) {
			continue
		}
		name := string(n.Name()) + "_" + f.Key()
		h, ok := histograms[name]
		if !ok {
			h = hdrhistogram.New(1, maxLatencyMS, latencyPrecision)
			histograms[name] = h
		}
		// A value above the bound is recorded as the bound.
		_ = h.RecordValue(min(max(ms, 0), maxLatencyMS))
		q := quantiles{
			Count: h.TotalCount(),
			P50:   h.ValueAtQuantile(50),
			P90:   h.ValueAtQuantile(90),
			P99:   h.ValueAtQuantile(99),
			Max:   h.Max(),
		}
		o.vars.Set(name, expvar.Func(func() any { return q }))
	}
}

// metricsHandler returns the handler of metrics and the state dump.
func (b *base) metricsHandler() (http.Handler, error) {
	d, err := b.dump()
	if err != nil {
		return nil, err
	}
	e := echo.New()
	e.GET("/debug/vars", func(c echo.Context) error {
		return c.Blob(http.StatusOK, "application/json", []byte(b.observer.vars.String()))
	})
	e.GET("/debug/dump", func(c echo.Context) error {
		c.Response().Header().Set("Content-Type", "text/plain; charset=utf-8")
		return d.Write(c.Response())
	})
	return e, nil
}
