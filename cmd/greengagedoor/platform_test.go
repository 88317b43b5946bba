package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestSignals guards against a process that SIGHUP kills, which is its default
// action, and against one that does not end within its grace period after SIGTERM
// because callers or other processes keep unused connections open.
func TestSignals(t *testing.T) {
	program := filepath.Join(t.TempDir(), "greengagedoor")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	const grace = 4 * time.Second
	tests := map[string]string{
		"entry": "callers = %[1]s:%[2]d\nreadiness = %[1]s:%[3]d\n",
		"agent": "reports = %[1]s:%[2]d\n",
	}
	for role, listen := range tests {
		t.Run(role, func(t *testing.T) {
			Convey("SIGHUP reloads the settings, SIGTERM ends the process", t, func() {
				p := freePorts(t, 4)
				listening := []int{1}
				if role == "entry" {
					listening = append(listening, 0)
				}
				file := filepath.Join(t.TempDir(), "settings.ini")
				text := fmt.Sprintf("[process]\nname = %s_1\navailability_zone = a\n[listen]\nlink = 127.0.0.1:%d\n", role, p[0]) +
					fmt.Sprintf(strings.NewReplacer("%[2]d", fmt.Sprint(p[1]), "%[3]d", fmt.Sprint(p[2])).Replace(listen), "127.0.0.1") +
					fmt.Sprintf("[store]\naddress = 127.0.0.1:%d\n[times]\ngrace_s = %d\n", p[3], int(grace.Seconds()))
				So(os.WriteFile(file, []byte(text), 0o600), ShouldBeNil)
				cmd := exec.Command(program, "platform", role, "--settings", file)
				out, err := cmd.StdoutPipe()
				So(err, ShouldBeNil)
				So(cmd.Start(), ShouldBeNil)
				defer func() { _ = cmd.Process.Kill() }()
				lines := readLines(t, out)
				So(waitForLine(lines, "process_started"), ShouldBeTrue)
				So(cmd.Process.Signal(syscall.SIGHUP), ShouldBeNil)
				So(waitForLine(lines, `"cause":"signal"`), ShouldBeTrue)
				for _, port := range listening {
					unused, err := net.Dial("tcp", fmt.Sprintf("127.0.0.1:%d", p[port]))
					So(err, ShouldBeNil)
					defer func() { _ = unused.Close() }()
				}
				signalled := time.Now()
				So(cmd.Process.Signal(syscall.SIGTERM), ShouldBeNil)
				So(waitForLine(lines, "process_stopped"), ShouldBeTrue)
				So(cmd.Wait(), ShouldBeNil)
				So(time.Since(signalled), ShouldBeLessThan, grace)
			})
		})
	}
}

// TestSecondStopSignal guards against a leaving entry that a second SIGTERM ends at once, with requests in flight.
func TestSecondStopSignal(t *testing.T) {
	program := filepath.Join(t.TempDir(), "greengagedoor")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	tests := map[string]struct {
		second syscall.Signal
		atOnce bool
	}{
		"terminated":  {second: syscall.SIGTERM},
		"interrupted": {second: syscall.SIGINT, atOnce: true},
		"reloaded":    {second: syscall.SIGHUP},
	}
	const portsOfEntry = 4
	ports := freePorts(t, portsOfEntry*len(tests))
	for name, tt := range tests {
		p := ports[:portsOfEntry]
		ports = ports[portsOfEntry:]
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cmd := exec.Command(program, "platform", "entry", "--name", "entry_1", "--zone", "a",
				"--link", fmt.Sprintf("127.0.0.1:%d", p[0]), "--callers", fmt.Sprintf("127.0.0.1:%d", p[1]),
				"--readiness", fmt.Sprintf("127.0.0.1:%d", p[2]), "--store", fmt.Sprintf("127.0.0.1:%d", p[3]))
			out, err := cmd.StdoutPipe()
			if err != nil {
				t.Fatal(err)
			}
			cmd.Stderr = os.Stderr
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			defer func() { _ = cmd.Process.Kill() }()
			lines := readLines(t, out)
			started := waitForLine(lines, "process_started")
			signalled := time.Now()
			first := cmd.Process.Signal(syscall.SIGTERM)
			stopping := waitForLine(lines, "process_stopping")
			time.Sleep(100 * time.Millisecond)
			second := cmd.Process.Signal(tt.second)
			stopped := waitForLine(lines, "process_stopped")
			err = cmd.Wait()
			Convey("the entry goes on to leave, unless an operator interrupts it", t, func() {
				So([]any{started, first, stopping, second}, ShouldResemble, []any{true, nil, true, nil})
				So(stopped, ShouldEqual, !tt.atOnce)
				So(err == nil, ShouldEqual, !tt.atOnce)
				So(time.Since(signalled) < time.Second, ShouldEqual, tt.atOnce)
			})
		})
	}
}

// freePorts returns n free ports on loopback.
func freePorts(t *testing.T, n int) []int {
	var list []int
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		list = append(list, l.Addr().(*net.TCPAddr).Port)
	}
	return list
}

// readLines returns the lines of a process's log. If the test fails, it prints them
// with the time at which each arrived.
func readLines(t *testing.T, out io.Reader) <-chan string {
	lines := make(chan string, 100)
	done := make(chan []string, 1)
	go func() {
		defer close(lines)
		var all []string
		for s := bufio.NewScanner(out); s.Scan(); {
			all = append(all, time.Now().Format("15:04:05.000 ")+s.Text())
			lines <- s.Text()
		}
		done <- all
	}()
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("log of the process:\n%s", strings.Join(<-done, "\n"))
		}
	})
	return lines
}

// waitForLine reports whether a line that contains a text arrives within 10 s.
func waitForLine(lines <-chan string, text string) bool {
	timeout := time.After(10 * time.Second)
	for {
		select {
		case l, ok := <-lines:
			if !ok {
				return false
			}
			if strings.Contains(l, text) {
				return true
			}
		case <-timeout:
			return false
		}
	}
}
