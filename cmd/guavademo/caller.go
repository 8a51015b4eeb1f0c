package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"guavascale.example"
	"guavascale.example/guavafake"
)

// load is a number of callers that send requests to random ready daemons.
type load struct {
	cluster *cluster
	service string
	ledger  ledger
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

const (
	demoCallers = 24
	// callerPause is the time between two requests of a caller.
	callerPause    = 20 * time.Millisecond
	requestTimeout = 10 * time.Second
	// keyedAttempts and keyedPause bound the repeats with one key.
	keyedAttempts = 4
	keyedPause    = 300 * time.Millisecond
	// One request in repeatShare repeats an earlier key of the caller.
	repeatShare = 8
	maxBody     = 2000
	maxDelayMs  = 20
	// One request in slowShare takes slowDelayMs, so that requests are in
	// progress whenever a daemon stops.
	slowShare   = 20
	slowDelayMs = 400
	// longDelayMs is longer than a daemon's notice to the load balancer before
	// it stops accepting.
	longDelayMs = 6000

	headerOutcome = "Guavascale-Outcome"
	headerKey     = "Idempotency-Key"
)

// startLoad starts callers of a service until stop.
func startLoad(c *cluster, service string, callers int) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cluster: c, service: service, cancel: cancel, ledger: ledger{began: time.Now()}}
	for i := range callers {
		l.wg.Go(func() { l.call(ctx, i) })
	}
	return l
}

// stop ends the callers; requests in progress complete.
func (l *load) stop() {
	l.cancel()
	l.wg.Wait()
}

func (l *load) call(ctx context.Context, caller int) {
	var keyed []request
	for n := 0; pause(ctx, callerPause) == nil; n++ {
		d := l.cluster.pick(nil)
		if d == nil {
			continue
		}
		r := newRequest(fmt.Sprintf("caller-%d-%d", caller, n))
		if len(keyed) > 0 && rand.IntN(repeatShare) == 0 {
			r = keyed[rand.IntN(len(keyed))]
			r.Kind, r.Results = kindRepeat, nil
		}
		l.run(ctx, &r, d)
		l.ledger.add(r)
		if r.Kind == kindKeyed && r.mayHaveRun() {
			keyed = append(keyed, r)
		}
	}
}

func newRequest(tag string) request {
	return request{
		Tag:  tag,
		Kind: kinds[rand.IntN(len(kinds))],
		Body: []byte(tag + ":" + strings.Repeat("x", rand.IntN(maxBody))),
	}
}

// run sends a request, and a keyed one again while it was certainly not run or
// its answer was lost.
func (l *load) run(ctx context.Context, r *request, d *daemon) {
	for n := range keyedAttempts {
		res := l.send(d, r, delayMs())
		r.Results = append(r.Results, res)
		again := res == resultNotRun || res == resultLost || res == resultRefused
		if r.Kind != kindKeyed || !again || n == keyedAttempts-1 || pause(ctx, keyedPause) != nil {
			return
		}
		if next := l.cluster.pick(d); next != nil {
			d = next
		}
	}
}

// sendLong sends requests that take longDelayMs to one daemon and returns while
// they are in progress.
func (l *load) sendLong(d *daemon, n int) {
	for i := range n {
		l.wg.Go(func() {
			r := request{Tag: fmt.Sprintf("long-%s-%d", d.name, i), Kind: kindPost, Body: []byte("long")}
			r.Results = append(r.Results, l.send(d, &r, longDelayMs))
			l.ledger.add(r)
		})
	}
}

func (l *load) send(d *daemon, r *request, delay int) result {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + d.gateway + "/" + l.service + "/" + r.Tag)
	r.Kind.prepare(req, r.Tag)
	req.Header.Set(guavafake.HeaderDelay, strconv.Itoa(delay))
	body := r.Body
	if r.Kind == kindGet {
		// The gateway rejects a GET with a body; the tag tells its answer.
		body = nil
	}
	req.SetBody(body)
	began := time.Now()
	err := d.callers.DoTimeout(req, resp, requestTimeout)
	if err != nil {
		return l.failed(d, r, err)
	}
	res := classify(resp, r.Tag, body)
	switch res {
	case resultAnswered:
		l.ledger.answered(time.Since(began))
	case resultNotRun, resultUnknown:
		l.ledger.reason(res, resp.Body(), time.Now())
	case resultWrong:
		l.ledger.note(fmt.Sprintf("%s %s from %s: status %d, outcome %q, %d of %d bytes: %.80q", r.Kind, r.Tag, d.name,
			resp.StatusCode(), resp.Header.Peek(headerOutcome), len(resp.Body()), len(body), resp.Body()))
	}
	return res
}

// failed classifies a request without an answer. A request whose connection
// broke after SIGTERM was sent was cut by the graceful stop.
func (l *load) failed(d *daemon, r *request, err error) result {
	var refused dialError
	if errors.As(err, &refused) {
		return resultRefused
	}
	if d.stopping.Load() {
		l.ledger.cutOff()
		l.ledger.note(fmt.Sprintf("%s %s was cut by the stop of %s: %v", r.Kind, r.Tag, d.name, err))
	}
	return resultLost
}

func delayMs() int {
	if rand.IntN(slowShare) == 0 {
		return slowDelayMs
	}
	return rand.IntN(maxDelayMs)
}

// prepare sets the method and the headers of a request. The endpoint echoes
// the content type, which holds the tag.
func (k kind) prepare(req *fasthttp.Request, tag string) {
	method, _, _ := strings.Cut(string(k), " ")
	req.Header.SetMethod(method)
	req.Header.SetContentType(contentType(tag))
	req.Header.Set(guavafake.HeaderTag, tag)
	if k == kindKeyed || k == kindRepeat {
		req.Header.Set(headerKey, "key-"+tag)
	}
}

func contentType(tag string) string { return "text/" + tag }

// classify returns how a request with a tag and a body was answered.
func classify(resp *fasthttp.Response, tag string, body []byte) result {
	own := resp.StatusCode() == fasthttp.StatusOK && bytes.Equal(resp.Body(), body) &&
		string(resp.Header.ContentType()) == contentType(tag)
	switch guavascale.Outcome(resp.Header.Peek(headerOutcome)) {
	case "":
		if own {
			return resultAnswered
		}
	case guavascale.OutcomeNotRun:
		return resultNotRun
	case guavascale.OutcomeUnknown:
		return resultUnknown
	case guavascale.OutcomeAlreadyRun:
		if own {
			return resultReplayed
		}
		if resp.StatusCode() == fasthttp.StatusConflict {
			return resultAlreadyRun
		}
	}
	return resultWrong
}
