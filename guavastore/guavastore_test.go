package guavastore_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/guavafake"
	"guavascale.example/guavastore"
)

func listen(t *testing.T) (*guavafake.Platform, string) {
	p := &guavafake.Platform{}
	address, err := p.Listen("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		// Idle client connections may delay the close beyond the timeout.
		_ = p.Close(ctx)
	})
	w := guavascale.Worker{ID: "Z/1", Zone: "Z", AgentAddress: address, Slots: 8, Connections: 60}
	require.NoError(t, p.AddWorker(w, "127.0.0.1"))
	return p, address
}

// Guards against errors that lose their type or fields in transit.
func TestErrorsKeepTheirType(t *testing.T) {
	ctx := context.Background()
	p, address := listen(t)
	table := &guavastore.Table{Address: address}
	objects := &guavastore.Objects{Address: address}
	agent := &guavastore.Agent{}
	hosts := &guavastore.HostList{Address: address}
	w := guavascale.Worker{ID: "Z/1", AgentAddress: address}

	v, err := table.Commit(ctx, guavascale.Commit{ID: "a", Writes: []guavascale.Write{{Key: "A", Value: []byte("1")}}})
	require.NoError(t, err)
	row, err := table.Get(ctx, "A")
	require.NoError(t, err)
	require.Equal(t, guavascale.Row{Key: "A", Version: v, WriteID: "a", Value: []byte("1")}, row)
	rows, err := table.Scan(ctx, "A", "", 10)
	require.NoError(t, err)
	require.Equal(t, []guavascale.Row{row}, rows)
	require.NoError(t, objects.Put(ctx, "o", []byte("x")))
	data, err := objects.Fetch(ctx, "o")
	require.NoError(t, err)
	require.Equal(t, "x", string(data))
	list, err := hosts.Workers(ctx)
	require.NoError(t, err)
	require.Len(t, list, 1)
	report, err := agent.Send(ctx, list[0], guavascale.Orders{Shard: "S", Epoch: 3})
	require.NoError(t, err)
	require.Equal(t, uint64(3), report.Epoch)

	cases := map[string]struct {
		call func() error
		want error
	}{
		"not found": {
			call: func() error { _, err := table.Get(ctx, "B"); return err },
			want: &guavascale.NotFoundError{Kind: "row", Name: "B"},
		},
		"condition": {
			call: func() error {
				_, err := table.Commit(ctx, guavascale.Commit{ID: "b", Conditions: []guavascale.Condition{{Key: "A", Version: 9}}})
				return err
			},
			want: &guavascale.ConditionError{Key: "A", Want: 9, Have: v},
		},
		"object condition": {
			call: func() error { return objects.Put(ctx, "o", []byte("y")) },
			want: &guavascale.ConditionError{Key: "o", Have: 1},
		},
		"validation": {
			call: func() error { _, err := table.Commit(ctx, guavascale.Commit{}); return err },
			want: &guavascale.ValidationError{Field: "Commit.ID", Value: `""`, Allowed: "a random ID"},
		},
		"unknown worker": {
			call: func() error {
				_, err := agent.Send(ctx, guavascale.Worker{ID: "x", AgentAddress: address}, guavascale.Orders{})
				return err
			},
			want: &guavascale.UnavailableError{System: "worker x", Op: "Send", Cause: errors.New("the worker is down")},
		},
		"unavailable": {
			call: func() error {
				p.Table.SetFaults(guavafake.StoreFaults{Down: true})
				defer p.Table.SetFaults(guavafake.StoreFaults{})
				_, err := table.Commit(ctx, guavascale.Commit{ID: "c"})
				return err
			},
			want: &guavascale.UnavailableError{System: "table", Op: "Commit", Cause: errors.New("the system is down")},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, c.call()) })
	}
	_, err = agent.Send(ctx, w, guavascale.Orders{Shard: "S", Epoch: 2})
	var oe *guavascale.OrderError
	require.ErrorAs(t, err, &oe)
	require.Equal(t, guavascale.RejectEpoch, oe.Reason)
	require.Equal(t, uint64(3), oe.Report.Epoch)
}

// Guards against reporting a commit as not applied when only its response was
// lost, and against a client that retries a commit.
func TestMayHaveApplied(t *testing.T) {
	refused, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, refused.Close())
	cases := map[string]struct {
		faults         guavafake.StoreFaults
		address        string
		mayHaveApplied bool
		applied        bool
	}{
		"answer lost":        {faults: guavafake.StoreFaults{LoseAnswers: 1}, mayHaveApplied: true, applied: true},
		"timeout":            {faults: guavafake.StoreFaults{DelayMs: 400}, mayHaveApplied: true, applied: true},
		"down":               {faults: guavafake.StoreFaults{Down: true}},
		"connection refused": {address: refused.Addr().String()},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p, address := listen(t)
			p.Table.SetFaults(c.faults)
			if c.address != "" {
				address = c.address
			}
			table := &guavastore.Table{Address: address, Timeout: 100 * time.Millisecond}
			_, err := table.Commit(context.Background(), guavascale.Commit{ID: "w", Writes: []guavascale.Write{{Key: "A"}}})
			var ue *guavascale.UnavailableError
			require.ErrorAs(t, err, &ue)
			require.Equal(t, c.mayHaveApplied, ue.MayHaveApplied)
			if c.applied {
				require.Eventually(t, func() bool { return p.Table.Counts().Writes == 1 }, 10*time.Second, time.Millisecond)
			}
			p.Table.SetFaults(guavafake.StoreFaults{})
			_, err = p.Table.Get(context.Background(), "A")
			require.Equal(t, c.applied, err == nil)
			require.LessOrEqual(t, p.Table.Counts().Writes, int64(1))
		})
	}
}

// Guards against reporting a lost message to a worker as rejected, and against a
// client that retries orders.
func TestAgentFaults(t *testing.T) {
	cases := map[string]struct {
		faults guavafake.WorkerFaults
		starts int
	}{
		"cut off":     {faults: guavafake.WorkerFaults{CutOff: true}},
		"answer lost": {faults: guavafake.WorkerFaults{LoseAnswers: 1}, starts: 1},
		"slow":        {faults: guavafake.WorkerFaults{DelayMs: 600}, starts: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			p, address := listen(t)
			agent := &guavastore.Agent{}
			w := guavascale.Worker{ID: "Z/1", AgentAddress: address}
			report, err := agent.Send(ctx, w, guavascale.Orders{Shard: "S"})
			require.NoError(t, err)
			require.NoError(t, p.Fleet.SetFaults(w.ID, c.faults))
			limited, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
			defer cancel()
			_, err = agent.Send(limited, w, guavascale.Orders{
				Shard: "S", Incarnation: report.Incarnation, NotAfterMs: report.ClockMs + 60_000,
				Orders: []guavascale.Order{{
					Kind: guavascale.OrderStart, Attempt: "j/0#1", LeaseMs: 60_000,
					Task: &guavascale.Task{ID: "j/0", Class: guavascale.ClassBatch, RunSeconds: 60},
				}},
			})
			var ue *guavascale.UnavailableError
			require.ErrorAs(t, err, &ue)
			require.True(t, ue.MayHaveApplied)
			require.Eventually(t, func() bool {
				return p.Fleet.Verdict().StartsByTask["j/0"] == c.starts
			}, 10*time.Second, time.Millisecond)
			require.Empty(t, p.Fleet.Verdict().Violations)
		})
	}
}

// Guards against delivering a late response to the next call. The server delays
// the response to the first call until the client has timed out, sends it on the
// same connection, and responds to all later requests immediately.
func TestLateResponseIsDiscarded(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	timedOut, lateResponseSent := make(chan struct{}), make(chan struct{})
	connections := make(chan int, 10)
	go func() {
		for n := 1; ; n++ {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			connections <- n
			go serveRows(conn, n, timedOut, lateResponseSent)
		}
	}()
	table := &guavastore.Table{Address: ln.Addr().String(), Timeout: 200 * time.Millisecond}
	_, err = table.Get(context.Background(), "first")
	var ue *guavascale.UnavailableError
	require.ErrorAs(t, err, &ue)
	require.False(t, ue.MayHaveApplied, "a read applies nothing")
	close(timedOut)
	<-lateResponseSent
	table.Timeout = 10 * time.Second
	for range 3 {
		row, err := table.Get(context.Background(), "second")
		require.NoError(t, err)
		require.Equal(t, "from connection 2", row.Key)
	}
	require.Len(t, connections, 2, "the connection that timed out is closed, the second one is reused")
}

// serveRows responds to each request with a row that names the connection.
func serveRows(conn net.Conn, n int, timedOut, lateResponseSent chan struct{}) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := r.Discard(int(req.ContentLength)); err != nil {
			return
		}
		if n == 1 {
			<-timedOut
		}
		body := fmt.Sprintf(`{"Key":"from connection %d","Version":1}`, n)
		// The client may have closed the connection.
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if n == 1 {
			close(lateResponseSent)
			return
		}
	}
}

// Guards against accepting a truncated response as complete.
func TestTruncatedResponse(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n{\"Version\":7}")
	}()
	table := &guavastore.Table{Address: ln.Addr().String()}
	v, err := table.Commit(context.Background(), guavascale.Commit{ID: "w", Writes: []guavascale.Write{{Key: "A"}}})
	var ue *guavascale.UnavailableError
	require.ErrorAs(t, err, &ue)
	require.True(t, ue.MayHaveApplied)
	require.Zero(t, v)
}
