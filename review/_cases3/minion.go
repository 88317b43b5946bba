package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// heartbeat is the interval of a minion's liveness reports.
	heartbeat = 1500 * time.Millisecond
	// maxHold is the longest lease that a minion grants.
	maxHold = time.Second
	// stopDelay is how long a run takes to end after a stop.
	stopDelay = 20 * time.Millisecond
	// maxWait bounds the wait of a hold.
	maxWait = 2 * time.Second
	// readTime bounds the time in which the head of a call arrives.
	readTime = 5 * time.Second
	// leaseTick is how often a minion looks whether its lease has expired.
	leaseTick = 5 * time.Millisecond
	// reportAgain is when a report without an answer is sent again.
	reportAgain = 100 * time.Millisecond
	// capacityCPU and capacityMem are the capacity of a minion.
	capacityCPU = 16_000
	capacityMem = 32_768
)

// runs records the runs of all minions.
type runs struct {
	rec   *record
	owner owner
	// list has the runs in the order of their starts.
	list []*taskRun
}

// taskRun is one run of a task on a minion.
type taskRun struct {
	task   string
	number int64
	minion string
	began  time.Time
	// ended is when the run ended, zero while it works.
	ended time.Time
	how   string
}

func newRuns(rec *record) *runs {
	return &runs{
		rec:   rec,
		owner: newOwner(),
	}
}

func (r *runs) began(task string, number int64, minion string) *taskRun {
	x := &taskRun{
		task:   task,
		number: number,
		minion: minion,
		began:  time.Now(),
	}
	r.owner.call(func() { r.list = append(r.list, x) })
	r.rec.add("minion %s: run %d of %s begins", minion, number, task)
	return x
}

func (r *runs) end(x *taskRun, how string) {
	r.owner.call(func() {
		x.ended = time.Now()
		x.how = how
	})
	r.rec.add("minion %s: run %d of %s ends: %s", x.minion, x.number, x.task, how)
}

// of returns copies of the runs of a job.
func (r *runs) of(job string) []taskRun {
	var list []taskRun
	r.owner.call(func() {
		for _, x := range r.list {
			if jobOf(x.task) == job {
				list = append(list, *x)
			}
		}
	})
	return list
}

// startedAfter returns the first run of a job that began after a time.
func (r *runs) startedAfter(job string, t time.Time) (taskRun, bool) {
	for _, x := range r.of(job) {
		if x.began.After(t) {
			return x, true
		}
	}
	return taskRun{}, false
}

// workedAt returns a run of a job that worked at a time.
func (r *runs) workedAt(job string, t time.Time) (taskRun, bool) {
	for _, x := range r.of(job) {
		if x.began.Before(t) && (x.ended.IsZero() || x.ended.After(t)) {
			return x, true
		}
	}
	return taskRun{}, false
}

// jobOf returns the id of a task's job.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// minion is a stand-in for a minion, by the platform's protocol.
type minion struct {
	rec     *record
	runs    *runs
	id      string
	address string
	control string
	zone    string
	labels  []string
	// owner alone uses what follows.
	owner   owner
	server  *http.Server
	stopped chan struct{}
	born    time.Time
	// clockError is by how much the time of day of the minion's machine is off.
	clockError time.Duration
	seq        int64
	fence      int64
	expires    time.Duration
	used       int64
	active     map[string]*activeRun
	last       map[string]int64
	finished   [][]any
	lastEnd    int64
	changed    chan struct{}
	// lateJob is the job of which the first start is left unanswered, empty for none, and
	// withheld gets that start.
	lateJob  string
	withheld chan lateStart
}

type activeRun struct {
	record *taskRun
	number int64
	length time.Duration
	timer  *time.Timer
}

func newMinion(rec *record, r *runs, id, address, control, zone string, labels []string) *minion {
	return &minion{
		rec:     rec,
		runs:    r,
		id:      id,
		address: address,
		control: control,
		zone:    zone,
		labels:  labels,
		owner:   newOwner(),
	}
}

// clock returns the minion's steady clock.
func (m *minion) clock() time.Duration {
	return time.Since(m.born) + time.Second
}

// bornMs returns the start of the minion by its machine's time of day.
func (m *minion) bornMs() int64 {
	return m.born.Add(m.clockError).UnixMilli()
}

func (m *minion) start() error {
	l, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", m.handleOrder(m.startRun))
	mux.HandleFunc("POST /run-stop", m.handleOrder(m.stopRun))
	mux.HandleFunc("POST /hold", m.handleHold)
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: readTime,
	}
	stopped := make(chan struct{})
	m.owner.call(func() {
		m.server = server
		m.stopped = stopped
		m.born = time.Now()
		m.seq = 0
		m.fence = 0
		m.expires = 0
		m.used = 0
		m.active = map[string]*activeRun{}
		m.last = map[string]int64{}
		m.finished = nil
		m.lastEnd = 0
		m.changed = make(chan struct{})
	})
	go func() { _ = server.Serve(l) }()
	go m.report(stopped)
	go m.watchLease(stopped)
	return nil
}

// crash ends the minion and all that runs on it.
func (m *minion) crash() {
	var server *http.Server
	m.owner.call(func() {
		server = m.server
		m.server = nil
		if server == nil {
			return
		}
		close(m.stopped)
		for name, a := range m.active {
			a.timer.Stop()
			delete(m.active, name)
			m.runs.end(a.record, "crashed")
		}
	})
	if server != nil {
		_ = server.Close()
	}
}

// report sends the liveness reports.
func (m *minion) report(stopped chan struct{}) {
	client := &http.Client{
		Timeout: time.Second,
	}
	for {
		interval := heartbeat
		w, err := client.Post("http://"+m.control+"/instances/"+m.id+"/heartbeat", "application/json", bytes.NewReader(m.nextReport()))
		if err != nil {
			interval = reportAgain
		} else {
			_ = w.Body.Close()
		}
		select {
		case <-time.After(interval):
		case <-stopped:
			return
		}
	}
}

func (m *minion) nextReport() []byte {
	var body []byte
	m.owner.call(func() {
		m.seq++
		// A map of these types always encodes.
		body, _ = json.Marshal(map[string]any{
			"service": service, "addr": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]int{"cpu": capacityCPU, "memMb": capacityMem, "gpu": 0}, "labels": m.labels,
			"clockMs": m.clock().Milliseconds(), "seq": m.seq, "born": m.bornMs(),
		})
	})
	return body
}

// watchLease ends all runs when the lease has expired.
func (m *minion) watchLease(stopped chan struct{}) {
	ticker := time.NewTicker(leaseTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.owner.call(m.lapse)
		case <-stopped:
			return
		}
	}
}

func (m *minion) lapse() {
	if m.clock() <= m.expires {
		return
	}
	for name, a := range m.active {
		m.end(name, a, "lapsed")
	}
}

func (m *minion) end(name string, a *activeRun, how string) {
	if m.active[name] != a {
		return
	}
	a.timer.Stop()
	delete(m.active, name)
	m.used -= taskCPU
	m.last[name] = max(m.last[name], a.number)
	m.lastEnd++
	m.finished = append(m.finished, []any{m.lastEnd, name, a.number, how, ""})
	close(m.changed)
	m.changed = make(chan struct{})
	m.runs.end(a.record, how)
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

func reply(w http.ResponseWriter, status int, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The agent may have given the call up.
	_ = json.NewEncoder(w).Encode(body)
}

// decode decodes a call. It answers one that is not meant for this minion, and leaves the one
// unanswered that is to be carried out late.
func (m *minion) decode(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	// The end of the body is read, so that the end of the call is noticed.
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &o) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return o, false
	}
	if r.Header.Get("X-Expected-Instance") != m.id {
		reply(w, http.StatusMisdirectedRequest, map[string]any{})
		return o, false
	}
	return o, o.Spec == "" || !m.leaveUnanswered(r, o)
}

// grant takes the fence and the lease of a call. It returns the reason for which the call is
// not carried out.
func (m *minion) grant(o order) string {
	if o.Fence < m.fence {
		return "fence"
	}
	m.fence = o.Fence
	m.lapse()
	m.expires = max(m.expires, min(time.Duration(o.ExpiresAtMs)*time.Millisecond, m.clock()+maxHold))
	return ""
}

// handleOrder returns the handler of a call that is answered at once.
func (m *minion) handleOrder(do func(order) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		o, ok := m.decode(w, r)
		if !ok {
			return
		}
		reason := ""
		clock := int64(0)
		m.owner.call(func() {
			if reason = m.grant(o); reason == "" {
				reason = do(o)
			}
			clock = m.clock().Milliseconds()
		})
		if reason != "" {
			reply(w, http.StatusConflict, map[string]any{"clockMs": clock, "reason": reason})
			return
		}
		reply(w, http.StatusOK, map[string]any{"clockMs": clock})
	}
}

// startRun begins a run. It returns the reason for which it does not.
func (m *minion) startRun(o order) string {
	if a, ok := m.active[o.Task]; ok && a.number == o.RunID {
		return ""
	}
	switch {
	case o.RunID <= m.last[o.Task]:
		return "old"
	case time.Duration(o.ExpiresAtMs)*time.Millisecond <= m.clock():
		return "late"
	case m.used+taskCPU > capacityCPU:
		return "room"
	}
	a := &activeRun{
		number: o.RunID,
		length: workOf(o),
		record: m.runs.began(o.Task, o.RunID, m.id),
	}
	a.timer = time.AfterFunc(a.length, func() {
		m.owner.call(func() { m.end(o.Task, a, "done") })
	})
	m.active[o.Task] = a
	m.used += taskCPU
	return ""
}

// workOf returns how long a task works: the payload names the ms of each step.
func workOf(o order) time.Duration {
	works := strings.Split(o.Spec, "/")
	parts := strings.Split(o.Task, ".")
	n, err := strconv.Atoi(parts[2])
	if err != nil || n >= len(works) {
		return 0
	}
	ms, err := strconv.Atoi(works[n])
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// stopRun ends a run a little later, and refuses it from now on.
func (m *minion) stopRun(o order) string {
	m.last[o.Task] = max(m.last[o.Task], o.RunID)
	if a, ok := m.active[o.Task]; ok && a.number == o.RunID {
		time.AfterFunc(stopDelay, func() {
			m.owner.call(func() { m.end(o.Task, a, "stopped") })
		})
	}
	return ""
}

// handleHold answers with the lists of runs, when one has ended or the wait is over.
func (m *minion) handleHold(w http.ResponseWriter, r *http.Request) {
	o, ok := m.decode(w, r)
	if !ok {
		return
	}
	reason := ""
	clock := int64(0)
	m.owner.call(func() {
		if reason = m.grant(o); reason == "" {
			m.forgetEnds(o.LastSeen)
		}
		clock = m.clock().Milliseconds()
	})
	if reason != "" {
		reply(w, http.StatusConflict, map[string]any{"clockMs": clock, "reason": reason})
		return
	}
	wait := time.NewTimer(min(time.Duration(o.WaitMs)*time.Millisecond, maxWait))
	defer wait.Stop()
	for waiting := o.WaitMs > 0; ; {
		body, changed, ended := m.lists()
		if ended || !waiting {
			reply(w, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-wait.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (m *minion) forgetEnds(lastSeen int64) {
	var kept [][]any
	for _, e := range m.finished {
		if n, ok := e[0].(int64); ok && n > lastSeen {
			kept = append(kept, e)
		}
	}
	m.finished = kept
}

// lists returns the lists of runs, what is closed at the next end, and whether one has ended.
func (m *minion) lists() (body map[string]any, changed chan struct{}, ended bool) {
	m.owner.call(func() {
		running := [][]any{}
		for name, a := range m.active {
			percent := min(99, int(100*time.Since(a.record.began)/max(a.length, 1)))
			running = append(running, []any{name, a.number, "", percent, taskCPU})
		}
		body = map[string]any{
			"clockMs": m.clock().Milliseconds(), "born": m.bornMs(), "running": running, "finished": append([][]any{}, m.finished...),
		}
		changed = m.changed
		ended = len(m.finished) > 0
	})
	return body, changed, ended
}

func (m *minion) String() string {
	return fmt.Sprintf("%s at %s", m.id, m.address)
}
