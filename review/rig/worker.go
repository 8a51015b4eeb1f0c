package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
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
		proxyAddress    string
		target          string

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
		ID: fmt.Sprintf("i-%010x", 0x31b174c200+n), Zone: zones[n%len(zones)], Service: service, MilliCores: 16_000, MemoryMB: 62_500,
		LeaseMax: holdMaxMs * time.Millisecond, StopTime: 100 * time.Millisecond, Store: &v.registry, Checker: w.checker,
	}
	var err error
	if v.registryAddress, err = v.registry.Listen(); err != nil {
		return err
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	v.proxyAddress = l.Addr().String()
	go func() { _ = (&fasthttp.Server{Handler: v.serve, NoDefaultDate: true}).Serve(l) }()
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
	v.target = entry["address"].(string)
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
	defer v.mu.Unlock()
	v.cut = cut
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
	v.mu.Lock()
	target := v.target
	v.mu.Unlock()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	ctx.Request.CopyTo(req)
	req.SetRequestURI("http://" + target + string(ctx.Path()))
	req.Header.SetHost(target)
	client := fasthttp.Client{}
	err := client.DoTimeout(req, &ctx.Response, workerCall)
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
				v.w.recordDone(e[1].(string))
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

func (w *world) recordDone(task string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done == nil {
		w.done = make(map[string]bool)
	}
	w.done[task] = true
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
