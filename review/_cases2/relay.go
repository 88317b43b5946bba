package main

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"greengagedoor.example/greengagedoor/platform/standin"
)

const (
	expectedHeader = "X-Expected-Instance"
	relayTimeout   = 3 * time.Second
)

// relay stands between an agent and its target. The target keeps its id when it starts
// again, and the relay can hold a call back.
type relay struct {
	target *standin.Target
	id     string
	rec    *record
	calls  *http.Server
	// reports takes the target's reports, which name its present incarnation.
	reports     *http.Server
	callsAddr   string
	reportsAddr string
	client      *http.Client
	owner       owner
	agent       string
	incarnation string
	// late is the call that is held back, of all relays together.
	late *lateCall
	// held is set if this relay holds it back.
	held bool
}

// lateCall is a start that gets no answer and is carried out after a time.
type lateCall struct {
	owner owner
	// job is the one whose first start it is, empty for none.
	job   string
	delay time.Duration
	// starts are the bodies of all starts.
	starts [][]byte
}

// startsOf returns the bodies of the starts of a job.
func (l *lateCall) startsOf(job string) [][]byte {
	var list [][]byte
	l.owner.call(func() {
		for _, b := range l.starts {
			if bytes.Contains(b, []byte(job)) {
				list = append(list, b)
			}
		}
	})
	return list
}

// arm chooses the job.
func (l *lateCall) arm(job string, delay time.Duration) {
	l.owner.call(func() {
		l.job = job
		l.delay = delay
	})
}

// take reports whether a call is the first start of the job, and for how long it is held
// back.
func (l *lateCall) take(path string, body []byte) (delay time.Duration, taken bool) {
	if path != "/run-start" {
		return 0, false
	}
	l.owner.call(func() {
		l.starts = append(l.starts, body)
		if l.job == "" || !bytes.Contains(body, []byte(l.job)) {
			return
		}
		l.job = ""
		delay, taken = l.delay, true
	})
	return delay, taken
}

// newRelay returns a relay that listens on a host, and its cleanup function.
func newRelay(x *standin.Target, host, id, agent string, late *lateCall, rec *record) (*relay, func(), error) {
	r := &relay{
		target: x,
		id:     id,
		agent:  agent,
		owner:  newOwner(),
		late:   late,
		rec:    rec,
		client: &http.Client{
			Timeout: relayTimeout,
		},
	}
	calls, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, nil, err
	}
	reports, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		_ = calls.Close()
		return nil, nil, err
	}
	r.callsAddr, r.reportsAddr = calls.Addr().String(), reports.Addr().String()
	r.calls = &http.Server{
		Handler: http.HandlerFunc(r.call),
	}
	r.reports = &http.Server{
		Handler: http.HandlerFunc(r.report),
	}
	// Serve always returns an error, ErrServerClosed after the cleanup.
	go func() { _ = r.calls.Serve(calls) }()
	go func() { _ = r.reports.Serve(reports) }()
	return r, func() {
		_ = r.calls.Close()
		_ = r.reports.Close()
	}, nil
}

// report passes a report of the target on under its id.
func (r *relay) report(w http.ResponseWriter, q *http.Request) {
	parts := strings.Split(q.URL.Path, "/")
	if len(parts) != 4 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	r.owner.call(func() { r.incarnation = parts[2] })
	r.pass(w, q.Header, "http://"+r.agent+"/instances/"+r.id+"/"+parts[3], q.Body)
}

// call passes a call of the agent on to the target that runs then.
func (r *relay) call(w http.ResponseWriter, q *http.Request) {
	b, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	delay, late := r.late.take(q.URL.Path, b)
	if !late {
		r.toTarget(w, q.Header, q.URL.Path, b)
		return
	}
	r.owner.call(func() { r.held = true })
	r.rec.note("a start at %s gets no answer: %s", r.id, b)
	header := q.Header.Clone()
	time.AfterFunc(delay, func() {
		answer := &discarded{}
		r.toTarget(answer, header, q.URL.Path, b)
		r.rec.note("the start is carried out now, status %d", answer.status)
	})
	<-q.Context().Done()
}

// toTarget passes a call on with the target's name for the incarnation that is meant.
func (r *relay) toTarget(w http.ResponseWriter, header http.Header, path string, body []byte) {
	header = header.Clone()
	if header.Get(expectedHeader) == r.id {
		r.owner.call(func() { header.Set(expectedHeader, r.incarnation) })
	}
	r.pass(w, header, "http://"+r.target.Address()+path, bytes.NewReader(body))
}

// pass sends a request and passes its answer on. Without an answer it ends the
// connection.
func (r *relay) pass(w http.ResponseWriter, header http.Header, url string, body io.Reader) {
	q, err := http.NewRequest(http.MethodPost, url, body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	q.Header = header.Clone()
	a, err := r.client.Do(q)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = a.Body.Close() }()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.StatusCode)
	_, _ = io.Copy(w, a.Body)
}

// holds reports whether this relay has held a call back.
func (r *relay) holds() bool {
	held := false
	r.owner.call(func() { held = r.held })
	return held
}

// discarded is an answer that nobody gets.
type discarded struct {
	status int
	header http.Header
}

func (d *discarded) Header() http.Header {
	if d.header == nil {
		d.header = http.Header{}
	}
	return d.header
}

func (d *discarded) Write(b []byte) (int, error) {
	return len(b), nil
}

func (d *discarded) WriteHeader(status int) {
	d.status = status
}
