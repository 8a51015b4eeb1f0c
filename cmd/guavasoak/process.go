package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is a daemon and its proxy to the store.
type process struct {
	name    string
	program string
	args    []string
	log     string
	callers string
	ready   string
	store   *proxy

	// life is held while the process starts or ends, so that overlapping faults
	// never run two processes of one daemon.
	life   sync.Mutex
	mu     sync.Mutex
	cmd    *exec.Cmd
	starts int
}

// freeAddress returns an address for a daemon. It is on a loopback IP of this
// soak alone: outgoing connections and other soaks use 127.0.0.1 and could take
// the port while the daemon is down.
func freeAddress() (string, error) {
	pid := os.Getpid()
	l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.1:0", 1+pid>>8&0x7f, pid&0xff))
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

func newProcess(dir, program, name, store string) (*process, error) {
	proxy, err := newProxy(store)
	if err != nil {
		return nil, err
	}
	var addrs [3]string
	for i := range addrs {
		if addrs[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	listener := func(a string) map[string]string { return map[string]string{"Listen": a} }
	data, err := json.Marshal(map[string]any{
		"Name": name, "Zone": "z", "Callers": listener(addrs[0]), "Ready": listener(addrs[1]), "Peer": listener(addrs[2]),
		"Platform":   proxy.address(),
		"Guarantees": map[string]float64{"LeaseMaxMs": 3000, "StopGraceMs": 200, "TermSeconds": 4},
	})
	if err != nil {
		return nil, err
	}
	settings := filepath.Join(dir, name+".json")
	p := &process{
		name: name, program: program, args: []string{"queue", "--config", settings}, log: filepath.Join(dir, name+".log"),
		callers: addrs[0], ready: addrs[1], store: proxy,
	}
	return p, os.WriteFile(settings, data, 0o600)
}

// start starts the daemon unless it runs. Its output is appended to its log.
func (p *process) start() error {
	p.life.Lock()
	defer p.life.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	p.starts++
	p.cmd = exec.Command(p.program, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	return p.cmd.Start()
}

// signal sends a signal to the process that start has started.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		// A process that has ended just now needs no signal.
		_ = p.cmd.Process.Signal(sig)
	}
}

// stop ends the process with a signal and waits for it; a process that is still
// there after limit is killed.
func (p *process) stop(sig syscall.Signal, limit time.Duration) error {
	p.life.Lock()
	defer p.life.Unlock()
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
		if sig == syscall.SIGTERM && err != nil {
			return fmt.Errorf("daemon %s ended by SIGTERM: %w", p.name, err)
		}
		return nil
	case <-time.After(limit):
		_ = cmd.Process.Kill()
		<-done
		return fmt.Errorf("daemon %s was still there %s after signal %s", p.name, limit, sig)
	}
}
