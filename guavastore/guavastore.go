// Package guavastore provides HTTP clients for the services of the platform: the
// table service, the object store, the host list and the worker agents.
//
// Each client sends one JSON request per call over reused connections. The
// deadline of a call is also set on its connection. If the deadline passes or the
// connection breaks, the call fails with UnavailableError and the connection is
// closed, so that a late response is never delivered to another call. Clients do
// not retry, because only the code that made a call can determine whether it took
// effect. Errors that the platform reports are returned as the error types of the
// root package.
//
// The deadline of a context limits a call. Cancellation of a context is checked
// only before a call is sent.
package guavastore

import (
	"context"
	"net/url"
	"time"

	"guavascale.example"
)

type (
	// Table is a client of the table service. It is ready to use once Address is
	// set, and must not be copied after the first call.
	Table struct {
		// Address is the host and port of the platform.
		Address string
		// Timeout limits each call; 0 means DefaultTimeout.
		Timeout time.Duration

		transport transport
	}

	// Objects is a client of the object store. It is ready to use once Address is
	// set, and must not be copied after the first call.
	Objects struct {
		// Address is the host and port of the platform.
		Address string
		// Timeout limits each call; 0 means DefaultTimeout.
		Timeout time.Duration

		transport transport
	}

	// HostList is a client of the host list. It is ready to use once Address is
	// set, and must not be copied after the first call.
	HostList struct {
		// Address is the host and port of the platform.
		Address string
		// Timeout limits each call; 0 means DefaultTimeout.
		Timeout time.Duration

		transport transport
		cache     hostCache
	}

	// Agent is a client of all worker agents. The zero value is ready to use. It
	// must not be copied after the first call.
	Agent struct {
		// Timeout limits each call; 0 means DefaultTimeout.
		Timeout time.Duration

		transport transport
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

// DefaultTimeout is the default timeout of a call. It is shorter than the 3 s
// between renewals of a session, so that a call that hangs does not delay the next
// renewal.
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

// Scan returns up to limit rows whose keys have a prefix and follow after, in key
// order.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]guavascale.Row, error) {
	var response scanResponse
	err := t.do(ctx, call{op: "Scan", path: "/table/scan"}, scanRequest{Prefix: prefix, After: after, Limit: limit}, &response)
	return response.Rows, err
}

// Commit applies a transaction and returns its version.
func (t *Table) Commit(ctx context.Context, c guavascale.Commit) (uint64, error) {
	var response commitResponse
	err := t.do(ctx, call{op: "Commit", path: "/table/commit", write: true}, c, &response)
	return response.Version, err
}

func (t *Table) do(ctx context.Context, c call, request, response any) error {
	c.system, c.address, c.timeout = systemTable, t.Address, t.Timeout
	return t.transport.do(ctx, c, request, response)
}

// Put stores an object.
func (o *Objects) Put(ctx context.Context, key string, data []byte) error {
	return o.do(ctx, call{op: "Put", path: "/objects/put", write: true}, putRequest{Key: key, Data: data}, &emptyMessage{})
}

// Fetch returns an object.
func (o *Objects) Fetch(ctx context.Context, key string) ([]byte, error) {
	var response fetchResponse
	err := o.do(ctx, call{op: "Fetch", path: "/objects/fetch"}, getRequest{Key: key}, &response)
	return response.Data, err
}

// Remove deletes an object.
func (o *Objects) Remove(ctx context.Context, key string) error {
	return o.do(ctx, call{op: "Remove", path: "/objects/remove", write: true}, getRequest{Key: key}, &emptyMessage{})
}

func (o *Objects) do(ctx context.Context, c call, request, response any) error {
	c.system, c.address, c.timeout = systemObjects, o.Address, o.Timeout
	return o.transport.do(ctx, c, request, response)
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
	err := g.transport.do(ctx, c, o, &report)
	return report, err
}
