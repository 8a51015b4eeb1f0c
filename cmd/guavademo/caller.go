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

// loadGenerator runs callers that send requests to random ready daemons and
// records the requests.
type loadGenerator struct {
	cluster *cluster
	service string
	log     requestLog
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

const (
	demoCallers = 24
	// callerInterval is the delay before each request of a caller.
	callerInterval = 20 * time.Millisecond
	requestTimeout = 10 * time.Second
	// maxKeyedAttempts bounds the attempts to send a request with a key,
	// keyedRetryDelay is the delay between them.
	maxKeyedAttempts = 4
	keyedRetryDelay  = 300 * time.Millisecond
	// One request in repeatEvery repeats an earlier keyed request of the caller.
	repeatEvery  = 8
	maxBodyBytes = 2000
	maxDelayMs   = 20
	// One request in slowEvery takes slowDelayMs, so that requests are in
	// progress whenever a daemon stops.
	slowEvery   = 20
	slowDelayMs = 400
	// longDelayMs is longer than the time between the moment a daemon reports
	// that it is not ready and the moment it stops accepting connections.
	longDelayMs = 6000

	headerOutcome = "Guavascale-Outcome"
	headerKey     = "Idempotency-Key"
)

// startLoad starts callers of a service, which run until stop is called.
func startLoad(c *cluster, service string, callers int) *loadGenerator {
	ctx, cancel := context.WithCancel(context.Background())
	l := &loadGenerator{cluster: c, service: service, cancel: cancel, log: requestLog{began: time.Now()}}
	for i := range callers {
		l.wg.Go(func() { l.runCaller(ctx, i) })
	}
	return l
}

// stop stops the callers and waits for requests in progress.
func (l *loadGenerator) stop() {
	l.cancel()
	l.wg.Wait()
}

// runCaller sends requests until ctx is done.
func (l *loadGenerator) runCaller(ctx context.Context, caller int) {
	var keyed []request
	for n := 0; sleep(ctx, callerInterval) == nil; n++ {
		d := l.cluster.pickReady(nil)
		if d == nil {
			continue
		}
		r := newRequest(fmt.Sprintf("caller-%d-%d", caller, n))
		if len(keyed) > 0 && rand.IntN(repeatEvery) == 0 {
			r = keyed[rand.IntN(len(keyed))]
			r.Kind, r.Results = kindRepeat, nil
		}
		l.sendWithRetries(ctx, &r, d)
		l.log.add(r)
		if r.Kind == kindKeyed && r.mayHaveRun() {
			keyed = append(keyed, r)
		}
	}
}

// newRequest returns a request of a random kind with a body of random length.
func newRequest(tag string) request {
	return request{
		Tag:  tag,
		Kind: kinds[rand.IntN(len(kinds))],
		Body: []byte(tag + ":" + strings.Repeat("x", rand.IntN(maxBodyBytes))),
	}
}

// sendWithRetries sends a request. It sends a keyed request again while it was
// not run, the connection was refused or the response was lost.
func (l *loadGenerator) sendWithRetries(ctx context.Context, r *request, d *daemon) {
	for n := range maxKeyedAttempts {
		res := l.sendOnce(d, r, randomDelayMs())
		r.Results = append(r.Results, res)
		retry := res == resultNotRun || res == resultLost || res == resultRefused
		if r.Kind != kindKeyed || !retry || n == maxKeyedAttempts-1 || sleep(ctx, keyedRetryDelay) != nil {
			return
		}
		if next := l.cluster.pickReady(d); next != nil {
			d = next
		}
	}
}

// sendLongRequests starts n requests that take longDelayMs to one daemon. It
// does not wait for them.
func (l *loadGenerator) sendLongRequests(d *daemon, n int) {
	for i := range n {
		l.wg.Go(func() {
			r := request{Tag: fmt.Sprintf("long-%s-%d", d.name, i), Kind: kindPost, Body: []byte("long")}
			r.Results = append(r.Results, l.sendOnce(d, &r, longDelayMs))
			l.log.add(r)
		})
	}
}

// sendOnce sends a request to a daemon, once, and classifies the outcome.
func (l *loadGenerator) sendOnce(d *daemon, r *request, delay int) result {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + d.gateway + "/" + l.service + "/" + r.Tag)
	r.Kind.setHeaders(req, r.Tag)
	req.Header.Set(guavafake.HeaderDelay, strconv.Itoa(delay))
	body := r.Body
	if r.Kind == kindGet {
		// The gateway rejects a GET with a body. Its response is identified by the
		// tag alone.
		body = nil
	}
	req.SetBody(body)
	began := time.Now()
	err := d.gatewayClient.DoTimeout(req, resp, requestTimeout)
	if err != nil {
		return l.classifyError(d, r, err)
	}
	res := classifyResponse(resp, r.Tag, body)
	switch res {
	case resultAnswered:
		l.log.addLatency(time.Since(began))
	case resultNotRun, resultUnknown:
		l.log.addReason(res, resp.Body(), time.Now())
	case resultWrong:
		l.log.addNote(fmt.Sprintf("%s %s from %s: status %d, outcome %q, %d of %d bytes: %.80q", r.Kind, r.Tag, d.name,
			resp.StatusCode(), resp.Header.Peek(headerOutcome), len(resp.Body()), len(body), resp.Body()))
	}
	return res
}

// classifyError classifies a request without a response. If the connection was
// established and SIGTERM was sent to the daemon before, the request counts as
// cut off by the graceful stop.
func (l *loadGenerator) classifyError(d *daemon, r *request, err error) result {
	var refused dialError
	if errors.As(err, &refused) {
		return resultRefused
	}
	if d.stopping.Load() {
		l.log.addCutOff()
		l.log.addNote(fmt.Sprintf("%s %s was cut by the stop of %s: %v", r.Kind, r.Tag, d.name, err))
	}
	return resultLost
}

// randomDelayMs returns a random service time.
func randomDelayMs() int {
	if rand.IntN(slowEvery) == 0 {
		return slowDelayMs
	}
	return rand.IntN(maxDelayMs)
}

// setHeaders sets the method and the headers of a request. The endpoint echoes
// the content type, which contains the tag.
func (k kind) setHeaders(req *fasthttp.Request, tag string) {
	method, _, _ := strings.Cut(string(k), " ")
	req.Header.SetMethod(method)
	req.Header.SetContentType(contentType(tag))
	req.Header.Set(guavafake.HeaderTag, tag)
	if k == kindKeyed || k == kindRepeat {
		req.Header.Set(headerKey, "key-"+tag)
	}
}

// contentType returns a content type that contains the tag.
func contentType(tag string) string { return "text/" + tag }

// classifyResponse returns the result for the response to a request with the tag
// and the body.
func classifyResponse(resp *fasthttp.Response, tag string, body []byte) result {
	matches := resp.StatusCode() == fasthttp.StatusOK && bytes.Equal(resp.Body(), body) &&
		string(resp.Header.ContentType()) == contentType(tag)
	switch guavascale.Outcome(resp.Header.Peek(headerOutcome)) {
	case "":
		if matches {
			return resultAnswered
		}
	case guavascale.OutcomeNotRun:
		return resultNotRun
	case guavascale.OutcomeUnknown:
		return resultUnknown
	case guavascale.OutcomeAlreadyRun:
		if matches {
			return resultReplayed
		}
		if resp.StatusCode() == fasthttp.StatusConflict {
			return resultAlreadyRun
		}
	}
	return resultWrong
}
