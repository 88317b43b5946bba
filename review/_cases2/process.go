package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// settings is what the platform fills in the templates of the deploy file.
type settings struct {
	memoryMB int
	seeds    string
	store    string
	// ports are those of the link, the metrics, the callers or reports, and the readiness.
	ports []int
	dir   string
}

// process is a process of the installation.
type process struct {
	name    string
	rec     *record
	owner   owner
	cmd     *exec.Cmd
	exited  chan struct{}
	callers string
	control string
	start   func() error
	client  *http.Client
}

// startProcess starts a role with the command, the template and the variables of the
// deploy file.
func startProcess(s settings, role, name, zone, host string, rec *record) (*process, error) {
	at := func(port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }
	values := map[string]string{
		"nodeName":              name,
		"zone":                  zone,
		"ip":                    host,
		"internalPortRange.0":   strconv.Itoa(s.ports[0]),
		"internalPortRange.1":   strconv.Itoa(s.ports[1]),
		"listenAddrs.frontend":  at(s.ports[2]),
		"listenAddrs.control":   at(s.ports[2]),
		"listenAddrs.readiness": at(s.ports[3]),
		"seeds":                 s.seeds,
		"platform.addr":         s.store,
		"limits.memoryMb":       strconv.Itoa(s.memoryMB),
		"limits.maxFds":         "4100",
		"bounds.maxHoldMs":      "1000",
		"bounds.configApplyMs":  "2000",
		"bounds.graceS":         "6",
		"bounds.remoteFactor":   "1.5",
	}
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	section := regexp.MustCompile(`(?s)\[roles\.` + role + `\](.*?)(\n\[|$)`).FindStringSubmatch(string(deploy))
	if section == nil {
		return nil, fmt.Errorf("deploy file has no role %s", role)
	}
	template, err := os.ReadFile(match(section[1], `(?m)^template = "(.*)"$`))
	if err != nil {
		return nil, err
	}
	file := filepath.Join(s.dir, name+".ini")
	if err := os.WriteFile(file, []byte(fill(string(template), values)), 0o600); err != nil {
		return nil, err
	}
	environment := []string{"GREENGAGEDOOR_CONFIG=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + s.dir}
	for _, x := range regexp.MustCompile(`([A-Z_]+) = "([^"]*)"`).FindAllStringSubmatch(match(section[1], `(?m)^env = \{(.*)\}$`), -1) {
		environment = append(environment, x[1]+"="+fill(x[2], values))
	}
	words := strings.Fields(match(section[1], `(?m)^run = "(.*)"$`))
	p := &process{
		name:    name,
		rec:     rec,
		owner:   newOwner(),
		callers: at(s.ports[2]),
		control: at(s.ports[2]),
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 4,
			},
		},
	}
	p.start = func() error {
		out, err := os.OpenFile(logFile(s.dir, name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		cmd := exec.Command(words[0], words[1:]...)
		cmd.Env = environment
		cmd.Stdout = out
		cmd.Stderr = out
		err = cmd.Start()
		_ = out.Close()
		if err != nil {
			return err
		}
		exited := make(chan struct{})
		p.owner.call(func() { p.cmd, p.exited = cmd, exited })
		go func() {
			_ = cmd.Wait()
			close(exited)
		}()
		return nil
	}
	return p, p.start()
}

func match(text, pattern string) string {
	if m := regexp.MustCompile(pattern).FindStringSubmatch(text); m != nil {
		return m[1]
	}
	return ""
}

func fill(text string, values map[string]string) string {
	return regexp.MustCompile(`\{\{([^{}]*)\}\}`).ReplaceAllStringFunc(text, func(x string) string { return values[strings.Trim(x, "{}")] })
}

// kill ends the process at once.
func (p *process) kill() {
	var cmd *exec.Cmd
	p.owner.call(func() { cmd = p.cmd })
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-p.ended()
}

// ended returns a channel that is closed when the present process has ended.
func (p *process) ended() <-chan struct{} {
	var exited chan struct{}
	p.owner.call(func() { exited = p.exited })
	return exited
}

func (p *process) pid() int {
	n := 0
	p.owner.call(func() { n = p.cmd.Process.Pid })
	return n
}

// answer is what a client gets for a request.
type answer struct {
	status int
	body   string
	err    error
	took   time.Duration
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer (%v) after %d ms", a.err, a.took.Milliseconds())
	}
	return fmt.Sprintf("%d %s after %d ms", a.status, strings.TrimSpace(a.body), a.took.Milliseconds())
}

// kind returns what answers of the same kind have in common.
func (a answer) kind() string {
	if a.err != nil {
		return "no answer"
	}
	return fmt.Sprintf("%d %.60s", a.status, strings.TrimSpace(a.body))
}

// request sends a client's request for a job to the entry.
func (p *process) request(method, job, body string, deadline time.Duration) answer {
	began := time.Now()
	r, err := http.NewRequest(method, "http://"+p.callers+routePrefix+job, strings.NewReader(body))
	if err != nil {
		return answer{
			err: err,
		}
	}
	r.Host = routeHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	w, err := p.client.Do(r)
	if err != nil {
		return answer{
			err:  err,
			took: time.Since(began),
		}
	}
	defer func() { _ = w.Body.Close() }()
	b, err := io.ReadAll(w.Body)
	return answer{
		status: w.StatusCode,
		body:   string(b),
		err:    err,
		took:   time.Since(began),
	}
}

func (p *process) post(job, body string, deadline time.Duration) answer {
	return p.request(http.MethodPost, job, body, deadline)
}

// oneTask returns a job of one task that takes a time in ms.
func oneTask(ms int) string {
	return fmt.Sprintf(`{"spec":"1000/%d","bestEffort":true,"steps":[{"count":1,"cpu":1000,"memMb":64,"estimateMs":%d}]}`, ms, ms)
}
