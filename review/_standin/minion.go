package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// maxHold is maxHoldMs of the settings: the longest lease.
	maxHold = time.Second
	// stopTime is how long a stop takes, within stopMs (50 ms).
	stopTime = 20 * time.Millisecond
	// heartbeat is the interval of a minion's reports.
	heartbeat = 1500 * time.Millisecond
	// firstClock is the value of a minion's steady clock at its start.
	firstClock = 1000
	maxEnds    = 500
)

// late says that a share of the orders gets no answer and is carried out 2 to 12 s
// later (applied_late of the bench's kinds).
type late struct {
	share  float64
	random *rand.Rand
}

// minion is a stand-in for a minion, which runs tasks for the time that their spec names,
// as parseSpec describes.
type minion struct {
	name    string
	control string
	service string
	zone    string
	judge   *judge

	// The owner uses all that follows.
	*owner
	up   bool
	boot int
	// life counts the boots that have an id of their own.
	life     int
	born     time.Time
	labels   []string
	cpu      int64
	memMB    int64
	listen   string
	server   *http.Server
	seq      int64
	used     int64
	fence    int64
	expires  int64
	running  map[string]*execution
	last     map[string]int64
	finished [][]any
	lastEnd  int64
	ended    chan struct{}
	late     *late
}

// execution is one run at work.
type execution struct {
	run   int64
	cores int64
	began time.Time
	works time.Duration
}

func newMinion(name, listen, control, service, zone string, cpu, memMB int64, labels []string, j *judge) (*minion, error) {
	m := &minion{
		owner:   newOwner(),
		name:    name,
		listen:  listen,
		control: control,
		service: service,
		zone:    zone,
		cpu:     cpu,
		memMB:   memMB,
		judge:   j,
	}
	if err := m.start(labels); err != nil {
		return nil, err
	}
	go m.tick()
	go m.beat()
	return m, nil
}

// start begins a boot under a new id.
func (m *minion) start(labels []string) error {
	m.call(func() { m.life++ })
	return m.startBoot(labels)
}

// startAgain begins a boot under the id and with the labels that the minion had.
func (m *minion) startAgain() error {
	var labels []string
	m.call(func() { labels = m.labels })
	return m.startBoot(labels)
}

// startBoot begins a boot, which runs nothing and has seen no generation number.
func (m *minion) startBoot(labels []string) error {
	l, err := net.Listen("tcp", m.listen)
	if err != nil {
		return err
	}
	m.call(func() { m.reset(labels, l) })
	return nil
}

// reset begins a boot that listens on l.
func (m *minion) reset(labels []string, l net.Listener) {
	m.up = true
	m.boot++
	m.born = time.Now()
	m.labels = labels
	m.seq, m.used, m.fence, m.expires, m.lastEnd = 0, 0, 0, 0, 0
	m.running = map[string]*execution{}
	m.last = map[string]int64{}
	m.finished = nil
	m.ended = make(chan struct{})
	m.server = &http.Server{
		Handler: m,
	}
	go func(s *http.Server) { _ = s.Serve(l) }(m.server)
	m.judge.note("minion %s boot %d starts, labels %v", m.name, m.boot, labels)
}

// crash ends the boot with all that runs.
func (m *minion) crash() {
	var s *http.Server
	m.call(func() {
		m.up = false
		for task, e := range m.running {
			m.judge.ended(m.name, task, e.run, "crash")
		}
		m.running = map[string]*execution{}
		s = m.server
	})
	_ = s.Close()
	m.judge.note("minion %s crashes", m.name)
}

func (m *minion) setLate(l *late) {
	m.call(func() { m.late = l })
}

func (m *minion) id() string {
	return fmt.Sprintf("i-%s%04x", m.name, m.life)
}

func (m *minion) clock() int64 {
	return time.Since(m.born).Milliseconds() + firstClock
}

// tick ends the runs whose work is done and those whose lease has lapsed.
func (m *minion) tick() {
	for range time.Tick(5 * time.Millisecond) {
		m.call(func() {
			if m.up {
				m.settle()
			}
		})
	}
}

func (m *minion) settle() {
	lapsed := m.clock() > m.expires
	for task, e := range m.running {
		switch {
		case lapsed:
			m.end(task, e, "lapsed")
		case time.Since(e.began) >= e.works:
			m.end(task, e, "done")
		}
	}
}

func (m *minion) end(task string, e *execution, how string) {
	if m.running[task] != e {
		return
	}
	delete(m.running, task)
	m.used -= e.cores
	m.last[task] = max(m.last[task], e.run)
	m.lastEnd++
	m.finished = append(m.finished, []any{m.lastEnd, task, e.run, how, ""})
	close(m.ended)
	m.ended = make(chan struct{})
	m.judge.ended(m.name, task, e.run, how)
}

// beat reports to the agent at each interval.
func (m *minion) beat() {
	for {
		m.report()
		pause(heartbeat)
	}
}

func (m *minion) report() {
	var up bool
	var id string
	var body []byte
	m.call(func() {
		up, id = m.up, m.id()
		m.seq++
		body, _ = json.Marshal(map[string]any{
			"service": m.service, "addr": m.listen, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]int64{"cpu": m.cpu, "memMb": m.memMB, "gpu": 0}, "labels": m.labels,
			"clockMs": m.clock(), "seq": m.seq, "born": m.born.UnixMilli(),
		})
	})
	if !up {
		return
	}
	c := &http.Client{
		Timeout: time.Second,
	}
	w, err := c.Post("http://"+m.control+"/instances/"+id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err == nil {
		_ = w.Body.Close()
	}
}

// order is the body of a call.
type order struct {
	Task        string `json:"task"`
	RunID       int64  `json:"runId"`
	Spec        string `json:"spec"`
	ExpiresAtMs int64  `json:"expiresAtMs"`
	Fence       int64  `json:"fence"`
	LastSeen    int64  `json:"lastSeen"`
	WaitMs      int64  `json:"waitMs"`
}

// ServeHTTP serves the agent's calls.
func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	boot, known := 0, false
	m.call(func() {
		boot = m.boot
		known = m.up && r.Header.Get("X-Expected-Instance") == m.id()
	})
	if !known {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/run-start", "/run-stop":
		m.serveOrder(w, r, o, boot)
	case "/hold":
		m.serveHold(w, r, o)
	default:
		writeJSON(w, http.StatusNotFound, struct{}{})
	}
}

func (m *minion) serveOrder(w http.ResponseWriter, r *http.Request, o order, boot int) {
	var after time.Duration
	var status int
	var answer map[string]any
	m.call(func() {
		if m.late != nil && m.late.random.Float64() < m.late.share {
			after = 2*time.Second + time.Duration(m.late.random.Int64N(int64(10*time.Second)))
			m.judge.note("minion %s leaves %s of %s#%d unanswered, carries it out in %d ms", m.name, r.URL.Path, o.Task, o.RunID, after.Milliseconds())
			return
		}
		var reason string
		status, reason = m.carryOut(r.URL.Path, o)
		answer = map[string]any{"clockMs": m.clock()}
		if reason != "" {
			answer["reason"] = reason
		}
	})
	if after == 0 {
		writeJSON(w, status, answer)
		return
	}
	time.AfterFunc(after, func() {
		m.call(func() {
			if m.up && m.boot == boot {
				m.carryOut(r.URL.Path, o)
			}
		})
	})
	// The caller's channel stays open without an answer until the caller closes it.
	<-r.Context().Done()
}

// carryOut performs a start or a stop.
func (m *minion) carryOut(path string, o order) (int, string) {
	m.settle()
	if o.Fence < m.fence {
		return http.StatusConflict, "fence"
	}
	m.fence = o.Fence
	if path == "/run-stop" {
		m.last[o.Task] = max(m.last[o.Task], o.RunID)
		if e := m.running[o.Task]; e != nil && e.run <= o.RunID {
			time.AfterFunc(stopTime, func() {
				m.call(func() { m.end(o.Task, e, "stopped") })
			})
		}
		return http.StatusOK, ""
	}
	return m.startRun(o)
}

func (m *minion) startRun(o order) (int, string) {
	cores, works, ok := parseSpec(o.Spec, o.Task)
	if !ok {
		return http.StatusBadRequest, ""
	}
	if e := m.running[o.Task]; e != nil && e.run == o.RunID {
		return http.StatusOK, ""
	}
	if o.ExpiresAtMs <= m.clock() {
		return http.StatusConflict, "late"
	}
	m.extend(o.ExpiresAtMs)
	switch {
	case o.RunID <= m.last[o.Task], m.running[o.Task] != nil:
		return http.StatusConflict, "old"
	case m.used+cores > m.cpu:
		return http.StatusConflict, "room"
	}
	m.running[o.Task] = &execution{
		run:   o.RunID,
		cores: cores,
		began: time.Now(),
		works: works,
	}
	m.used += cores
	m.judge.started(m.name, m.labels, o.Task, o.RunID)
	return http.StatusOK, ""
}

// extend extends the lease of all that runs, to maxHold at most.
func (m *minion) extend(expires int64) {
	m.expires = max(m.expires, min(expires, m.clock()+maxHold.Milliseconds()))
}

func (m *minion) serveHold(w http.ResponseWriter, r *http.Request, o order) {
	timeout := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	for waiting := o.WaitMs > 0; ; {
		status, ends := http.StatusOK, 0
		var answer map[string]any
		var ended chan struct{}
		m.call(func() {
			m.settle()
			if o.Fence < m.fence {
				status = http.StatusConflict
				answer = map[string]any{"clockMs": m.clock(), "reason": "fence"}
				return
			}
			m.fence = o.Fence
			m.extend(o.ExpiresAtMs)
			answer, ends = m.lists(o.LastSeen)
			ended = m.ended
		})
		if status != http.StatusOK || ends > 0 || !waiting {
			writeJSON(w, status, answer)
			return
		}
		select {
		case <-ended:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (m *minion) lists(lastSeen int64) (map[string]any, int) {
	running := [][]any{}
	for task, e := range m.running {
		percent := min(99, 100*time.Since(e.began)/max(e.works, 1))
		running = append(running, []any{task, e.run, "", int64(percent), e.cores})
	}
	var kept [][]any
	for _, f := range m.finished {
		if f[0].(int64) > lastSeen {
			kept = append(kept, f)
		}
	}
	m.finished = kept
	listed := append([][]any{}, kept[:min(len(kept), maxEnds)]...)
	return map[string]any{
		"clockMs": m.clock(), "born": m.born.UnixMilli(), "running": running, "finished": listed,
	}, len(listed)
}

// parseSpec returns what a task needs and how long it works. A spec names both for each
// step of its job, as "MILLICORES/MS MILLICORES/MS ..".
func parseSpec(spec, task string) (int64, time.Duration, bool) {
	parts := strings.Split(task, ".")
	steps := strings.Fields(spec)
	if len(parts) != 4 {
		return 0, 0, false
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil || step < 0 || step >= len(steps) {
		return 0, 0, false
	}
	a, b, _ := strings.Cut(steps[step], "/")
	cores, err1 := strconv.ParseInt(a, 10, 64)
	ms, err2 := strconv.ParseInt(b, 10, 64)
	return cores, time.Duration(ms) * time.Millisecond, err1 == nil && err2 == nil
}
