package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavaoperator"
)

const token = "correct-horse-battery"

// backend applies changes in memory. If err is set, Submit and DeclareJob return
// it, Submit without applying the change. If loseResponse is set, the next
// configuration change is applied and Submit returns errLost.
type backend struct {
	guavaoperator.Backend
	mu   sync.Mutex
	doc  guavascale.Config
	jobs map[string]guavascale.Job
	err  error
	// loseResponse is reset by the change that it affects.
	loseResponse bool
}

var errLost = &guavascale.UnavailableError{System: "table", Op: "Commit", MayHaveApplied: true, Cause: io.EOF}

func (b *backend) Config() (guavascale.Config, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.doc, true
}

func (b *backend) Submit(_ context.Context, c guavaconfig.Change) (guavascale.Config, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return b.doc, b.err
	}
	var err error
	b.doc, err = guavaconfig.Apply(b.doc, c)
	if err == nil && b.loseResponse {
		b.loseResponse = false
		return b.doc, errLost
	}
	return b.doc, err
}

func (b *backend) DeclareJob(_ context.Context, j guavascale.Job) (guavaoperator.JobStatus, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old, ok := b.jobs[j.ID]; ok && old != j {
		return guavaoperator.JobStatus{}, &guavascale.ConditionError{Key: "Job/" + j.ID, Have: 1}
	}
	b.jobs[j.ID] = j
	return guavaoperator.JobStatus{Job: j, State: guavaoperator.JobActive}, b.err
}

func (b *backend) CancelJob(ctx context.Context, _, id string) (guavaoperator.JobStatus, error) {
	return b.Job(ctx, id)
}

func (b *backend) Job(_ context.Context, id string) (guavaoperator.JobStatus, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	j, ok := b.jobs[id]
	if !ok {
		return guavaoperator.JobStatus{}, &guavascale.NotFoundError{Kind: "job", Name: id}
	}
	return guavaoperator.JobStatus{Job: j, State: guavaoperator.JobActive}, nil
}

func (b *backend) Jobs(context.Context, guavaoperator.JobFilter) (guavaoperator.JobPage, error) {
	return guavaoperator.JobPage{Missing: []string{"brest-2"}}, nil
}

func (b *backend) Tasks(context.Context, guavaoperator.TaskFilter) (guavaoperator.TaskPage, error) {
	t := guavascale.Task{ID: "a/1", State: guavascale.TaskUnplaceable, Reason: "larger than any worker"}
	return guavaoperator.TaskPage{Tasks: []guavascale.Task{t}, More: true}, nil
}

func (b *backend) Hosts(context.Context) (guavaoperator.HostPage, error) {
	h := func(id guavascale.WorkerID, zone guavascale.Zone) guavaoperator.HostStatus {
		return guavaoperator.HostStatus{Worker: guavascale.Worker{ID: id, Zone: zone}, State: guavaoperator.HostBackoff}
	}
	return guavaoperator.HostPage{Hosts: []guavaoperator.HostStatus{h("w1", "Rennes"), h("w2", "Vannes")}}, nil
}

func (b *backend) State(context.Context) (any, error) { return struct{ Shards int }{3}, nil }

// serve starts a server of the operator API and returns its backend and
// address. It sets GUAVACTL_ADDRESS to an address that refuses connections
// followed by that of the server.
func serve(t *testing.T) (*backend, string) {
	b := &backend{doc: guavaconfig.Initial(), jobs: map[string]guavascale.Job{}}
	s := &guavaoperator.Server{Backend: b, Credentials: []guavaconfig.Credential{{Name: "loic", Token: token}}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	t.Cleanup(func() {
		require.NoError(t, s.Shutdown(context.Background()))
		require.NoError(t, <-done)
	})
	t.Setenv("GUAVACTL_ADDRESS", refusingAddress(t)+","+ln.Addr().String())
	t.Setenv("GUAVACTL_TOKEN", token)
	return b, ln.Addr().String()
}

// refusingAddress returns an address that refuses connections.
func refusingAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, ln.Close())
	return ln.Addr().String()
}

// writeFile writes text to a temporary file and returns its path.
func writeFile(t *testing.T, text string) string {
	name := filepath.Join(t.TempDir(), "in.jsonc")
	require.NoError(t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

// guavactl runs the program and returns its exit code, standard output and
// standard error.
func guavactl(args ...string) (int, string, string) {
	var out, errOut bytes.Buffer
	code := run(args, &out, &errOut)
	return code, out.String(), errOut.String()
}

const (
	goodService = `{"Name": "checkout", "Kind": "licence", "Team": "desk", "Instances": 4, "TargetMs": 50, "Size": {"MilliCores": 2000, "MemoryMB": 4096}}`
	goodJob     = `{"ID": "audit", "Team": "desk", "Kind": "pack", "Tasks": 3, "Size": {"MilliCores": 1000, "MemoryMB": 1024}}`
)

// Guards against exit codes that report a wrong outcome to a script, and against
// error messages that lack the command or the cause.
func TestExitCodes(t *testing.T) {
	down := &guavascale.UnavailableError{System: "table", Op: "Get", Cause: io.EOF}
	tests := map[string]struct {
		args    string
		file    string
		err     error
		code    int
		out     string
		message string
	}{
		"create preset":       {args: "presets create FILE", file: `{"Name": "peak"}`, out: "VERSION"},
		"list presets":        {args: "presets list", out: "ordinary  yes"},
		"show preset":         {args: "presets show ordinary", out: `"BatchLeaseSeconds": 720`},
		"use preset":          {args: "presets use ordinary", out: "VERSION"},
		"zone out":            {args: "zones out Rennes --id a", out: "a   2"},
		"zone out, no worker": {args: "zones out Renes", out: "VERSION", message: `no worker of zone "Renes"`},
		"list zones":          {args: "zones list", out: "Vannes"},
		"declare service":     {args: "services declare FILE", file: goodService, out: "VERSION"},
		"set quota":           {args: "quotas set desk --milli-cores 1 --memory-mb 1", out: "VERSION"},
		"list quotas":         {args: "quotas list", out: "TEAM"},
		"list services":       {args: "services list -o json", out: "{}"},
		"declare job":         {args: "jobs declare FILE --id x", file: goodJob, out: "change x"},
		"show job":            {args: "jobs show old", out: "Active"},
		"cancel job":          {args: "jobs cancel old --id y", out: "change y"},
		"list jobs":           {args: "jobs list", out: "JOB", message: "did not answer: brest-2"},
		"list tasks":          {args: "tasks", out: "larger than any worker", message: "--after a/1"},
		"list hosts":          {args: "hosts --zone Rennes", out: "w1"},
		"config":              {args: "config", out: `"Version": 1`},
		"version":             {args: "version", out: "guavactl"},
		"help":                {args: "--help", out: "Exit codes:"},

		"credential":      {args: "config --address WRONGTOKEN", code: exitFailure, message: "credential is missing or unknown"},
		"no command":      {args: "", code: exitUsage, message: "--help"},
		"unknown flag":    {args: "zones list --foo", code: exitUsage, message: "--foo"},
		"no file":         {args: "presets create /nowhere/x", code: exitUsage, message: "/nowhere/x"},
		"unknown field":   {args: "presets create FILE", file: `{"Nam": "peak"}`, code: exitUsage, message: "field Nam"},
		"out of range":    {args: "presets create FILE", file: `{"Name": "peak", "RetryRatio": 2}`, code: exitUsage, message: "Presets.peak.RetryRatio has value 2; allowed: 0 to 1"},
		"bad job":         {args: "jobs declare FILE", file: `{"ID": "a"}`, code: exitUsage, message: "Job.Team"},
		"bad page":        {args: "tasks --limit 20000", code: exitUsage, message: "Limit"},
		"stale version":   {args: "zones out Brest --if-version 9", code: exitConflict, message: "zones out Brest --if-version 9: the change is based on configuration version 9, but version 1 is in force"},
		"other job":       {args: "jobs declare FILE", file: strings.Replace(goodJob, "audit", "old", 1), code: exitConflict, message: "Job/old"},
		"unknown preset":  {args: "presets use peak", code: exitNotFound, message: `preset "peak" does not exist`},
		"no such preset":  {args: "presets show peak", code: exitNotFound, message: `preset "peak"`},
		"no such service": {args: "services remove checkout", code: exitNotFound, message: `service "checkout"`},
		"zone not out":    {args: "zones back Brest", code: exitNotFound, message: `"Brest"`},
		"no such quota":   {args: "quotas remove desk", code: exitNotFound, message: `"desk"`},
		"no such job":     {args: "jobs cancel none", code: exitNotFound, message: `job "none"`},
		"store down":      {args: "zones out Brest", err: down, code: exitUnavailable, message: "table did not answer Get"},
		"no daemon":       {args: "config --address REFUSED", code: exitUnavailable, message: "refused"},
		"answer lost":     {args: "zones out Brest --id a", err: errLost, code: exitUnknown, message: "--id a --if-version 1"},
		"job answer lost": {args: "jobs declare FILE --id a", file: goodJob, err: errLost, code: exitUnknown, message: "with --id a"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b, address := serve(t)
			b.err = tt.err
			b.jobs["old"] = guavascale.Job{ID: "old"}
			if strings.Contains(tt.args, "WRONGTOKEN") {
				t.Setenv("GUAVACTL_TOKEN", "wrong")
			}
			args := strings.NewReplacer("WRONGTOKEN", address, "REFUSED", refusingAddress(t), "FILE", writeFile(t, tt.file)).Replace(tt.args)
			code, out, errOut := guavactl(strings.Fields(args)...)
			assert.Equal(t, tt.code, code, errOut)
			assert.Contains(t, out, tt.out)
			assert.Contains(t, errOut, tt.message)
			assert.NotContains(t, out+errOut, token)
		})
	}
}

// Guards against a change that is applied twice when the command is repeated
// after an unknown outcome, with the flags that the error message names.
func TestRepeatAfterLostResponse(t *testing.T) {
	b, _ := serve(t)
	b.loseResponse = true
	code, _, errOut := guavactl("zones", "out", "Brest")
	require.Equal(t, exitUnknown, code)
	flags := regexp.MustCompile(`with (--id \S+ --if-version \d+)`).FindStringSubmatch(errOut)
	require.NotNil(t, flags, errOut)
	for range 2 {
		code, _, errOut = guavactl(append([]string{"zones", "out", "Brest"}, strings.Fields(flags[1])...)...)
		require.Equal(t, exitOK, code, errOut)
	}
	assert.Equal(t, uint64(2), b.doc.Version)
}

// Guards against output that is not valid JSON with --output json, and against
// a JSON error with missing or wrong fields.
func TestJSONOutput(t *testing.T) {
	_, address := serve(t)
	for _, args := range []string{"zones list", "presets list", "tasks", "hosts", "jobs list", "config", "version", "dump " + address, "zones out Rennes"} {
		code, out, _ := guavactl(append(strings.Fields(args), "--output", "json")...)
		require.Equal(t, exitOK, code, args)
		assert.True(t, json.Valid([]byte(out)), args)
	}
	code, _, errOut := guavactl("presets", "use", "peak", "-o", "json")
	var got failure
	require.NoError(t, json.Unmarshal([]byte(errOut), &got))
	assert.Equal(t, exitNotFound, code)
	assert.Equal(t, failure{
		ErrorBody: guavaoperator.ErrorBody{Error: `preset "peak" does not exist`, Kind: guavaoperator.KindNotFound, What: "preset", Name: "peak"},
		Asked:     "presets use peak -o json", ExitCode: exitNotFound,
	}, got)
}

// Guards against a token that is accepted on the command line, where other users
// could read it, or that is not read from the token file.
func TestTokenSources(t *testing.T) {
	serve(t)
	t.Setenv("GUAVACTL_TOKEN", "")
	code, _, errOut := guavactl("config")
	assert.Equal(t, exitUsage, code)
	assert.Contains(t, errOut, "GUAVACTL_TOKEN_FILE")
	code, _, _ = guavactl("config", "--token", token)
	assert.Equal(t, exitUsage, code)
	t.Setenv("GUAVACTL_TOKEN_FILE", writeFile(t, token+"\n"))
	code, _, errOut = guavactl("config")
	assert.Equal(t, exitOK, code, errOut)
}
