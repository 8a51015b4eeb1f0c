package main

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// process is a program that this one started.
type process struct {
	name string
	cmd  *exec.Cmd
	// done is closed once the process has ended.
	done chan struct{}
}

// killWait bounds the wait for the end of a killed process.
const killWait = 5 * time.Second

// startProcess starts a program whose standard error is appended to a file of
// its name in dir.
func startProcess(dir, name, program string, stdout io.Writer, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(program, args...)
	cmd.Stdout = stdout
	cmd.Stderr = log
	// The processes end with this one, also when it is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", program, err)
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		// The outcome is not needed: the log tells it.
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

func (p *process) signal(s os.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("send %v to %s: %w", s, p.name, err)
	}
	return nil
}

// ended reports whether the process ended within a time.
func (p *process) ended(within time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(within):
		return false
	}
}

// kill ends the process if it still runs.
func (p *process) kill() {
	if p.ended(0) {
		return
	}
	// It may have ended in between.
	_ = p.cmd.Process.Kill()
	p.ended(killWait)
}
