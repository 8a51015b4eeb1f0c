package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"guavascale.example/platform/guavastandin"
)

type (
	// worker is a simulated worker behind a proxy, which records the orders and can cut
	// the worker off.
	worker struct {
		guavastandin.Worker
		w *world
		// registry is the store in which the simulated worker registers itself. Its
		// entry is published in the real store with the address of the proxy.
		registry        guavastandin.Store
		registryAddress string
		listener        *guavastandin.CutListener
		proxyAddress    string
		target          *fasthttp.HostClient

		mu sync.Mutex
		// cut is set while calls get no answer.
		cut bool
		// running holds the tasks of the latest report and the starts since.
		running map[string]bool
		down    bool
		born    int64
		lastEnd float64
	}

	// orderBody is what the record tells of an order.
	orderBody struct {
		Task    string `json:"task"`
		Attempt int64  `json:"attempt"`
	}

	// report is an answer to a hold.
	report struct {
		Born    int64   `json:"born"`
		Reason  string  `json:"reason"`
		Running [][]any `json:"running"`
		Ended   [][]any `json:"ended"`
	}
)

const (
	// workerCall bounds a call to a worker; a worker answers a hold after 2 s at most.
	workerCall = 5 * time.Second
	// heartbeat is the interval of a worker's liveness reports. The platform removes
	// the entry after three of them.
	heartbeat = 1500 * time.Millisecond
)

func (w *world) addWorker() error {
	n := len(w.workers)
	v := &worker{w: w, running: make(map[string]bool)}
	v.Worker = guavastandin.Worker{
		ID: workerID(n), Zone: zones[n%len(zones)], Service: service, MilliCores: 16_000, MemoryMB: 62_500,
		LeaseMax: holdMaxMs * time.Millisecond, StopTime: 100 * time.Millisecond, Store: &v.registry, Checker: w.checker,
	}
	var err error
	if v.registryAddress, err = v.registry.Listen(); err != nil {
		return err
	}
	if v.listener, err = guavastandin.ListenCuttable(); err != nil {
		return err
	}
	v.proxyAddress = v.listener.Addr().String()
	go func() { _ = (&fasthttp.Server{Handler: v.serve, NoDefaultDate: true}).Serve(v.listener) }()
	w.workers = append(w.workers, v)
	return v.boot()
}

// boot starts the worker and publishes its entry.
func (v *worker) boot() error {
	if err := v.Listen(); err != nil {
		return err
	}
	v.mu.Lock()
	v.down = false
	v.mu.Unlock()
	return v.publish()
}

// rebirth starts a new worker on the same host, under another id.
func (v *worker) rebirth() error {
	if err := v.registry.Put("servers", v.ID, nil); err != nil {
		return err
	}
	v.w.mu.Lock()
	v.w.lives++
	v.ID = workerID(len(v.w.workers) + v.w.lives)
	v.w.mu.Unlock()
	return v.boot()
}

func workerID(n int) string { return fmt.Sprintf("i-%010x", 0x31b174c200+n) }

// publish copies the entry of the worker to the store of the daemons.
func (v *worker) publish() error {
	resp, err := http.Get("http://" + v.registryAddress + names.WorkerRows)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	var page struct {
		Rows []struct{ Value []byte }
	}
	if err := json.Unmarshal(data, &page); err != nil || len(page.Rows) != 1 {
		return fmt.Errorf("worker %s is not registered: %w", v.ID, err)
	}
	entry := make(map[string]any)
	if err := json.Unmarshal(page.Rows[0].Value, &entry); err != nil {
		return err
	}
	v.mu.Lock()
	v.target = &fasthttp.HostClient{Addr: entry["address"].(string), MaxConns: 100}
	v.mu.Unlock()
	entry["address"] = v.proxyAddress
	v.w.note("worker %s registers, %v", v.ID, entry["state"])
	return v.w.store.Put("servers", v.ID, entry)
}

// crash ends the worker's process.
func (v *worker) crash() {
	v.Crash()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.down = true
	clear(v.running)
	v.w.note("worker %s crashes", v.ID)
}

// setCut cuts the worker off from the daemons, silently, or heals the cut.
func (v *worker) setCut(cut bool) {
	v.mu.Lock()
	v.cut = cut
	v.mu.Unlock()
	v.listener.Cut(cut)
	v.w.note("worker %s is cut off: %v", v.ID, cut)
}

// lose ends the worker for good. The platform removes its entry.
func (v *worker) lose() {
	v.crash()
	v.w.note("worker %s is lost for good", v.ID)
	time.AfterFunc(3*heartbeat, func() {
		v.w.note("the platform removes the entry of %s", v.ID)
		_ = v.w.store.Put("servers", v.ID, nil)
	})
}

func (v *worker) isCut() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.cut
}

func (v *worker) serve(ctx *fasthttp.RequestCtx) {
	if v.isCut() {
		v.drop(ctx)
		return
	}
	if v.startsDeadly(ctx) {
		v.drop(ctx)
		return
	}
	v.mu.Lock()
	target := v.target
	v.mu.Unlock()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	ctx.Request.CopyTo(req)
	req.Header.SetHost(target.Addr)
	err := target.DoTimeout(req, &ctx.Response, workerCall)
	if v.isCut() {
		v.drop(ctx)
		return
	}
	if err != nil {
		// The worker's process has ended, so the connection breaks.
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	v.observe(ctx)
}

// drop leaves a call without an answer.
func (v *worker) drop(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		// The caller gives up first.
		_ = c.SetReadDeadline(time.Now().Add(time.Minute))
		_, _ = io.Copy(io.Discard, c)
	})
}

// observe records an order and its answer.
func (v *worker) observe(ctx *fasthttp.RequestCtx) {
	var rep report
	if json.Unmarshal(ctx.Response.Body(), &rep) != nil {
		return
	}
	path := string(ctx.Path())
	if !strings.HasSuffix(path, "hold") {
		var o orderBody
		_ = json.Unmarshal(ctx.PostBody(), &o)
		v.w.note("worker %s: %s of %s run %d -> %d %s", v.ID, path[strings.LastIndexAny(path, "/-")+1:], o.Task, o.Attempt,
			ctx.Response.StatusCode(), rep.Reason)
		if strings.HasSuffix(path, "start") && ctx.Response.StatusCode() == fasthttp.StatusOK {
			v.w.recordStart(o)
			v.mu.Lock()
			v.running[o.Task] = true
			v.mu.Unlock()
		}
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if rep.Born != v.born {
		v.born, v.lastEnd = rep.Born, 0
	}
	clear(v.running)
	for _, r := range rep.Running {
		v.running[r[0].(string)] = true
	}
	for _, e := range rep.Ended {
		if number := e[0].(float64); number > v.lastEnd {
			v.lastEnd = number
			if e[3] == "done" {
				v.w.recordDone(orderBody{e[1].(string), int64(e[2].(float64))})
			}
			v.w.note("worker %s: %s run %v has ended, %v", v.ID, e[1], e[2], e[3])
		}
	}
}

// runs reports whether a task of a submission runs on a worker.
func (w *world) runs(submission string) bool {
	for _, v := range w.workers {
		if v.runs(submission) {
			return true
		}
	}
	return false
}

func (v *worker) runs(submission string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for task := range v.running {
		if !v.down && strings.HasPrefix(task, submission+".") {
			return true
		}
	}
	return false
}

func (w *world) recordStart(o orderBody) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts[o.Task] = append(w.starts[o.Task], o.Attempt)
}

func (w *world) recordDone(o orderBody) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done[o.Task] == 0 {
		w.done[o.Task] = o.Attempt
	}
}

// startedAgain returns the tasks of which a run has ended as done and a later one was
// started.
func (w *world) startedAgain() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var tasks []string
	for task, attempt := range w.done {
		if slices.ContainsFunc(w.starts[task], func(a int64) bool { return a > attempt }) {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// tasksDone returns how many tasks of a submission have ended as done.
func (w *world) tasksDone(submission string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for task := range w.done {
		if strings.HasPrefix(task, submission+".") {
			n++
		}
	}
	return n
}

// downTime is how long a worker is down after a crash.
const downTime = 3 * time.Second

// startsDeadly reports whether a call starts the deadly task. If so, the worker's host
// goes down with it, without a word, and is back after downTime.
func (v *worker) startsDeadly(ctx *fasthttp.RequestCtx) bool {
	deadly := v.w.deadly.Load()
	if deadly == nil || !strings.HasSuffix(string(ctx.Path()), "start") {
		return false
	}
	var o orderBody
	_ = json.Unmarshal(ctx.PostBody(), &o)
	if !strings.HasPrefix(o.Task, *deadly+".") {
		return false
	}
	v.w.note("worker %s: start of %s run %d, which takes the host down", v.ID, o.Task, o.Attempt)
	v.w.mu.Lock()
	v.w.deadlyWorkers = append(v.w.deadlyWorkers, v.ID)
	v.w.mu.Unlock()
	v.setCut(true)
	v.crash()
	old := v.ID
	time.AfterFunc(downTime, func() {
		v.setCut(false)
		if err := v.rebirth(); err != nil {
			v.w.note("%s", err)
		}
	})
	time.AfterFunc(3*heartbeat, func() {
		v.w.note("the platform removes the entry of %s", old)
		_ = v.w.store.Put("servers", old, nil)
	})
	return true
}

// deadlyStarts returns the workers that the deadly task was started on, in order.
func (w *world) deadlyStarts() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.deadlyWorkers...)
}
