package guavagateway

import (
	"bytes"
	"context"
	"errors"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"guavascale.example"
	"guavascale.example/guavaroute"
)

// request is the state of one request of a caller.
type request struct {
	g          *Gateway
	ctx        *fasthttp.RequestCtx
	service    guavascale.Service
	priority   guavaroute.Priority
	idempotent bool
	key        string
	deadline   time.Time
	// tried lists the endpoints of earlier attempts.
	tried []guavascale.TaskID
	// mayHaveRun is set once any attempt wrote a byte to an endpoint that did not
	// reject the request.
	mayHaveRun bool
}

// claimTimeout limits releasing a claim or recording its response. Both may happen
// after the request's own deadline.
const claimTimeout = 2 * time.Second

func (g *Gateway) handle(ctx *fasthttp.RequestCtx) {
	g.active.Add(1)
	defer g.active.Add(-1)
	switch string(ctx.RequestURI()) {
	case LivePath:
		writeProbe(ctx, true)
		return
	case ReadyPath:
		writeProbe(ctx, g.Ready())
		return
	}
	started := time.Now()
	defer g.metrics.latency.UpdateSince(started)
	g.metrics.requests.Inc(1)
	r := &request{g: g, ctx: ctx}
	defer r.recover()
	if f := r.parse(started); f != nil {
		r.fail(f)
		return
	}
	if f := r.serve(); f != nil {
		r.fail(f)
		return
	}
	g.metrics.answered.Inc(1)
}

// recover prevents a panic in one request from terminating the process.
func (r *request) recover() {
	panicValue := recover()
	if panicValue == nil {
		return
	}
	r.g.Log.Error().Interface("Fault", panicValue).Msg("gateway: request handler panicked")
	r.fail(&failure{guavascale.OutcomeUnknown, fasthttp.StatusBadGateway, "internal fault"})
}

// parse validates the request line and headers and sets the fields of r.
func (r *request) parse(started time.Time) *failure {
	h := &r.ctx.Request.Header
	snap := r.g.snapshot.Load()
	if snap == nil {
		return &failure{guavascale.OutcomeNotRun, fasthttp.StatusServiceUnavailable, "the daemon is starting"}
	}
	method := string(h.Method())
	if !isSupportedMethod(method) {
		return badRequest("method " + strconv.Quote(method) + " is not supported")
	}
	if len(h.Host()) == 0 {
		return badRequest("header Host is missing")
	}
	if (h.IsGet() || h.IsHead()) && len(r.ctx.Request.Body()) > 0 {
		return badRequest("a GET or HEAD request has no body")
	}
	if hasConflictingLengths(r.ctx.Request.Header.RawHeaders()) {
		return badRequest("the request has both Content-Length and Transfer-Encoding")
	}
	name, err := serviceName(string(h.RequestURI()))
	if err != nil {
		return badRequest(err.Error())
	}
	s, ok := snap.Services[name]
	if !ok {
		return &failure{guavascale.OutcomeNotRun, fasthttp.StatusNotFound, "service " + strconv.Quote(name) + " does not exist"}
	}
	p, err := guavaroute.ParsePriority(string(h.Peek(headerPriority)))
	if err != nil {
		return badRequest(err.Error())
	}
	limit, err := parseTimeout(string(h.Peek(headerTimeout)))
	if err != nil {
		return badRequest(err.Error())
	}
	r.service, r.priority = s, p
	r.idempotent = isIdempotent(method, s)
	if !r.idempotent {
		r.key = string(h.Peek(headerKey))
	}
	r.deadline = started.Add(limit)
	return nil
}

// hasConflictingLengths reports whether the headers contain both Content-Length and
// Transfer-Encoding. The HTTP library uses the latter, but such a message may be an
// attempt at request smuggling.
func hasConflictingLengths(raw []byte) bool {
	lower := append([]byte{'\n'}, bytes.ToLower(raw)...)
	return bytes.Contains(lower, []byte("\ntransfer-encoding")) && bytes.Contains(lower, []byte("\ncontent-length"))
}

// serviceName returns the first path segment of a URI. The path is forwarded
// unmodified. Paths with dot segments are rejected, because an endpoint could
// resolve them to another service than the one checked here.
func serviceName(uri string) (string, error) {
	path, _, _ := strings.Cut(uri, "?")
	invalid := &guavascale.ValidationError{Field: "path", Value: path, Allowed: "/{service}/... without dot segments"}
	if !strings.HasPrefix(path, "/") {
		return "", invalid
	}
	segments := strings.Split(path[1:], "/")
	for _, s := range segments {
		unescaped, err := url.PathUnescape(s)
		if err != nil || unescaped == "." || unescaped == ".." {
			return "", invalid
		}
	}
	return segments[0], nil
}

func isSupportedMethod(method string) bool {
	switch method {
	case fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodPut, fasthttp.MethodDelete,
		fasthttp.MethodOptions, fasthttp.MethodPost, fasthttp.MethodPatch:
		return true
	default:
		return false
	}
}

func parseTimeout(s string) (time.Duration, error) {
	if s == "" {
		return maxDeadline, nil
	}
	ms, err := strconv.ParseInt(s, 10, 64)
	if err != nil || ms <= 0 {
		return 0, &guavascale.ValidationError{Field: headerTimeout, Value: s, Allowed: "whole milliseconds above 0"}
	}
	if ms > maxDeadline.Milliseconds() {
		return maxDeadline, nil
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// serve forwards the request. A request with an idempotency key is forwarded only
// after the key was claimed.
func (r *request) serve() *failure {
	if r.key == "" {
		_, f := r.forward()
		return f
	}
	if r.isOverloaded() {
		return overloaded()
	}
	if r.g.Claims == nil {
		return unavailable("idempotency keys are not available")
	}
	ctx, cancel := context.WithDeadline(context.Background(), r.deadline)
	defer cancel()
	token, err := r.g.Claims.Claim(ctx, r.key)
	var alreadyRun *guavascale.AlreadyRunError
	if errors.As(err, &alreadyRun) {
		return r.replayResponse(alreadyRun)
	}
	if err != nil {
		return unavailable("the idempotency key could not be claimed: " + err.Error())
	}
	response, f := r.forward()
	r.settleClaim(token, response, f)
	return f
}

// settleClaim records the response of a completed request, or releases the claim if
// the request certainly did not run. If the outcome is unknown, the claim is kept.
func (r *request) settleClaim(token guavascale.ClaimToken, response guavascale.Answer, f *failure) {
	g := r.g
	switch {
	case f == nil:
		record := func() {
			ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
			defer cancel()
			if err := g.Claims.Finish(ctx, token, response); err != nil {
				g.Log.Warn().Err(err).Msg("gateway: could not record the response for an idempotency key")
			}
		}
		if g.recorders.Go(record) != nil {
			record()
		}
	case f.outcome == guavascale.OutcomeNotRun:
		// Release the claim before the caller gets the response, so that the
		// key is free when the caller repeats the request.
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		defer cancel()
		if err := g.Claims.Release(ctx, token); err != nil {
			g.Log.Warn().Err(err).Msg("gateway: could not release the claim of an idempotency key")
		}
	}
}

func (r *request) replayResponse(e *guavascale.AlreadyRunError) *failure {
	if e.Answer == nil {
		return &failure{guavascale.OutcomeAlreadyRun, fasthttp.StatusConflict, e.Error()}
	}
	r.g.metrics.countOutcome(guavascale.OutcomeAlreadyRun)
	resp := &r.ctx.Response
	resp.Reset()
	resp.SetStatusCode(e.Answer.Status)
	resp.Header.SetContentType(e.Answer.ContentType)
	resp.Header.Set(headerOutcome, string(guavascale.OutcomeAlreadyRun))
	resp.SetBody(e.Answer.Body)
	return nil
}

// forward sends the request, with retries, until an endpoint responds or no further
// attempt is allowed.
func (r *request) forward() (guavascale.Answer, *failure) {
	pick, f := r.admit()
	if f != nil {
		return guavascale.Answer{}, f
	}
	for {
		a := r.sendAttempt(pick)
		if a.answered() {
			defer a.release()
			return r.copyResponse(a.resp), nil
		}
		res := a.result
		a.release()
		next, ok := r.retry(res)
		if !ok {
			return guavascale.Answer{}, r.finalFailure(res)
		}
		pick = next
	}
}

// retry acquires a slot for another attempt. A non-idempotent request is not retried
// once a byte of it was written, even if the endpoint rejected it.
func (r *request) retry(res attemptResult) (guavaroute.Pick, bool) {
	if res.wrote && !r.idempotent {
		return guavaroute.Pick{}, false
	}
	if !time.Now().Before(r.deadline) {
		return guavaroute.Pick{}, false
	}
	return r.pickForRetry()
}

// pickForRetry acquires a slot for an endpoint that was not tried yet, within the
// retry budget.
func (r *request) pickForRetry() (guavaroute.Pick, bool) {
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.router.Retry(g.Clock.Now(), r.service.Name, r.tried)
	if ok {
		g.metrics.retries.Inc(1)
	}
	return p, ok
}

// finalFailure returns the failure to report after the last attempt.
func (r *request) finalFailure(res attemptResult) *failure {
	reason := "the endpoint rejected the request"
	if res.err != nil {
		reason = res.err.Error()
	}
	switch {
	case !r.mayHaveRun:
		return unavailable(reason)
	case res.timedOut():
		return &failure{guavascale.OutcomeUnknown, fasthttp.StatusGatewayTimeout, reason}
	default:
		return &failure{guavascale.OutcomeUnknown, fasthttp.StatusBadGateway, reason}
	}
}

// copyResponse copies an endpoint's response to the caller's response, and returns
// it in the form that is recorded for idempotency keys.
func (r *request) copyResponse(resp *fasthttp.Response) guavascale.Answer {
	for _, h := range hopByHopHeaders {
		resp.Header.Del(h)
	}
	resp.Header.Del(headerOutcome)
	resp.Header.Del(headerRequestID)
	callerResp := &r.ctx.Response
	resp.CopyTo(callerResp)
	callerResp.Header.ResetConnectionClose()
	callerResp.SkipBody = resp.SkipBody
	if id := r.ctx.Request.Header.Peek(headerRequestID); len(id) > 0 {
		callerResp.Header.SetBytesV(headerRequestID, id)
	}
	return guavascale.Answer{
		Status:      callerResp.StatusCode(),
		ContentType: string(callerResp.Header.ContentType()),
		Body:        append([]byte(nil), callerResp.Body()...),
	}
}

// prepareRequest initializes req, the request to an endpoint, from the caller's
// request.
func prepareRequest(req, callerReq *fasthttp.Request) {
	callerReq.CopyTo(req)
	// Setting the unparsed URI prevents the HTTP library from normalizing the path.
	req.SetRequestURIBytes(callerReq.Header.RequestURI())
	for _, h := range hopByHopHeaders {
		req.Header.Del(h)
	}
	req.Header.ResetConnectionClose()
	// The caller may use HTTP/1.0, where responses need not have a length.
	req.Header.SetProtocol("HTTP/1.1")
	req.UseHostHeader = true
}

func writeProbe(ctx *fasthttp.RequestCtx, ok bool) {
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
	ctx.SetContentType("application/json")
	ctx.SetBodyString(`{"Ok":` + strconv.FormatBool(ok) + "}\n")
}
