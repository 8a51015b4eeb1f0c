package guavaoperator

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"guavascale.example"
	"guavascale.example/guavaconfig"
)

// route is one method and path of the API. The path contains at most one "*",
// which matches a path parameter.
type route struct {
	method string
	path   string
	handle func(*Server, *call) (any, error)
	// public routes require no credential.
	public bool
	// metrics routes are also served by the metrics listener, without
	// credential.
	metrics  bool
	mutating bool
}

var routes = []route{
	{method: "GET", path: "/-/live", handle: live, public: true},
	{method: "GET", path: "/-/ready", handle: ready, public: true},
	{method: "GET", path: "/Metrics", handle: showMetrics, metrics: true},
	{method: "GET", path: "/Config", handle: config},
	{method: "POST", path: "/Config/Changes", handle: submit, mutating: true},
	{method: "GET", path: "/Presets", handle: presets},
	{method: "GET", path: "/Presets/*", handle: preset},
	{method: "GET", path: "/Services", handle: services},
	{method: "GET", path: "/Services/*", handle: service},
	{method: "GET", path: "/Quotas", handle: quotas},
	{method: "GET", path: "/Zones", handle: zones},
	{method: "GET", path: "/Jobs", handle: jobs},
	{method: "POST", path: "/Jobs", handle: declareJob, mutating: true},
	{method: "GET", path: "/Jobs/*", handle: job},
	{method: "POST", path: "/Jobs/*/Cancel", handle: cancelJob, mutating: true},
	{method: "GET", path: "/Tasks", handle: tasks},
	{method: "GET", path: "/Hosts", handle: hosts},
	{method: "GET", path: "/State", handle: state},
}

// findRoute returns the route for a method and path, and the path parameter.
func findRoute(method, path string) (route, string, error) {
	pathExists := false
	for _, r := range routes {
		name, ok := matchPath(r.path, path)
		if ok && r.method == method {
			return r, name, nil
		}
		pathExists = pathExists || ok
	}
	if pathExists {
		return route{}, "", &StatusError{Status: fasthttp.StatusMethodNotAllowed, Message: "the path does not have this method"}
	}
	return route{}, "", &guavascale.NotFoundError{Kind: "path", Name: path}
}

// matchPath returns the path parameter, which is not empty and contains no
// slash, and whether path matches pattern.
func matchPath(pattern, path string) (string, bool) {
	before, after, hasParam := strings.Cut(pattern, "*")
	if !hasParam {
		return "", pattern == path
	}
	rest, ok := strings.CutPrefix(path, before)
	if !ok {
		return "", false
	}
	name, ok := strings.CutSuffix(rest, after)
	return name, ok && name != "" && !strings.Contains(name, "/")
}

func live(*Server, *call) (any, error) { return struct{ Live bool }{true}, nil }

func ready(s *Server, _ *call) (any, error) {
	if err := s.Backend.Ready(); err != nil {
		return nil, &guavascale.UnavailableError{System: "daemon", Op: "readiness", Cause: err}
	}
	return struct{ Ready bool }{true}, nil
}

func showMetrics(s *Server, _ *call) (any, error) {
	registry := s.Metrics
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	var out bytes.Buffer
	metrics.WriteJSONOnce(registry, &out)
	return json.RawMessage(out.Bytes()), nil
}

func (s *Server) document() (guavascale.Config, error) {
	c, ok := s.Backend.Config()
	if !ok {
		return c, &guavascale.UnavailableError{System: "configuration", Op: "read", Cause: errNoDocument}
	}
	return c, nil
}

func config(s *Server, _ *call) (any, error) { return s.document() }

func submit(s *Server, c *call) (any, error) {
	change, err := guavaconfig.ParseChange(c.PostBody())
	if err != nil {
		return nil, err
	}
	doc, err := s.Backend.Submit(c.ctx, change)
	if err != nil {
		return nil, err
	}
	version, _ := guavaconfig.AppliedVersion(doc, change.ID)
	return ChangeResult{ID: change.ID, Version: version, InForce: doc.Version}, nil
}

func presets(s *Server, _ *call) (any, error) {
	c, err := s.document()
	return c.Presets, err
}

func preset(s *Server, c *call) (any, error) {
	doc, err := s.document()
	if err != nil {
		return nil, err
	}
	p, ok := doc.Presets[c.pathParam]
	if !ok {
		return nil, &guavascale.NotFoundError{Kind: "preset", Name: c.pathParam}
	}
	return guavaconfig.Defaults(p), nil
}

func services(s *Server, _ *call) (any, error) {
	c, err := s.document()
	return c.Services, err
}

func service(s *Server, c *call) (any, error) {
	doc, err := s.document()
	if err != nil {
		return nil, err
	}
	found, ok := doc.Services[c.pathParam]
	if !ok {
		return nil, &guavascale.NotFoundError{Kind: "service", Name: c.pathParam}
	}
	return found, nil
}

func quotas(s *Server, _ *call) (any, error) {
	c, err := s.document()
	return c.Quotas, err
}

func zones(s *Server, c *call) (any, error) {
	doc, err := s.document()
	if err != nil {
		return nil, err
	}
	page, err := s.Backend.Hosts(c.ctx)
	if err != nil {
		return nil, err
	}
	return zoneList(doc, page), nil
}

// zoneList counts workers and tasks per zone. It includes the zones that are
// out of service and have no workers.
func zoneList(doc guavascale.Config, page HostPage) ZoneList {
	byZone := map[guavascale.Zone]ZoneStatus{}
	for zone := range doc.ZonesOut {
		byZone[zone] = ZoneStatus{Zone: zone, Out: true}
	}
	for _, h := range page.Hosts {
		z := byZone[h.Worker.Zone]
		z.Zone = h.Worker.Zone
		z.Workers++
		z.Tasks += h.Tasks
		byZone[z.Zone] = z
	}
	out := ZoneList{Zones: []ZoneStatus{}, Missing: page.Missing}
	for _, z := range byZone {
		out.Zones = append(out.Zones, z)
	}
	slices.SortFunc(out.Zones, compareZones)
	return out
}

func declareJob(s *Server, c *call) (any, error) {
	var req JobRequest
	if err := guavaconfig.Decode(c.PostBody(), &req); err != nil {
		return nil, err
	}
	if err := guavaconfig.ValidateName("ID", req.ID); err != nil {
		return nil, err
	}
	if req.Job.ID == "" {
		req.Job.ID = req.ID
	}
	if err := ValidateJob(req.Job); err != nil {
		return nil, err
	}
	return s.Backend.DeclareJob(c.ctx, req.Job)
}

func cancelJob(s *Server, c *call) (any, error) {
	var req CancelRequest
	if err := guavaconfig.Decode(c.PostBody(), &req); err != nil {
		return nil, err
	}
	if err := guavaconfig.ValidateName("ID", req.ID); err != nil {
		return nil, err
	}
	return s.Backend.CancelJob(c.ctx, req.ID, c.pathParam)
}

func job(s *Server, c *call) (any, error) { return s.Backend.Job(c.ctx, c.pathParam) }

func jobs(s *Server, c *call) (any, error) {
	var f JobFilter
	err := c.query(&f.Page, map[string]func(string){
		"Team":  func(v string) { f.Team = v },
		"State": func(v string) { f.State = JobState(v) },
	})
	if err != nil {
		return nil, err
	}
	return s.Backend.Jobs(c.ctx, f)
}

func tasks(s *Server, c *call) (any, error) {
	var f TaskFilter
	err := c.query(&f.Page, map[string]func(string){
		"Job":     func(v string) { f.Job = v },
		"Service": func(v string) { f.Service = v },
		"Worker":  func(v string) { f.Worker = guavascale.WorkerID(v) },
		"State":   func(v string) { f.State = guavascale.TaskState(v) },
	})
	if err != nil {
		return nil, err
	}
	return s.Backend.Tasks(c.ctx, f)
}

func hosts(s *Server, c *call) (any, error) { return s.Backend.Hosts(c.ctx) }

func state(s *Server, c *call) (any, error) { return s.Backend.State(c.ctx) }

// query parses the query parameters of a list call and rejects unknown ones.
// The keys of set are the parameters of the list besides those of the page.
func (c *call) query(p *Page, set map[string]func(string)) error {
	for k, v := range c.QueryArgs().All() {
		name, value := string(k), string(v)
		switch {
		case name == "After":
			p.After = value
		case name == "Limit":
			n, err := strconv.Atoi(value)
			if err != nil || n < 1 {
				return invalid("Limit", strconv.Quote(value), "1 to "+strconv.Itoa(MaxPage))
			}
			p.Limit = n
		case set[name] != nil:
			set[name](value)
		default:
			return invalid(name, strconv.Quote(value), "no parameter of this name")
		}
	}
	return p.normalize()
}
