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

// daemon is a process of the project.
type daemon struct {
	sys                           *system
	index                         int
	name, zone                    string
	callers, ready, peer, storeAt string
	program, settings, log        string

	// ending is held while the process ends.
	ending sync.Mutex
	mu     sync.Mutex
	cmd    *exec.Cmd
}

// started holds the processes that were started, by their ids.
var started sync.Map

// killAll kills the processes that have not ended.
func killAll() {
	started.Range(func(_, p any) bool {
		_ = p.(*os.Process).Kill()
		return true
	})
}

func freeAddress(ip string) string {
	l, err := net.Listen("tcp4", ip+":0")
	check(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func (s *system) newDaemon(dir, program, zone string, index int) *daemon {
	ip := fmt.Sprintf("127.77.%d.%d", os.Getpid()%250, index+1)
	d := &daemon{sys: s, index: index, name: fmt.Sprintf("front-%s-%d", zone, index+1), zone: zone, program: program}
	d.callers, d.ready, d.peer, d.storeAt = freeAddress(ip), freeAddress(ip), freeAddress(ip), s.store.listen(index)
	listen := func(a string) object { return object{"Listen": a} }
	data, err := json.MarshalIndent(object{
		"Name": d.name, "Zone": zone, "Callers": listen(d.callers), "Ready": listen(d.ready), "Peer": listen(d.peer),
		"Platform": d.storeAt,
		"Guarantees": object{
			"LeaseMaxMs": 6000, "StopGraceMs": s.stopGrace.Milliseconds(), "DisturbMaxMs": 4000, "LeaveMaxMs": 2000, "ShrinkMaxMs": 3000,
			"TermSeconds": 6, "KeepSeconds": 120, "RackPenalty": 3, "MemoryMB": 284, "Cores": 0.16,
		},
	}, "", " ")
	check(err)
	d.settings, d.log = filepath.Join(dir, d.name+".json"), filepath.Join(dir, d.name+".log")
	check(os.WriteFile(d.settings, data, 0o600))
	return d
}

func (d *daemon) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		return
	}
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	defer func() { _ = out.Close() }()
	d.cmd = exec.Command(d.program, "queue", "--config", d.settings)
	d.cmd.Stdout, d.cmd.Stderr = out, out
	check(d.cmd.Start())
	started.Store(d.cmd.Process.Pid, d.cmd.Process)
	d.sys.trouble(d.index)
	d.sys.event("daemon %s starts, process %d", d.name, d.cmd.Process.Pid)
}

func (d *daemon) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(sig)
		d.sys.trouble(d.index)
		d.sys.event("daemon %s gets %v", d.name, sig)
	}
}

// end sends a signal and waits for the end of the process, which is killed after the grace
// period of the platform.
func (d *daemon) end(sig syscall.Signal) {
	d.ending.Lock()
	defer d.ending.Unlock()
	d.signal(sig)
	d.mu.Lock()
	cmd := d.cmd
	d.mu.Unlock()
	if cmd == nil {
		return
	}
	done := make(chan struct{})
	go func() { _ = cmd.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(6 * time.Second):
		d.sys.event("daemon %s has not ended in time and is killed", d.name)
		_ = cmd.Process.Kill()
		<-done
	}
	d.mu.Lock()
	d.cmd = nil
	d.mu.Unlock()
	d.sys.event("daemon %s has ended: %v", d.name, cmd.ProcessState)
}
