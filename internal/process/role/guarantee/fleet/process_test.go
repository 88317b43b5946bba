package fleet

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// firstPort to lastPort are below the range from which the operating system
	// assigns ports to outgoing connections.
	firstPort = 20_000
	lastPort  = 32_000
	// hostsPerNet and lastNet bound the second and third number of testHost.
	hostsPerNet = 250
	lastNet     = 250
	// logTail is how many bytes of a process's log a failing test prints.
	logTail = 1000
)

// programDir is the directory of the built programs.
var programDir string

// nextPort counts the ports that were tried.
var nextPort atomic.Int64

// testHost is a loopback address of this test process alone, so that no other test can
// take a port between its choice and its use.
var testHost = fmt.Sprintf("127.%d.%d.2", 1+os.Getpid()/hostsPerNet%lastNet, os.Getpid()%hostsPerNet)

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programDir = dir
	build := exec.Command("go", "build", "-o", dir, "./cmd/greengagedoor", "./cmd/greengagedoor-standin")
	build.Dir = "../../../../.."
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range lastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		address := fmt.Sprintf("%s:%d", testHost, port)
		l, err := net.Listen("tcp", address)
		if err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatal("no loopback port is free")
	return ""
}

// process is a started program.
type process struct {
	name   string
	url    string
	cmd    *exec.Cmd
	log    string
	exited chan struct{}
}

// start runs a program. The end of the test kills it if it still runs.
func start(t *testing.T, name, url, program string, args ...string) *process {
	t.Helper()
	p := &process{
		name:   name,
		url:    url,
		cmd:    exec.Command(filepath.Join(programDir, program), args...),
		log:    filepath.Join(t.TempDir(), name+".log"),
		exited: make(chan struct{}),
	}
	out, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// The processes must not outlive a test binary that panics or times out.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	_ = out.Close()
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() { p.cleanup(t) })
	return p
}

// cleanup kills the process and logs the end of its output if the test failed.
func (p *process) cleanup(t *testing.T) {
	_ = p.cmd.Process.Kill()
	<-p.exited
	if !t.Failed() {
		return
	}
	data, _ := os.ReadFile(p.log)
	if n := len(data); n > logTail {
		data = data[n-logTail:]
	}
	if s := strings.TrimSpace(string(data)); s != "" {
		t.Logf("end of the log of %s:\n%s", p.name, s)
	}
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Errorf("send signal %v to %s: %v", s, p.name, err)
	}
}

// terminate sends SIGTERM. The process must exit with 0 within the limit.
func (p *process) terminate(t *testing.T, limit time.Duration) {
	t.Helper()
	began := time.Now()
	p.signal(t, syscall.SIGTERM)
	select {
	case <-p.exited:
		if code := p.cmd.ProcessState.ExitCode(); code != 0 {
			t.Errorf("%s exited with %d after SIGTERM, want 0", p.name, code)
		}
		t.Logf("%s exited %v after SIGTERM", p.name, time.Since(began).Round(time.Millisecond))
	case <-time.After(limit):
		t.Errorf("%s still runs %v after SIGTERM, want an exit", p.name, limit)
	}
}
