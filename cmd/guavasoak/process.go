package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"guavascale.example/platform/guavastandin"
)

type (
	// process is a daemon process and the proxy through which it reaches the store.
	process struct {
		name           string
		program        string
		args           []string
		logFile        string
		callersAddress string
		readyAddress   string
		store          *proxy

		// lifecycle is held while the process starts or stops, so that overlapping
		// faults never run two processes of one daemon.
		lifecycle  sync.Mutex
		mu         sync.Mutex
		cmd        *exec.Cmd
		startCount int
	}

	// exitError is the exit of a daemon with a status other than 0.
	exitError struct {
		Daemon string
		// Signal is what the soak sent; the daemon may have ended before.
		Signal syscall.Signal
		Err    error
		// Log holds the last lines of the daemon's log.
		Log string
	}
)

// logLines is the number of lines of a daemon's log that a finding shows.
const logLines = 30

func newProcess(dir, program, name, store string, accounts bool) (*process, error) {
	proxy, err := newProxy(store)
	if err != nil {
		return nil, err
	}
	var addrs [3]string
	for i := range addrs {
		if addrs[i], err = guavastandin.FreeAddress(); err != nil {
			return nil, err
		}
	}
	listener := func(a string) map[string]string { return map[string]string{"Listen": a} }
	guarantees := map[string]float64{"LeaseMaxMs": 3000, "StopGraceMs": 200, "TermSeconds": 4}
	if accounts {
		guarantees["RevokeMaxMs"] = float64(revokeMax.Milliseconds())
	}
	data, err := json.Marshal(map[string]any{
		"Name": name, "Zone": "z", "Callers": listener(addrs[0]), "Ready": listener(addrs[1]), "Peer": listener(addrs[2]),
		"Platform":   proxy.address(),
		"Guarantees": guarantees,
	})
	if err != nil {
		return nil, err
	}
	settings := filepath.Join(dir, name+".json")
	p := &process{
		name: name, program: program, args: []string{"queue", "--config", settings}, logFile: filepath.Join(dir, name+".log"),
		callersAddress: addrs[0], readyAddress: addrs[1], store: proxy,
	}
	return p, os.WriteFile(settings, data, 0o600)
}

// start starts the daemon unless it is running, and appends its output to its
// log file.
func (p *process) start() error {
	p.lifecycle.Lock()
	defer p.lifecycle.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	p.startCount++
	p.cmd = exec.Command(p.program, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	return p.cmd.Start()
}

// signal sends a signal to the process, if it is running.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		// The error is ignored: the process may just have exited.
		_ = p.cmd.Process.Signal(sig)
	}
}

// stop sends a signal to the process and waits until it exits. It kills the
// process after the timeout. An exit with a status other than 0 is an error
// whatever the signal, since the process may have ended before it.
func (p *process) stop(sig syscall.Signal, timeout time.Duration) error {
	p.lifecycle.Lock()
	defer p.lifecycle.Unlock()
	p.mu.Lock()
	cmd := p.cmd
	p.cmd = nil
	p.mu.Unlock()
	if cmd == nil {
		return nil
	}
	_ = cmd.Process.Signal(sig)
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	select {
	case err := <-done:
		if status := cmd.ProcessState.ExitCode(); status > 0 || sig == syscall.SIGTERM && err != nil {
			return &exitError{Daemon: p.name, Signal: sig, Err: err, Log: lastLines(p.logFile)}
		}
		return nil
	case <-time.After(timeout):
		_ = cmd.Process.Kill()
		<-done
		return fmt.Errorf("daemon %s was still running %s after signal %s; its log ends with\n%s", p.name, timeout, sig, lastLines(p.logFile))
	}
}

func (e *exitError) Error() string {
	return fmt.Sprintf("daemon %s failed to exit cleanly after signal %s: %v; its log ends with\n%s", e.Daemon, e.Signal, e.Err, e.Log)
}

func (e *exitError) Unwrap() error { return e.Err }

// lastLines returns the last lines of a log file, or why it can't be read. Of a panic, which
// is not in JSON and begins with its reason, it returns the first lines.
func lastLines(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimRight(string(data), "\n"), "\n")
	plain := len(lines)
	for plain > 0 && !strings.HasPrefix(lines[plain-1], "{") {
		plain--
	}
	from := max(min(len(lines)-logLines, plain), 0)
	return strings.Join(lines[from:min(from+logLines, len(lines))], "\n")
}
