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

// process is a running or exited child process.
type process struct {
	name string
	cmd  *exec.Cmd
	// done is closed when the process has exited.
	done chan struct{}
}

// killTimeout bounds the wait for a killed process to exit.
const killTimeout = 5 * time.Second

// startProcess starts a program and appends its standard error to the file
// name.log in dir.
func startProcess(dir, name, program string, stdout io.Writer, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(program, args...)
	cmd.Stdout = stdout
	cmd.Stderr = log
	// The kernel kills the child when this process ends, even if it is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", program, err)
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		// The exit status is not needed, since the log has the cause.
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// signal sends a signal to the process.
func (p *process) signal(s os.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("send %v to %s: %w", s, p.name, err)
	}
	return nil
}

// exitedWithin reports whether the process has exited, waiting for at most the
// given time.
func (p *process) exitedWithin(within time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(within):
		return false
	}
}

// kill kills the process if it still runs and waits until it has exited, at most
// for killTimeout.
func (p *process) kill() {
	if p.exitedWithin(0) {
		return
	}
	// The error is ignored because the process may have exited in the meantime.
	_ = p.cmd.Process.Kill()
	p.exitedWithin(killTimeout)
}
