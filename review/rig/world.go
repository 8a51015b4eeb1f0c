package main

import (
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"guavascale.example/platform/guavastandin"
)

type (
	// world is the simulated platform with the daemons on it.
	world struct {
		trouble bool
		program string
		dir     string
		store   *guavastandin.Store
		front   *storeFront
		checker *guavastandin.Checker
		workers []*worker
		daemons []*daemon
		client  client

		began  time.Time
		mu     sync.Mutex
		record *os.File
		// lives counts the workers that have replaced others.
		lives int
		// deadly is the submission whose task crashes each worker that starts it, and
		// deadlyWorkers the workers that have crashed under it, in order.
		deadly        atomic.Pointer[string]
		deadlyWorkers []string
		// starts holds the numbers of the runs of each task, and done the number of the
		// first run that has ended as done.
		starts map[string][]int64
		done   map[string]int64
	}

	// daemon is a process of the system.
	daemon struct {
		w        *world
		name     string
		zone     string
		settings string
		log      string
		callers  string
		ready    string
		peer     string

		mu  sync.Mutex
		cmd *exec.Cmd
	}
)

// Bounds and sizes of the site file krbw-vote.
const (
	holdMaxMs   = 10_000
	stopGraceMs = 400
	harmMs      = 4000
	drainMs     = 2000
	graceS      = 6
	statusS     = 120
	visible     = 3 * time.Second
	finish      = 14 * time.Second
	service     = "vote-desk"
	host        = "nony24.example"
	prefix      = "/lohu930/"
	// queueName is the name of the route that the clients use, and newQueueName that of
	// the one which replaces it.
	queueName    = "r-3hwrr6x"
	newQueueName = "r-9n73hh2"
)

// configFile is the operators' configuration.
//
//go:embed config.json
var configFile []byte

var zones = []string{"windhoek-a", "windhoek-b", "okahandja", "rehoboth"}

func newWorld(program, recordFile string, trouble bool) (*world, error) {
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{
		trouble: trouble, program: program, dir: dir, store: &guavastandin.Store{}, checker: &guavastandin.Checker{},
		began: time.Now(), record: record, starts: make(map[string][]int64), done: make(map[string]int64),
	}
	w.client.w = w
	address, err := w.store.Listen()
	if err != nil {
		return nil, err
	}
	if w.front, err = newStoreFront(address, w.note); err != nil {
		return nil, err
	}
	return w, nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// addDaemon writes the settings of a daemon as the template of the deploy file does,
// and starts it.
func (w *world) addDaemon() (*daemon, error) {
	n := len(w.daemons)
	d := &daemon{w: w, name: fmt.Sprintf("front-%d", n+1), zone: zones[n%len(zones)]}
	var addrs [4]string
	for i := range addrs {
		var err error
		if addrs[i], err = guavastandin.FreeAddress(); err != nil {
			return nil, err
		}
	}
	d.callers, d.ready, d.peer = addrs[0], addrs[1], addrs[2]
	listener := func(a string) map[string]string { return map[string]string{"Listen": a} }
	data, err := json.Marshal(map[string]any{
		"Name": d.name, "Zone": d.zone, "Callers": listener(d.callers), "Ready": listener(d.ready), "Peer": listener(d.peer),
		"Metrics": listener(addrs[3]), "Platform": w.front.address, "Advice": "",
		"Guarantees": map[string]float64{
			"LeaseMaxMs": holdMaxMs, "StopGraceMs": stopGraceMs, "DisturbMaxMs": harmMs, "LeaveMaxMs": drainMs, "TermSeconds": graceS,
			"KeepSeconds": statusS, "RackPenalty": 1.5, "MemoryMB": 284, "Cores": 0.4,
		},
	})
	if err != nil {
		return nil, err
	}
	d.log = filepath.Join(w.dir, d.name+".log")
	d.settings = filepath.Join(w.dir, d.name+".json")
	if err := os.WriteFile(d.settings, data, 0o600); err != nil {
		return nil, err
	}
	w.daemons = append(w.daemons, d)
	return d, d.start()
}

func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	d.cmd = exec.Command(d.w.program, "queue", "--config", d.settings)
	d.cmd.Stdout, d.cmd.Stderr = out, out
	// The process ends with this one, however that ends.
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.w.note("%s starts", d.name)
	return d.cmd.Start()
}

// kill ends the process with SIGKILL.
func (d *daemon) kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return
	}
	_ = d.cmd.Process.Signal(syscall.SIGKILL)
	// The exit status of a killed process says nothing.
	_ = d.cmd.Wait()
	d.cmd = nil
	d.w.note("%s is killed", d.name)
}

// owner returns the daemon that owns the shard. Daemons write their logs with a delay.
func (w *world) owner() (*daemon, error) {
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		if d, err := w.lastOwner(); d != nil || err != nil {
			return d, err
		}
	}
	return nil, errors.New("no daemon owns the shard")
}

// lastOwner returns the daemon whose log says last that it owns the shard, or nil.
func (w *world) lastOwner() (*daemon, error) {
	var owner *daemon
	latest := uint64(0)
	for _, d := range w.daemons {
		data, err := os.ReadFile(d.log)
		if err != nil {
			return nil, err
		}
		for line := range strings.Lines(string(data)) {
			var l struct {
				Epoch   uint64
				Message string `json:"message"`
			}
			if json.Unmarshal([]byte(line), &l) == nil && l.Message == "scheduler: own the shard" && l.Epoch > latest {
				owner, latest = d, l.Epoch
			}
		}
	}
	if owner != nil {
		w.note("%s owns the shard", owner.name)
	}
	return owner, nil
}

// configure writes a version of the operators' configuration, in which the route that
// the clients use has the given name.
func (w *world) configure(version int, name string) error {
	config := make(map[string]any)
	if err := json.Unmarshal(configFile, &config); err != nil {
		return err
	}
	config["version"] = version
	for _, r := range config["routes"].([]any) {
		if route := r.(map[string]any); route["name"] == queueName {
			route["name"] = name
		}
	}
	w.note("the operator writes config %d, with the route %s for %s", version, name, prefix)
	return w.store.Put("op", "config", config)
}

// setUp configures a route and starts workers and daemons.
func (w *world) setUp(workers, daemons int) error {
	if err := w.configure(1, queueName); err != nil {
		return err
	}
	for range workers {
		if err := w.addWorker(); err != nil {
			return err
		}
	}
	for range daemons {
		if _, err := w.addDaemon(); err != nil {
			return err
		}
	}
	for begun := time.Now(); time.Since(begun) < 10*time.Second; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, d := range w.daemons {
			if status, _ := w.client.do(d, "GET", prefix, nil); status == 200 {
				ready++
			}
		}
		if ready == len(w.daemons) {
			w.note("all daemons are ready")
			return nil
		}
	}
	return fmt.Errorf("the daemons were not ready in time")
}

func (w *world) close() {
	for _, d := range w.daemons {
		d.kill()
	}
	for _, v := range w.workers {
		v.Crash()
	}
	w.store.Close()
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println(w.dir)
	}
}
