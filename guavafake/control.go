package guavafake

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"guavascale.example"
)

type (
	// State is the state of a platform as the control API returns it.
	State struct {
		Table   StoreCounts
		Objects StoreCounts
		Verdict Verdict
		// Running contains the attempts that have not ended, by worker.
		Running map[guavascale.WorkerID][]guavascale.AttemptID
		// Runs counts the requests that ran, by tag.
		Runs      map[string]int
		Endpoints map[guavascale.WorkerID]EndpointCounts
	}

	// WorkerAction is an action that the control API performs on a worker.
	WorkerAction string

	// Control is a client of the control API. Its methods fail with
	// NotFoundError for an unknown worker.
	Control struct {
		// Address is the platform's host and port.
		Address string
	}

	workerControl struct {
		Worker guavascale.WorkerID
		Action WorkerAction
		// Faults replaces the worker's faults unless it is nil.
		Faults *WorkerFaults
	}
)

const (
	ActionKill    WorkerAction = "Kill"
	ActionRestart WorkerAction = "Restart"
	ActionLeave   WorkerAction = "Leave"
	// ActionStay reverts ActionLeave.
	ActionStay WorkerAction = "Stay"
)

const (
	pathControlState   = "/control/state"
	pathControlTable   = "/control/table"
	pathControlObjects = "/control/objects"
	pathControlHosts   = "/control/hosts"
	pathControlWorkers = "/control/workers"

	// controlTimeout is long enough to transfer the state of a large fleet.
	controlTimeout = 30 * time.Second
)

// State returns the counters and what the fleet observed.
func (p *Platform) State() State {
	return State{
		Table:     p.Table.Counts(),
		Objects:   p.Objects.Counts(),
		Verdict:   p.Fleet.Verdict(),
		Running:   p.Fleet.Running(),
		Runs:      p.Endpoints.Runs(),
		Endpoints: p.Endpoints.Counts(),
	}
}

// Act performs an action on a worker. It fails with NotFoundError for an
// unknown worker and with ValidationError for an unknown action.
func (f *Fleet) Act(id guavascale.WorkerID, a WorkerAction) error {
	switch a {
	case ActionKill:
		return f.Kill(id)
	case ActionRestart:
		return f.Restart(id)
	case ActionLeave, ActionStay:
		return f.SetLeaving(id, a == ActionLeave)
	default:
		return &guavascale.ValidationError{Field: "Action", Value: string(a), Allowed: "Kill, Restart, Leave or Stay"}
	}
}

// Act performs an action on a worker and its endpoint: the endpoint of a killed
// worker refuses connections until the worker is restarted. It fails as
// Fleet.Act does, and when the endpoint cannot be reopened.
func (p *Platform) Act(id guavascale.WorkerID, a WorkerAction) error {
	if err := p.Fleet.Act(id, a); err != nil {
		return err
	}
	switch a {
	case ActionKill:
		return p.Endpoints.Refuse(id)
	case ActionRestart:
		return p.Endpoints.Accept(id)
	default:
		return nil
	}
}

func (p *Platform) serveState(ctx *fasthttp.RequestCtx) {
	handleJSON(ctx, func(emptyMessage) (State, error) { return p.State(), nil })
}

func (p *Platform) serveTableFaults(ctx *fasthttp.RequestCtx) {
	handleJSON(ctx, func(q StoreFaults) (emptyMessage, error) {
		p.Table.SetFaults(q)
		return emptyMessage{}, nil
	})
}

func (p *Platform) serveObjectsFaults(ctx *fasthttp.RequestCtx) {
	handleJSON(ctx, func(q StoreFaults) (emptyMessage, error) {
		p.Objects.SetFaults(q)
		return emptyMessage{}, nil
	})
}

func (p *Platform) serveHostListFaults(ctx *fasthttp.RequestCtx) {
	handleJSON(ctx, func(q HostListFaults) (emptyMessage, error) {
		p.Fleet.SetHostListFaults(q)
		return emptyMessage{}, nil
	})
}

func (p *Platform) serveWorkerControl(ctx *fasthttp.RequestCtx) {
	handleJSON(ctx, func(q workerControl) (emptyMessage, error) {
		if q.Faults != nil {
			if err := p.Fleet.SetFaults(q.Worker, *q.Faults); err != nil {
				return emptyMessage{}, err
			}
		}
		if q.Action == "" {
			return emptyMessage{}, nil
		}
		return emptyMessage{}, p.Act(q.Worker, q.Action)
	})
}

// State returns the counters and what the fleet observed.
func (c Control) State() (State, error) {
	var s State
	err := c.post(pathControlState, emptyMessage{}, &s)
	return s, err
}

// SetTableFaults replaces the faults of the table.
func (c Control) SetTableFaults(f StoreFaults) error { return c.post(pathControlTable, f, nil) }

// SetObjectsFaults replaces the faults of the object store.
func (c Control) SetObjectsFaults(f StoreFaults) error { return c.post(pathControlObjects, f, nil) }

// SetHostListFaults replaces the faults of the host list.
func (c Control) SetHostListFaults(f HostListFaults) error { return c.post(pathControlHosts, f, nil) }

// SetWorkerFaults replaces the faults of a worker.
func (c Control) SetWorkerFaults(id guavascale.WorkerID, f WorkerFaults) error {
	return c.post(pathControlWorkers, workerControl{Worker: id, Faults: &f}, nil)
}

// Act performs an action on a worker.
func (c Control) Act(id guavascale.WorkerID, a WorkerAction) error {
	return c.post(pathControlWorkers, workerControl{Worker: id, Action: a}, nil)
}

func (c Control) post(path string, q, a any) error {
	body, err := json.Marshal(q)
	if err != nil {
		return err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.Address + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	if err := fasthttp.DoTimeout(req, resp, controlTimeout); err != nil {
		return &guavascale.UnavailableError{System: "platform", Op: path, MayHaveApplied: true, Cause: err}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return controlError(path, resp)
	}
	if a == nil {
		return nil
	}
	return json.Unmarshal(resp.Body(), a)
}

func controlError(path string, resp *fasthttp.Response) error {
	var e errorResponse
	err := json.Unmarshal(resp.Body(), &e)
	switch {
	case err == nil && e.NotFound != nil:
		return e.NotFound
	case err == nil && e.Validation != nil:
		return e.Validation
	default:
		return fmt.Errorf("%s returned status %d: %s", path, resp.StatusCode(), resp.Body())
	}
}
