package main

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// storeFront is the store as the daemons see it. It passes their calls to the store and
// adds what that lacks: answers that take longer while the store is slow, with times of their
// own for transactions, and a record of the transactions.
type storeFront struct {
	address string
	note    func(format string, args ...any)
	client  fasthttp.HostClient

	mu sync.Mutex
	// slow is how long a call takes.
	slow, slowTx time.Duration
	// down is set while the store refuses all calls.
	down bool
}

// feedTimeout bounds a call to the store.
const feedTimeout = 40 * time.Second

func newStoreFront(store string, note func(string, ...any)) (*storeFront, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &storeFront{address: l.Addr().String(), note: note, client: fasthttp.HostClient{Addr: store, MaxConns: 1000}}
	go func() { _ = (&fasthttp.Server{Handler: f.serve, NoDefaultDate: true}).Serve(l) }()
	return f, nil
}

// setSlow sets how long reads and transactions take.
func (f *storeFront) setSlow(read, tx time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slow, f.slowTx = read, tx
}

// setDown makes the store refuse all calls, or serve them again.
func (f *storeFront) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	f.note("the store refuses all calls: %v", down)
}

func (f *storeFront) serve(ctx *fasthttp.RequestCtx) {
	f.mu.Lock()
	delay, down := f.slow, f.down
	if ctx.IsPost() {
		delay = f.slowTx
	}
	f.mu.Unlock()
	if down {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	begun := time.Now()
	time.Sleep(delay)
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	ctx.Request.CopyTo(req)
	req.Header.SetHost(f.client.Addr)
	if err := f.client.DoTimeout(req, &ctx.Response, feedTimeout); err != nil {
		ctx.Response.Reset()
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
	if ctx.IsPost() {
		f.note("commit after %d ms: %s -> %d", time.Since(begun).Milliseconds(), describe(ctx.PostBody()), ctx.Response.StatusCode())
	}
}

// describe returns what a transaction writes: the head of the shard and the number of
// other rows.
func describe(body []byte) string {
	var t struct {
		Writes []struct {
			Table string
			Value []byte
		}
	}
	if json.Unmarshal(body, &t) != nil || len(t.Writes) == 0 {
		return "unreadable"
	}
	var head struct {
		Epoch, Number uint64
		Owner         string
	}
	if json.Unmarshal(t.Writes[0].Value, &head) != nil {
		return "unreadable"
	}
	return fmt.Sprintf("epoch %d, number %d, %d rows beside the head, by %s", head.Epoch, head.Number, len(t.Writes)-1, head.Owner)
}
