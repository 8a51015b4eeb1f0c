package guavaoperator

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/guavaconfig"
)

var takeBrestOut = guavaconfig.Change{ID: "a", Based: 1, Kind: guavaconfig.TakeZoneOut, Name: "Brest"}

// Guards against errors that lose their type or fields on the way from the
// daemon to the client. The exit codes of guavactl and retries depend on them.
func TestClientRestoresErrors(t *testing.T) {
	tests := map[string]struct{ err, want error }{
		"validation":     {&guavascale.ValidationError{Field: "F", Value: "1", Allowed: "2"}, nil},
		"not found":      {&guavascale.NotFoundError{Kind: "preset", Name: "peak"}, nil},
		"conflict":       {&guavascale.ConflictError{Based: 3, InForce: 5}, nil},
		"different job":  {&guavascale.ConditionError{Key: "Job/a"}, &StatusError{409, `row "Job/a" has version 0, the commit requires 0`}},
		"store down":     {&guavascale.UnavailableError{System: "table", Op: "Get", Cause: io.EOF}, &guavascale.UnavailableError{System: "table", Op: "Get", Cause: &StatusError{503, "EOF"}}},
		"response lost":  {&guavascale.UnavailableError{System: "table", Op: "Commit", MayHaveApplied: true, Cause: io.EOF}, &guavascale.UnavailableError{System: "table", Op: "Commit", MayHaveApplied: true, Cause: &StatusError{503, "EOF"}}},
		"table reverted": {&guavaconfig.RevertError{Held: 3, Found: 2}, &guavascale.UnavailableError{System: "daemon", Op: "the call", Cause: &StatusError{503, "the table holds configuration version 2, but version 3 was in force already"}}},
		"invalid row":    {&guavascale.UnavailableError{System: "table", Op: "Get", Cause: &guavascale.ValidationError{Field: "F"}}, &guavascale.UnavailableError{System: "table", Op: "Get", Cause: &StatusError{503, "field F has value ; allowed: "}}},
		"unknown type":   {errors.New("odd"), &guavascale.UnavailableError{System: "daemon", Op: "the call", MayHaveApplied: true, Cause: &StatusError{500, "odd"}}},
	}
	b := newBackend()
	c := &Client{Addresses: []string{startServer(t, newServer(b))}, Token: token}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b.setError(tt.err)
			_, err := c.Submit(t.Context(), takeBrestOut)
			if tt.want == nil {
				tt.want = tt.err
			}
			assert.Equal(t, tt.want, err)
		})
	}
	b.setError(nil)
	_, err := (&Client{Addresses: c.Addresses, Token: "wrong"}).Config(t.Context())
	assert.Equal(t, &CredentialError{}, err)
}

// Guards against applying a repeated change twice, and against accepting a
// change based on an outdated version.
func TestSubmitRepeatAndConflict(t *testing.T) {
	b := newBackend()
	c := &Client{Addresses: []string{startServer(t, newServer(b))}, Token: token}
	for range 2 {
		got, err := c.Submit(t.Context(), takeBrestOut)
		require.NoError(t, err)
		assert.Equal(t, ChangeResult{ID: "a", Version: 2, InForce: 2}, got)
	}
	other := takeBrestOut
	other.ID = "b"
	_, err := c.Submit(t.Context(), other)
	assert.Equal(t, &guavascale.ConflictError{Based: 1, InForce: 2}, err)
	zones, err := c.Zones(t.Context())
	require.NoError(t, err)
	assert.Equal(t, []ZoneStatus{{Zone: "Brest", Out: true}, {Zone: "Rennes", Workers: 2, Tasks: 3}}, zones.Zones)
}

// Guards against accepting invalid jobs, and against request fields that do not
// reach the backend.
func TestJobsAndTasks(t *testing.T) {
	b := newBackend()
	c := &Client{Addresses: []string{startServer(t, newServer(b))}, Token: token}
	good := guavascale.Job{Team: "audit", Kind: "pack", Tasks: 3, Size: guavascale.Resources{MilliCores: 1, MemoryMB: 1}}
	bad := map[string]func(*guavascale.Job){
		"Job.ID":          func(j *guavascale.Job) { j.ID = "a/b" },
		"Job.Team":        func(j *guavascale.Job) { j.Team = "" },
		"Job.Kind":        func(j *guavascale.Job) { j.Kind = " " },
		"Job.Tasks":       func(j *guavascale.Job) { j.Tasks = guavascale.MaxJobTasks + 1 },
		"Job.RunSeconds":  func(j *guavascale.Job) { j.RunSeconds = -1 },
		"Job.Size.Memory": func(j *guavascale.Job) { j.Size.MemoryMB = 0 },
		"Job":             func(j *guavascale.Job) { j.Cancelled = true },
	}
	for field, edit := range bad {
		j := good
		edit(&j)
		_, err := c.DeclareJob(t.Context(), JobRequest{ID: "a", Job: j})
		var invalid *guavascale.ValidationError
		require.ErrorAs(t, err, &invalid, field)
		assert.Contains(t, invalid.Field, field)
	}
	require.Empty(t, b.jobs)
	got, err := c.DeclareJob(t.Context(), JobRequest{ID: "pack-1", Job: good})
	require.NoError(t, err)
	assert.Equal(t, "pack-1", got.Job.ID)
	got, err = c.CancelJob(t.Context(), "x", "pack-1")
	require.NoError(t, err)
	assert.True(t, got.Job.Cancelled)
	_, err = c.Job(t.Context(), "pack-2")
	assert.Equal(t, &guavascale.NotFoundError{Kind: "job", Name: "pack-2"}, err)
	filter := TaskFilter{Page: Page{After: "a/1", Limit: 7}, Job: "a", Worker: "w&1", State: guavascale.TaskPending}
	page, err := c.Tasks(t.Context(), filter)
	require.NoError(t, err)
	assert.True(t, page.More)
	assert.Equal(t, filter, b.filter)
}

// startClosingListener accepts connections and closes each one after reading
// from it, without a response.
func startClosingListener(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4096))
			_ = conn.Close()
		}
	}()
	return ln.Addr().String()
}

// Guards against a call that fails although another daemon is available, and
// against a change whose response is lost being reported as not applied or
// being sent to another daemon.
func TestClientTriesAddresses(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	refused, broken := closed.Addr().String(), startClosingListener(t)
	b := newBackend()
	up := startServer(t, newServer(b))
	ctx := context.Background()

	c := &Client{Addresses: []string{refused, up}, Token: token}
	_, err = c.Submit(ctx, takeBrestOut)
	require.NoError(t, err)
	c = &Client{Addresses: []string{broken, up}, Token: token}
	_, err = c.Config(ctx)
	require.NoError(t, err, "a read may be sent to the next address")
	calls := b.calls
	var unavailable *guavascale.UnavailableError
	_, err = c.Submit(ctx, takeBrestOut)
	require.ErrorAs(t, err, &unavailable)
	assert.True(t, unavailable.MayHaveApplied)
	assert.Equal(t, calls, b.calls)
	_, err = (&Client{Addresses: []string{refused}}).Submit(ctx, takeBrestOut)
	require.ErrorAs(t, err, &unavailable)
	assert.False(t, unavailable.MayHaveApplied)
}
