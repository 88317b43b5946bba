package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
)

const deployFile = "deploy/system.toml"

// process is a process of the project, started by the command of its role.
type process struct {
	name     string
	rec      *record
	args     []string
	settings string
	env      []string
	logFile  string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// command returns the command of a role in the deploy file.
func command(role string) ([]string, error) {
	b, err := os.ReadFile(deployFile)
	if err != nil {
		return nil, err
	}
	_, section, ok := strings.Cut(string(b), "[roles."+role+"]")
	if !ok {
		return nil, fmt.Errorf("%s has no role %s", deployFile, role)
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindStringSubmatch(section)
	if found == nil {
		return nil, fmt.Errorf("role %s in %s has no command", role, deployFile)
	}
	return strings.Fields(found[1]), nil
}

// render fills in the project's template of a role, as the platform does.
func render(role string, values map[string]string) (string, error) {
	b, err := os.ReadFile("deploy/" + role + ".ini")
	if err != nil {
		return "", err
	}
	placeholder := regexp.MustCompile(`\{\{([A-Za-z0-9_.]+)\}\}`)
	return placeholder.ReplaceAllStringFunc(string(b), func(p string) string {
		return values[strings.Trim(p, "{}")]
	}), nil
}

func newProcess(rec *record, dir, role, name string, values map[string]string, env ...string) (*process, error) {
	args, err := command(role)
	if err != nil {
		return nil, err
	}
	text, err := render(role, values)
	if err != nil {
		return nil, err
	}
	p := &process{
		name:     name,
		rec:      rec,
		args:     args,
		settings: filepath.Join(dir, name+".ini"),
		logFile:  filepath.Join(dir, name+".log"),
	}
	p.env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GREENGAGEDOOR_CONFIG=" + p.settings}, env...)
	return p, os.WriteFile(p.settings, []byte(text), 0o600)
}

func (p *process) start() error {
	out, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Env = p.env
	p.cmd.Stdout = out
	p.cmd.Stderr = out
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}(p.cmd, p.exited)
	p.rec.add("%s starts", p.name)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.rec.add("%s gets signal %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// kill ends the process and waits for its exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// close ends the process at the end of the case.
func (p *process) close() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.exited
}
