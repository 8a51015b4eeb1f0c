// Package guavastore reaches the platform over HTTP: its table service, object
// store, host list and worker agents.
//
// The model: each client sends one JSON request per call over kept connections.
// A call has a deadline, which is set on its connection; when the deadline
// passes or the connection breaks, the call fails with UnavailableError and the
// connection is closed, so that a late answer never reaches another call. A call
// is never repeated by the client: only the caller knows how to find out whether
// it took effect. The errors that the platform reports are the error types of
// the root package.
//
// A context bounds a call by its deadline; a cancellation is noticed before the
// call only.
package guavastore

import (
	"context"
	"net/url"
	"time"

	"guavascale.example"
)

type (
	// Table is a client of the table service. It is usable once Address is
	// set, and must not be copied after the first call.
	Table struct {
		// Address is the host and port of the platform.
		Address string
		// Timeout bounds each call; 0 stands for DefaultTimeout.
		Timeout time.Duration

		caller caller
	}

	// Objects is a client of the object store. It is usable once Address is
	// set, and must not be copied after the first call.
	Objects struct {
		// Address is the host and port of the platform.
		Address string
		// Timeout bounds each call; 0 stands for DefaultTimeout.
		Timeout time.Duration

		caller caller
	}

	// HostList is a client of the host list. It is usable once Address is
	// set, and must not be copied after the first call.
	HostList struct {
		// Address is the host and port of the platform.
		Address string
		// Timeout bounds each call; 0 stands for DefaultTimeout.
		Timeout time.Duration

		caller caller
		cache  hostCache
	}

	// Agent is a client of all worker agents. Its zero value works; it must
	// not be copied after the first call.
	Agent struct {
		// Timeout bounds each call; 0 stands for DefaultTimeout.
		Timeout time.Duration

		caller caller
	}

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
)

// DefaultTimeout is shorter than the 3 s between renewals of a session, so that
// a call that hangs does not delay the next renewal.
const DefaultTimeout = 2 * time.Second

const (
	systemTable   = "table"
	systemObjects = "objects"
	systemHosts   = "host list"
)

var (
	_ guavascale.Table    = (*Table)(nil)
	_ guavascale.Objects  = (*Objects)(nil)
	_ guavascale.HostList = (*HostList)(nil)
	_ guavascale.Agent    = (*Agent)(nil)
)

// Get returns the row of a key.
func (t *Table) Get(ctx context.Context, key string) (guavascale.Row, error) {
	var row guavascale.Row
	err := t.do(ctx, call{op: "Get", path: "/table/get"}, getRequest{Key: key}, &row)
	return row, err
}

// Scan returns rows by prefix in key order.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]guavascale.Row, error) {
	var a scanResponse
	err := t.do(ctx, call{op: "Scan", path: "/table/scan"}, scanRequest{Prefix: prefix, After: after, Limit: limit}, &a)
	return a.Rows, err
}

// Commit applies a transaction.
func (t *Table) Commit(ctx context.Context, c guavascale.Commit) (uint64, error) {
	var a commitResponse
	err := t.do(ctx, call{op: "Commit", path: "/table/commit", write: true}, c, &a)
	return a.Version, err
}

func (t *Table) do(ctx context.Context, c call, q, a any) error {
	c.system, c.address, c.timeout = systemTable, t.Address, t.Timeout
	return t.caller.do(ctx, c, q, a)
}

// Put stores an object.
func (o *Objects) Put(ctx context.Context, key string, data []byte) error {
	return o.do(ctx, call{op: "Put", path: "/objects/put", write: true}, putRequest{Key: key, Data: data}, &emptyMessage{})
}

// Fetch returns an object.
func (o *Objects) Fetch(ctx context.Context, key string) ([]byte, error) {
	var a fetchResponse
	err := o.do(ctx, call{op: "Fetch", path: "/objects/fetch"}, getRequest{Key: key}, &a)
	return a.Data, err
}

// Remove deletes an object.
func (o *Objects) Remove(ctx context.Context, key string) error {
	return o.do(ctx, call{op: "Remove", path: "/objects/remove", write: true}, getRequest{Key: key}, &emptyMessage{})
}

func (o *Objects) do(ctx context.Context, c call, q, a any) error {
	c.system, c.address, c.timeout = systemObjects, o.Address, o.Timeout
	return o.caller.do(ctx, c, q, a)
}

// Send delivers orders to the agent at the worker's AgentAddress.
func (g *Agent) Send(ctx context.Context, w guavascale.Worker, o guavascale.Orders) (guavascale.Report, error) {
	var report guavascale.Report
	c := call{
		system:  "worker " + string(w.ID),
		op:      "Send",
		address: w.AgentAddress,
		path:    "/agents/" + url.PathEscape(string(w.ID)) + "/orders",
		timeout: g.Timeout,
		write:   true,
	}
	err := g.caller.do(ctx, c, o, &report)
	return report, err
}
