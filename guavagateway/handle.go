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

// request is one request of a caller.
type request struct {
	g          *Gateway
	ctx        *fasthttp.RequestCtx
	service    guavascale.Service
	priority   guavaroute.Priority
	idempotent bool
	key        string
	deadline   time.Time
	// tried holds the endpoints of earlier attempts.
	tried []guavascale.TaskID
	// mayHaveRun is set once a byte of any attempt was written and the
	// endpoint did not reject it.
	mayHaveRun bool
}

// claimTime bounds the release and the record of a claim, which happen after
// the request's own deadline may have passed.
const claimTime = 2 * time.Second

func (g *Gateway) handle(ctx *fasthttp.RequestCtx) {
	g.active.Add(1)
	defer g.active.Add(-1)
	switch string(ctx.RequestURI()) {
	case LivePath:
		answerProbe(ctx, true)
		return
	case ReadyPath:
		answerProbe(ctx, g.Ready())
		return
	}
	started := time.Now()
	defer g.meters.latency.UpdateSince(started)
	g.meters.requests.Inc(1)
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
	g.meters.answered.Inc(1)
}

// recover keeps a programming fault in one request from ending the process.
func (r *request) recover() {
	fault := recover()
	if fault == nil {
		return
	}
	r.g.Log.Error().Interface("Fault", fault).Msg("gateway: request handler panicked")
	r.fail(&failure{guavascale.OutcomeUnknown, fasthttp.StatusBadGateway, "internal fault"})
}

// parse reads the request's line and headers.
func (r *request) parse(started time.Time) *failure {
	h := &r.ctx.Request.Header
	snap := r.g.snapshot.Load()
	if snap == nil {
		return &failure{guavascale.OutcomeNotRun, fasthttp.StatusServiceUnavailable, "the daemon is starting"}
	}
	method := string(h.Method())
	if !allowed(method) {
		return badRequest("method " + strconv.Quote(method) + " is not supported")
	}
	if len(h.Host()) == 0 {
		return badRequest("header Host is missing")
	}
	if (h.IsGet() || h.IsHead()) && len(r.ctx.Request.Body()) > 0 {
		return badRequest("a GET or HEAD request has no body")
	}
	if twoLengths(r.ctx.Request.Header.RawHeaders()) {
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
	r.idempotent = idempotent(method, s)
	if !r.idempotent {
		r.key = string(h.Peek(headerKey))
	}
	r.deadline = started.Add(limit)
	return nil
}

// twoLengths reports whether headers give a length in both ways. The HTTP
// library takes the chunked one, but such a message may be an attempt at
// request smuggling.
func twoLengths(raw []byte) bool {
	lower := append([]byte{'\n'}, bytes.ToLower(raw)...)
	return bytes.Contains(lower, []byte("\ntransfer-encoding")) && bytes.Contains(lower, []byte("\ncontent-length"))
}

// serviceName returns the first segment of a path. The path is forwarded as it
// came; one with dot segments is refused, since an endpoint could resolve it to
// another service than the one that was checked here.
func serviceName(uri string) (string, error) {
	path, _, _ := strings.Cut(uri, "?")
	bad := &guavascale.ValidationError{Field: "path", Value: path, Allowed: "/{service}/... without dot segments"}
	if !strings.HasPrefix(path, "/") {
		return "", bad
	}
	segments := strings.Split(path[1:], "/")
	for _, s := range segments {
		plain, err := url.PathUnescape(s)
		if err != nil || plain == "." || plain == ".." {
			return "", bad
		}
	}
	return segments[0], nil
}

func allowed(method string) bool {
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

// serve answers the request, with a claim when it has a key.
func (r *request) serve() *failure {
	if r.key == "" {
		_, f := r.forward()
		return f
	}
	if r.overloaded() {
		return overload()
	}
	if r.g.Claims == nil {
		return unavailable("idempotency keys are not available")
	}
	ctx, cancel := context.WithDeadline(context.Background(), r.deadline)
	defer cancel()
	token, err := r.g.Claims.Claim(ctx, r.key)
	var already *guavascale.AlreadyRunError
	if errors.As(err, &already) {
		return r.replay(already)
	}
	if err != nil {
		return unavailable("the idempotency key could not be claimed: " + err.Error())
	}
	answer, f := r.forward()
	r.settle(token, answer, f)
	return f
}

// settle gives the claim back when the request certainly did not run, and
// records its answer. With an unknown outcome the claim stays.
func (r *request) settle(token guavascale.ClaimToken, answer guavascale.Answer, f *failure) {
	g := r.g
	switch {
	case f == nil:
		record := func() {
			ctx, cancel := context.WithTimeout(context.Background(), claimTime)
			defer cancel()
			if err := g.Claims.Finish(ctx, token, answer); err != nil {
				g.Log.Warn().Err(err).Msg("gateway: answer of a claim not recorded")
			}
		}
		if g.finish.Go(record) != nil {
			record()
		}
	case f.outcome == guavascale.OutcomeNotRun:
		// Before the caller is told, so that its repeat finds the key free.
		ctx, cancel := context.WithTimeout(context.Background(), claimTime)
		defer cancel()
		if err := g.Claims.Release(ctx, token); err != nil {
			g.Log.Warn().Err(err).Msg("gateway: claim not released")
		}
	}
}

func (r *request) replay(e *guavascale.AlreadyRunError) *failure {
	if e.Answer == nil {
		return &failure{guavascale.OutcomeAlreadyRun, fasthttp.StatusConflict, e.Error()}
	}
	r.g.meters.outcome(guavascale.OutcomeAlreadyRun)
	resp := &r.ctx.Response
	resp.Reset()
	resp.SetStatusCode(e.Answer.Status)
	resp.Header.SetContentType(e.Answer.ContentType)
	resp.Header.Set(headerOutcome, string(guavascale.OutcomeAlreadyRun))
	resp.SetBody(e.Answer.Body)
	return nil
}

// forward sends the request until it is answered or may not be sent again.
func (r *request) forward() (guavascale.Answer, *failure) {
	pick, f := r.admit()
	if f != nil {
		return guavascale.Answer{}, f
	}
	for {
		t := r.send(pick)
		if t.answered() {
			defer t.release()
			return r.answer(t.resp), nil
		}
		rep := t.rep
		t.release()
		next, ok := r.retry(rep)
		if !ok {
			return guavascale.Answer{}, r.failure(rep)
		}
		pick = next
	}
}

// retry takes a slot for another attempt. A non-idempotent request is not sent
// again once a byte of it was written, even when the endpoint rejected it.
func (r *request) retry(rep reply) (guavaroute.Pick, bool) {
	if rep.wrote && !r.idempotent {
		return guavaroute.Pick{}, false
	}
	if !time.Now().Before(r.deadline) {
		return guavaroute.Pick{}, false
	}
	return r.nextPick()
}

// nextPick takes a slot of an endpoint not tried yet, and one retry of the
// budget.
func (r *request) nextPick() (guavaroute.Pick, bool) {
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.router.Retry(g.Clock.Now(), r.service.Name, r.tried)
	if ok {
		g.meters.retries.Inc(1)
	}
	return p, ok
}

// failure is the outcome after the last attempt.
func (r *request) failure(rep reply) *failure {
	reason := "the endpoint rejected the request"
	if rep.err != nil {
		reason = rep.err.Error()
	}
	switch {
	case !r.mayHaveRun:
		return unavailable(reason)
	case rep.timedOut():
		return &failure{guavascale.OutcomeUnknown, fasthttp.StatusGatewayTimeout, reason}
	default:
		return &failure{guavascale.OutcomeUnknown, fasthttp.StatusBadGateway, reason}
	}
}

// answer copies an endpoint's answer to the caller's.
func (r *request) answer(resp *fasthttp.Response) guavascale.Answer {
	for _, h := range hopHeaders {
		resp.Header.Del(h)
	}
	resp.Header.Del(headerOutcome)
	resp.Header.Del(headerRequestID)
	out := &r.ctx.Response
	resp.CopyTo(out)
	out.Header.ResetConnectionClose()
	out.SkipBody = resp.SkipBody
	if id := r.ctx.Request.Header.Peek(headerRequestID); len(id) > 0 {
		out.Header.SetBytesV(headerRequestID, id)
	}
	return guavascale.Answer{
		Status:      out.StatusCode(),
		ContentType: string(out.Header.ContentType()),
		Body:        append([]byte(nil), out.Body()...),
	}
}

// prepare copies a caller's request for an endpoint.
func prepare(req, from *fasthttp.Request) {
	from.CopyTo(req)
	// Setting the unparsed URI keeps the library from normalizing the path.
	req.SetRequestURIBytes(from.Header.RequestURI())
	for _, h := range hopHeaders {
		req.Header.Del(h)
	}
	req.Header.ResetConnectionClose()
	// A caller may speak HTTP/1.0, whose answers need not have a length.
	req.Header.SetProtocol("HTTP/1.1")
	req.UseHostHeader = true
}

func answerProbe(ctx *fasthttp.RequestCtx, ok bool) {
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
	ctx.SetContentType("application/json")
	ctx.SetBodyString(`{"Ok":` + strconv.FormatBool(ok) + "}\n")
}
