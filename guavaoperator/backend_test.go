package guavaoperator

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/guavaconfig"
)

const token = "correct-horse-battery"

// memBackend is an in-memory Backend. All calls fail with err if it is set.
type memBackend struct {
	mu     sync.Mutex
	doc    guavascale.Config
	jobs   map[string]JobStatus
	filter TaskFilter
	err    error
	calls  int
}

// lock counts a call and returns the function that unlocks, and the error that
// the call must return.
func (b *memBackend) lock() (func(), error) {
	b.mu.Lock()
	b.calls++
	return b.mu.Unlock, b.err
}

func (b *memBackend) Config() (guavascale.Config, bool) {
	unlock, _ := b.lock()
	defer unlock()
	return b.doc, b.doc.Version > 0
}

func (b *memBackend) Submit(_ context.Context, c guavaconfig.Change) (guavascale.Config, error) {
	unlock, err := b.lock()
	defer unlock()
	if err != nil {
		return b.doc, err
	}
	b.doc, err = guavaconfig.Apply(b.doc, c)
	return b.doc, err
}

func (b *memBackend) DeclareJob(_ context.Context, j guavascale.Job) (JobStatus, error) {
	unlock, err := b.lock()
	defer unlock()
	if err == nil {
		b.jobs[j.ID] = JobStatus{Job: j, State: JobActive}
	}
	return b.jobs[j.ID], err
}

func (b *memBackend) CancelJob(_ context.Context, _, id string) (JobStatus, error) {
	unlock, err := b.lock()
	defer unlock()
	j, ok := b.jobs[id]
	if err != nil || !ok {
		return j, errors.Join(err, &guavascale.NotFoundError{Kind: "job", Name: id})
	}
	j.Job.Cancelled = true
	b.jobs[id] = j
	return j, nil
}

func (b *memBackend) Job(_ context.Context, id string) (JobStatus, error) {
	unlock, err := b.lock()
	defer unlock()
	j, ok := b.jobs[id]
	if err == nil && !ok {
		err = &guavascale.NotFoundError{Kind: "job", Name: id}
	}
	return j, err
}

func (b *memBackend) Jobs(context.Context, JobFilter) (JobPage, error) {
	unlock, err := b.lock()
	defer unlock()
	return JobPage{Jobs: []JobStatus{{State: JobDone}}, Missing: []string{"brest-2"}}, err
}

func (b *memBackend) Tasks(_ context.Context, f TaskFilter) (TaskPage, error) {
	unlock, err := b.lock()
	defer unlock()
	b.filter = f
	return TaskPage{More: true}, err
}

func (b *memBackend) Hosts(context.Context) (HostPage, error) {
	unlock, err := b.lock()
	defer unlock()
	w := guavascale.Worker{ID: "w1", Zone: "Rennes"}
	return HostPage{Hosts: []HostStatus{{Worker: w, Tasks: 2}, {Worker: w, Tasks: 1}}}, err
}

func (b *memBackend) State(context.Context) (any, error) {
	unlock, err := b.lock()
	defer unlock()
	return guavaconfig.Settings{Credentials: []guavaconfig.Credential{{Name: "a", Token: token}}}, err
}

func (b *memBackend) Ready() error {
	unlock, err := b.lock()
	defer unlock()
	return err
}

func (b *memBackend) setError(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.err = err
}

func newBackend() *memBackend {
	return &memBackend{doc: guavaconfig.Initial(), jobs: map[string]JobStatus{}}
}

func startServer(t *testing.T, s *Server) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	t.Cleanup(func() {
		require.NoError(t, s.Shutdown(context.Background()))
		require.NoError(t, <-done)
	})
	return ln.Addr().String()
}

func newServer(b Backend) *Server {
	return &Server{Backend: b, Credentials: []guavaconfig.Credential{
		{Name: "ana", Token: "another-operators-token"}, {Name: "loic", Token: token},
	}}
}
