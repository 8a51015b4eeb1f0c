package main

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"guavascale.example"
	"guavascale.example/guavagateway"
	"guavascale.example/guavaroute"
)

type (
	// costRound is the result of one round of requests in real time, with
	// latencies in microseconds.
	costRound struct {
		p50, p99, perSecond float64
	}
)

// costTable compares requests through a gateway with direct requests, in
// alternating rounds.
func (c routingCmd) costTable(b *strings.Builder) error {
	endpoint, stop, err := startEndpoint()
	if err != nil {
		return err
	}
	defer stop()
	gateway, shutdown, err := startGateway(endpoint)
	if err != nil {
		return err
	}
	defer shutdown()
	fmt.Fprintf(b, "## The gateway's own cost\n\nReal time on a shared machine (%d processors, %s): one loopback endpoint that answers at once with 64 bytes; caller, gateway and endpoint share the processors. Rounds alternate between direct calls and calls through the gateway; a cell is the median of %d rounds of %v with the least and the greatest value. Latencies in microseconds.\n\n", runtime.NumCPU(), runtime.Version(), c.Rounds, c.Round)
	b.WriteString("| Callers | Path | p50 | p99 | Calls per second |\n|---|---|---|---|---|\n")
	for _, callers := range []int{1, 8} {
		rounds := map[string][]costRound{}
		for range c.Rounds {
			for path, addr := range map[string]string{"direct": endpoint, "gateway": gateway} {
				r, err := runRound(addr, callers, c.Round)
				if err != nil {
					return err
				}
				rounds[path] = append(rounds[path], r)
			}
		}
		for _, path := range []string{"direct", "gateway"} {
			rs := rounds[path]
			fmt.Fprintf(b, "| %d | %s | %s | %s | %s |\n", callers, path,
				collectRounds(rs, func(r costRound) float64 { return r.p50 }),
				collectRounds(rs, func(r costRound) float64 { return r.p99 }),
				collectRounds(rs, func(r costRound) float64 { return r.perSecond }))
		}
	}
	return nil
}

func collectRounds(rs []costRound, f func(costRound) float64) cell {
	var all []routingResult
	for _, r := range rs {
		all = append(all, routingResult{goodput: f(r)})
	}
	return collect(all, func(r routingResult) float64 { return r.goodput })
}

func startEndpoint() (addr string, stop func(), err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	body := strings.Repeat("x", 64)
	s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.SetBytesV("Request-Id", ctx.Request.Header.Peek("Request-Id"))
		ctx.SetBodyString(body)
	}}
	go func() { _ = s.Serve(ln) }()
	return ln.Addr().String(), func() { _ = s.Shutdown() }, nil
}

func startGateway(endpoint string) (addr string, stop func(), err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	g := &guavagateway.Gateway{}
	g.SetSnapshot(&guavagateway.Snapshot{
		Daemon: "d0", Zone: "a", Daemons: []string{"d0"},
		Services: map[string]guavascale.Service{"svc": {Name: "svc"}},
		Endpoints: []guavascale.Endpoint{{
			Service: "svc", Task: "svc/s/0", Worker: "w0", Zone: "a", Address: endpoint, Slots: 8, Connections: 60,
		}},
	})
	go func() { _ = g.Serve(ln) }()
	for !g.Ready() {
		time.Sleep(guavaroute.SlotActivationDelay / 20)
	}
	return ln.Addr().String(), func() { _ = g.Shutdown(context.Background()) }, nil
}

// runRound sends requests from concurrent callers, each of which waits for a
// response before its next request.
func runRound(addr string, callers int, length time.Duration) (costRound, error) {
	client := &fasthttp.HostClient{Addr: addr, MaxConns: callers}
	defer client.CloseIdleConnections()
	total := hdrhistogram.New(1, int64(time.Minute), 3)
	var mu sync.Mutex
	var failure error
	var wg sync.WaitGroup
	end := time.Now().Add(length)
	for range callers {
		wg.Go(func() {
			h, err := sendUntil(client, addr, end)
			mu.Lock()
			defer mu.Unlock()
			total.Merge(h)
			if err != nil {
				failure = err
			}
		})
	}
	wg.Wait()
	return costRound{
		p50:       float64(total.ValueAtQuantile(50)) / 1000,
		p99:       float64(total.ValueAtQuantile(99)) / 1000,
		perSecond: float64(total.TotalCount()) / length.Seconds(),
	}, failure
}

func sendUntil(client *fasthttp.HostClient, addr string, end time.Time) (*hdrhistogram.Histogram, error) {
	h := hdrhistogram.New(1, int64(time.Minute), 3)
	var req fasthttp.Request
	var resp fasthttp.Response
	for time.Now().Before(end) {
		req.SetRequestURI("http://" + addr + "/svc/x")
		started := time.Now()
		if err := client.Do(&req, &resp); err != nil {
			return h, err
		}
		if resp.StatusCode() != fasthttp.StatusOK {
			return h, fmt.Errorf("status %d from %s", resp.StatusCode(), addr)
		}
		if err := h.RecordValue(time.Since(started).Nanoseconds()); err != nil {
			return h, err
		}
	}
	return h, nil
}
