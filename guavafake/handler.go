package guavafake

import (
	"encoding/json"
	"errors"
	"strings"

	"github.com/valyala/fasthttp"

	"guavascale.example"
)

type (
	getRequest struct {
		Key string
	}

	scanRequest struct {
		Prefix string
		After  string
		Limit  int
	}

	scanResponse struct {
		Rows []guavascale.Row
	}

	commitResponse struct {
		Version uint64
	}

	putRequest struct {
		Key  string
		Data []byte
	}

	fetchResponse struct {
		Data []byte
	}

	emptyMessage struct{}

	// errorResponse carries one error; exactly one field is set.
	errorResponse struct {
		NotFound    *guavascale.NotFoundError   `json:",omitempty"`
		Condition   *guavascale.ConditionError  `json:",omitempty"`
		Validation  *guavascale.ValidationError `json:",omitempty"`
		Order       *guavascale.OrderError      `json:",omitempty"`
		Unavailable *unavailableResponse        `json:",omitempty"`
		Other       string                      `json:",omitempty"`
	}

	unavailableResponse struct {
		System         string
		Op             string
		MayHaveApplied bool
		Cause          string
	}
)

const (
	pathAgents = "/agents/"
	pathOrders = "/orders"
)

// Handler returns the handler of all paths: /table/, /objects/, /hosts,
// /agents/<worker>/orders and /control/. Requests and responses are JSON.
func (p *Platform) Handler() fasthttp.RequestHandler {
	routes := map[string]fasthttp.RequestHandler{
		"/table/get":       p.serveGet,
		"/table/scan":      p.serveScan,
		"/table/commit":    p.serveCommit,
		"/objects/put":     p.servePut,
		"/objects/fetch":   p.serveFetch,
		"/objects/remove":  p.serveRemove,
		"/hosts":           p.serveHosts,
		pathControlState:   p.serveState,
		pathControlTable:   p.serveTableFaults,
		pathControlObjects: p.serveObjectsFaults,
		pathControlHosts:   p.serveHostListFaults,
		pathControlWorkers: p.serveWorkerControl,
	}
	return func(ctx *fasthttp.RequestCtx) {
		path := string(ctx.Path())
		if route, ok := routes[path]; ok {
			route(ctx)
			return
		}
		if id, ok := strings.CutPrefix(path, pathAgents); ok && strings.HasSuffix(id, pathOrders) {
			p.serveOrders(ctx, guavascale.WorkerID(strings.TrimSuffix(id, pathOrders)))
			return
		}
		writeError(ctx, &guavascale.NotFoundError{Kind: "path", Name: path})
	}
}

func (p *Platform) serveGet(ctx *fasthttp.RequestCtx) {
	handleJSON(ctx, func(q getRequest) (guavascale.Row, error) { return p.Table.Get(ctx, q.Key) })
}

func (p *Platform) serveScan(ctx *fasthttp.RequestCtx) {
	handleJSON(ctx, func(q scanRequest) (scanResponse, error) {
		rows, err := p.Table.Scan(ctx, q.Prefix, q.After, q.Limit)
		return scanResponse{Rows: rows}, err
	})
}

func (p *Platform) serveCommit(ctx *fasthttp.RequestCtx) {
	handleJSON(ctx, func(q guavascale.Commit) (commitResponse, error) {
		v, err := p.Table.Commit(ctx, q)
		return commitResponse{Version: v}, err
	})
}

func (p *Platform) servePut(ctx *fasthttp.RequestCtx) {
	handleJSON(ctx, func(q putRequest) (emptyMessage, error) {
		return emptyMessage{}, p.Objects.Put(ctx, q.Key, q.Data)
	})
}

func (p *Platform) serveFetch(ctx *fasthttp.RequestCtx) {
	handleJSON(ctx, func(q getRequest) (fetchResponse, error) {
		data, err := p.Objects.Fetch(ctx, q.Key)
		return fetchResponse{Data: data}, err
	})
}

func (p *Platform) serveRemove(ctx *fasthttp.RequestCtx) {
	handleJSON(ctx, func(q getRequest) (emptyMessage, error) {
		return emptyMessage{}, p.Objects.Remove(ctx, q.Key)
	})
}

func (p *Platform) serveHosts(ctx *fasthttp.RequestCtx) {
	handleJSON(ctx, func(q hostsRequest) (hostsResponse, error) {
		list, err := p.Fleet.Workers(ctx)
		if err != nil {
			return hostsResponse{}, err
		}
		return p.hosts.respond(q, list), nil
	})
}

func (p *Platform) serveOrders(ctx *fasthttp.RequestCtx, id guavascale.WorkerID) {
	handleJSON(ctx, func(q guavascale.Orders) (guavascale.Report, error) {
		return p.Fleet.Send(ctx, guavascale.Worker{ID: id}, q)
	})
}

// handleJSON decodes the request, passes it to call and encodes the result.
func handleJSON[Q, A any](ctx *fasthttp.RequestCtx, call func(Q) (A, error)) {
	var q Q
	if body := ctx.PostBody(); len(body) > 0 {
		if err := json.Unmarshal(body, &q); err != nil {
			writeError(ctx, &guavascale.ValidationError{Field: "body", Value: err.Error(), Allowed: "JSON of the request"})
			return
		}
	}
	resp, err := call(q)
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, resp)
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// writeError encodes a typed error. For a lost message or response it resets the
// connection instead, which is how a client observes the loss.
func writeError(ctx *fasthttp.RequestCtx, err error) {
	if errors.Is(err, errLostResponse) || errors.Is(err, errCutOff) {
		abortConnection(ctx, "")
		return
	}
	var e errorResponse
	var unavailable *guavascale.UnavailableError
	status := fasthttp.StatusInternalServerError
	switch {
	case errors.As(err, &e.NotFound):
		status = fasthttp.StatusNotFound
	case errors.As(err, &e.Condition), errors.As(err, &e.Order):
		status = fasthttp.StatusConflict
	case errors.As(err, &e.Validation):
		status = fasthttp.StatusBadRequest
	case errors.As(err, &unavailable):
		status = fasthttp.StatusServiceUnavailable
		e.Unavailable = &unavailableResponse{
			System:         unavailable.System,
			Op:             unavailable.Op,
			MayHaveApplied: unavailable.MayHaveApplied,
			Cause:          unavailable.Cause.Error(),
		}
	default:
		e.Other = err.Error()
	}
	writeJSON(ctx, status, e)
}
