package guavarelay

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/guavaorder"
)

type (
	// manualClock is a clock that a test advances.
	manualClock struct{ ns atomic.Int64 }

	// fakeRunner counts the calls and answers them with err.
	fakeRunner struct {
		calls  atomic.Int64
		report guavascale.RunReport
		err    error
	}

	// hubTest is a hub with one relay, whose end of the stream the test plays.
	hubTest struct {
		Hub
		clock  *manualClock
		events chan func()
		// relay is the relay's end of the stream.
		relay    net.Conn
		outcomes map[guavascale.Run]guavaorder.Outcome
	}
)

var testRun = guavascale.Run{Task: guavascale.TaskRef{Submission: "s", Occurrence: 1, Step: 2, Index: 3}, Attempt: 4}

func (c *manualClock) Now() time.Time          { return time.Unix(1000, c.ns.Load()) }
func (c *manualClock) advance(d time.Duration) { c.ns.Add(int64(d)) }

func (r *fakeRunner) call() (guavascale.WorkerClock, error) {
	r.calls.Add(1)
	return 7, r.err
}

func (r *fakeRunner) Start(context.Context, guavascale.Worker, guavascale.RunStart) (guavascale.WorkerClock, error) {
	return r.call()
}

func (r *fakeRunner) Stop(context.Context, guavascale.Worker, guavascale.Run, uint64) (guavascale.WorkerClock, error) {
	return r.call()
}

func (r *fakeRunner) Pace(context.Context, guavascale.Worker, guavascale.Run, int, uint64) (guavascale.WorkerClock, error) {
	return r.call()
}

func (r *fakeRunner) Hold(context.Context, guavascale.Worker, guavascale.Hold) (guavascale.RunReport, error) {
	_, err := r.call()
	return r.report, err
}

// connect returns the two ends of a connection.
func connect(t *testing.T) (server, client net.Conn) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	client, err = net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	server, err = l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = server.Close(), client.Close() })
	return server, client
}

func newHubTest(t *testing.T) *hubTest {
	h := &hubTest{clock: &manualClock{}, events: make(chan func(), 100), outcomes: make(map[guavascale.Run]guavaorder.Outcome)}
	h.Hub = Hub{
		Token: 5, Clock: h.clock, Log: zerolog.Nop(),
		Post:   func(f func()) bool { h.events <- f; return true },
		Answer: func(o guavaorder.Order, out guavaorder.Outcome, _ time.Time) { h.outcomes[o.Run] = out },
	}
	var owner net.Conn
	owner, h.relay = connect(t)
	h.ChangeWorkers(&guavascale.WorkerChanges{Changes: []guavascale.WorkerChange{{Worker: guavascale.Worker{ID: "w", Zone: "z"}}}})
	h.Join(owner, &Stream{hello: hello{Instance: "r", Zone: "z", Strength: 1}, decoder: decoding.NewDecoder(owner)})
	h.Expire(h.clock.Now())
	return h
}

// send passes an order of a kind to the hub, which must accept it.
func (h *hubTest) send(t *testing.T, kind guavaorder.Kind) guavascale.Run {
	run := guavascale.Run{Task: guavascale.TaskRef{Submission: kind.String()}, Attempt: int64(h.number) + 1}
	require.True(t, h.Send(h.clock.Now(), testOrder(kind, run, h.clock.Now()), h.clock.Now().Add(time.Second)))
	return run
}

func testOrder(kind guavaorder.Kind, run guavascale.Run, sent time.Time) guavaorder.Order {
	return guavaorder.Order{Kind: kind, Worker: guavascale.Worker{ID: "w"}, Run: run, Timeout: time.Second, Sent: sent}
}

// Guards against orders that a relay sends although it, or the owner, was suspended
// since they were given: by then another owner may have given others.
func TestStaleOrdersAreNotSent(t *testing.T) {
	cases := map[string]struct {
		// age is the age of the clock reading that the owner echoes.
		age  time.Duration
		sent bool
	}{
		"prompt":            {age: 100 * time.Millisecond, sent: true},
		"somebody was late": {age: 600 * time.Millisecond},
		"suspended":         {age: 5 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = l.Close() }()
			clock, runner := &manualClock{}, &fakeRunner{}
			clock.advance(time.Hour)
			relay := &Relay{Instance: "r", Zone: "z", Strength: 1, Runner: runner, Clock: clock, Log: zerolog.Nop()}
			go func() { _ = relay.Run(t.Context(), l.Addr().String()) }()
			conn, err := l.Accept()
			require.NoError(t, err)
			br := bufio.NewReader(conn)
			_, err = br.Discard(len(Preamble))
			require.NoError(t, err)
			stream, err := ReadHello(conn, br)
			require.NoError(t, err)
			assert.Equal(t, hello{Instance: "r", Zone: "z", Strength: 1, Clock: clock.Now().UnixNano()}, stream.hello)
			order := testOrder(guavaorder.Start, testRun, time.Time{})
			require.NoError(t, encoding.NewEncoder(conn).Encode(orderFrame{
				Token: 5, Echo: clock.Now().Add(-tc.age).UnixNano(), Orders: []wireOrder{toWireOrder(&order, 9, 500*time.Millisecond)},
			}))
			f := outcomeFrame{}
			for len(f.Outcomes) == 0 {
				require.NoError(t, stream.decoder.Decode(&f))
			}
			out := f.Outcomes[0].outcome(&order)
			assert.Equal(t, uint64(9), f.Outcomes[0].Number)
			assert.Equal(t, tc.sent, runner.calls.Load() == 1)
			assert.Equal(t, tc.sent, !out.NotSent)
		})
	}
}

// Guards against an acknowledgement of run ends that is taken for one without effect when its
// stream breaks (TWICE): it may reach the next boot of the worker, which forgets unread ends.
func TestLostRelayMayHaveAcknowledged(t *testing.T) {
	h := newHubTest(t)
	now := h.clock.Now()
	o := testOrder(guavaorder.Hold, testRun, now)
	o.Hold.Seen = 3
	require.True(t, h.Send(now, o, now.Add(time.Second)))
	h.Flush(now)
	_ = h.relay.Close()
	(<-h.events)()
	require.Len(t, h.outcomes, 1)
	out := h.outcomes[testRun]
	assert.False(t, out.CertainlyNotSent())
}

// Guards against orders on a broken stream that are taken for orders without effect,
// and against workers that count as unreachable since their relay was lost.
func TestLostRelay(t *testing.T) {
	h := newHubTest(t)
	start, hold := h.send(t, guavaorder.Start), h.send(t, guavaorder.Hold)
	h.Flush(h.clock.Now())
	queued := h.send(t, guavaorder.Start)
	_ = h.relay.Close()
	(<-h.events)()
	require.Len(t, h.outcomes, 3)
	var unavailable *guavascale.UnavailableError
	require.ErrorAs(t, h.outcomes[start].Err, &unavailable)
	assert.True(t, unavailable.MayHaveApplied)
	assert.False(t, h.outcomes[start].NotSent)
	assert.True(t, h.outcomes[hold].NotSent)
	assert.True(t, h.outcomes[queued].NotSent)
	assert.Zero(t, h.Relays())
	assert.False(t, h.Send(h.clock.Now(), guavaorder.Order{Worker: guavascale.Worker{ID: "w"}}, h.clock.Now().Add(time.Second)))
}

// Guards against a relay without power that keeps its workers, and against an owner
// that takes its own pause for the silence of all relays.
func TestSilentRelay(t *testing.T) {
	cases := map[string]struct {
		step  time.Duration
		steps int
		lost  bool
	}{
		"silent":           {step: 100 * time.Millisecond, steps: 7, lost: true},
		"not for long":     {step: 100 * time.Millisecond, steps: 4},
		"owner was paused": {step: 4 * time.Second, steps: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHubTest(t)
			for range tc.steps {
				h.clock.advance(tc.step)
				h.Expire(h.clock.Now())
			}
			assert.Equal(t, tc.lost, h.Relays() == 0)
		})
	}
}

// Guards against a worker that stays unreachable since only the path to its relay is
// broken.
func TestUnansweredWorkerIsCalledByTheOwner(t *testing.T) {
	cases := map[string]struct {
		status outcomeStatus
		direct bool
	}{
		"answered":     {status: statusDone},
		"refused":      {status: statusRefused},
		"not sent":     {status: statusNotSent},
		"no answer":    {status: statusUnknown, direct: true},
		"not reached":  {status: statusFailed, direct: true},
		"other status": {status: 99},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHubTest(t)
			run := h.send(t, guavaorder.Hold)
			require.NoError(t, encoding.NewEncoder(h.relay).Encode(outcomeFrame{Outcomes: []wireOutcome{{Number: h.number, Status: tc.status}}}))
			(<-h.events)()
			assert.Contains(t, h.outcomes, run)
			now := h.clock.Now()
			next := testOrder(guavaorder.Hold, testRun, now)
			assert.Equal(t, !tc.direct, h.Send(now, next, now.Add(time.Second)))
			h.Expire(now.Add(directTime))
			assert.True(t, h.Send(now, next, now.Add(time.Second)))
		})
	}
}

// Guards against orders for a relay that shuts down.
func TestLeavingRelayGetsNoOrders(t *testing.T) {
	h := newHubTest(t)
	h.send(t, guavaorder.Hold)
	require.NoError(t, encoding.NewEncoder(h.relay).Encode(outcomeFrame{Leaving: true}))
	(<-h.events)()
	now := h.clock.Now()
	assert.False(t, h.Send(now, testOrder(guavaorder.Hold, testRun, now), now.Add(time.Second)))
}

// Guards against an order whose outcome never arrives and that binds its worker for
// good, although the relay is in touch.
func TestOverdueOrders(t *testing.T) {
	h := newHubTest(t)
	run := h.send(t, guavaorder.Start)
	for range 30 {
		h.clock.advance(heartbeatInterval)
		require.NoError(t, encoding.NewEncoder(h.relay).Encode(outcomeFrame{}))
		(<-h.events)()
		h.Expire(h.clock.Now())
	}
	require.Contains(t, h.outcomes, run)
	var unavailable *guavascale.UnavailableError
	require.ErrorAs(t, h.outcomes[run].Err, &unavailable)
	assert.True(t, unavailable.MayHaveApplied)
}

// Guards against an owner that was paused and takes the outcomes that wait for it for
// missing.
func TestPausedOwnerReadsOutcomesFirst(t *testing.T) {
	h := newHubTest(t)
	run := h.send(t, guavaorder.Hold)
	h.clock.advance(10 * time.Second)
	h.Expire(h.clock.Now())
	assert.NotContains(t, h.outcomes, run)
	require.NoError(t, encoding.NewEncoder(h.relay).Encode(outcomeFrame{Outcomes: []wireOutcome{{Number: h.number}}}))
	(<-h.events)()
	require.Contains(t, h.outcomes, run)
	assert.NoError(t, h.outcomes[run].Err)
}

// Guards against an order of a kind that a relay does not know and reports as done.
func TestUnknownOrderIsNotSent(t *testing.T) {
	log := zerolog.Nop()
	out := Execute(t.Context(), &log, &fakeRunner{}, 1, &guavaorder.Order{Kind: 99, Timeout: time.Second})
	assert.True(t, out.NotSent)
	assert.Error(t, out.Err)
}

// Guards against a malformed frame of a relay that ends the owner's process.
func TestMalformedFrame(t *testing.T) {
	h := newHubTest(t)
	_, err := h.relay.Write([]byte{0x83, 0x01, 0x02, 0x03})
	require.NoError(t, err)
	(<-h.events)()
	assert.Zero(t, h.Relays())
}

// Guards against fields of orders and outcomes that are lost on the way.
func TestWire(t *testing.T) {
	worker := guavascale.Worker{ID: "w", AgentAddress: "127.0.0.1:1"}
	orders := map[string]guavaorder.Order{
		"start": {
			Kind: guavaorder.Start, Worker: worker, Run: testRun, Timeout: time.Second,
			Start: guavascale.RunStart{Run: testRun, Payload: "p", Checkpoint: "c", Ticket: "t", LeaseEnd: time.Minute, Token: 5},
		},
		"hold": {
			Kind: guavaorder.Hold, Worker: worker, Timeout: time.Second,
			Hold: guavascale.Hold{Token: 5, Seen: 6, LeaseEnd: time.Minute, Wait: time.Second},
		},
		"stop": {Kind: guavaorder.Stop, Worker: worker, Run: testRun, Timeout: time.Second},
		"pace": {Kind: guavaorder.Pace, Worker: worker, Run: testRun, Percent: 20, Timeout: time.Second},
	}
	for name, o := range orders {
		t.Run(name, func(t *testing.T) {
			data, err := encoding.Marshal(toWireOrder(&o, 1, time.Second))
			require.NoError(t, err)
			var w wireOrder
			require.NoError(t, decoding.Unmarshal(data, &w))
			assert.Equal(t, o, w.order(5))
		})
	}
	report := guavascale.RunReport{
		Clock: 7, Born: 8,
		Running: []guavascale.RunState{{Run: testRun, Checkpoint: "c", Percent: 50, Tail: time.Millisecond, Used: 3}},
		Ended:   []guavascale.RunEnd{{Number: 9, Run: testRun, Outcome: guavascale.RunDone, Checkpoint: "d"}},
	}
	hold := orders["hold"]
	outcomes := map[string]guavaorder.Outcome{
		"report":   {Clock: 7, Report: report},
		"refused":  {Clock: 7, Err: &guavascale.RunError{Worker: "w", Op: "Hold", Reason: guavascale.RefusedToken, Clock: 7}},
		"not sent": notSent(errors.New("late")),
		"failed":   {Err: unavailable(&hold, false, errors.New("refused"))},
		"unknown":  {Err: unavailable(&hold, true, errors.New("timeout"))},
	}
	for name, out := range outcomes {
		t.Run(name, func(t *testing.T) {
			data, err := encoding.Marshal(toWireOutcome(1, &out))
			require.NoError(t, err)
			var w wireOutcome
			require.NoError(t, decoding.Unmarshal(data, &w))
			got := w.outcome(&hold)
			assert.Equal(t, out.Report, got.Report)
			assert.Equal(t, out.Clock, got.Clock)
			assert.Equal(t, out.NotSent, got.NotSent)
			var want, have *guavascale.UnavailableError
			require.Equal(t, errors.As(out.Err, &want), errors.As(got.Err, &have))
			if want != nil {
				assert.Equal(t, want.MayHaveApplied, have.MayHaveApplied)
			}
			var refused *guavascale.RunError
			if errors.As(out.Err, &refused) {
				assert.Equal(t, out.Err, got.Err)
			}
		})
	}
}

// Guards against a relay that keeps its workers although it can reach hardly any: each
// of them was unreachable again whenever the owner tried the relay.
func TestRelayWithoutPathIsExcluded(t *testing.T) {
	h := newHubTest(t)
	list := guavascale.WorkerChanges{}
	for _, id := range []guavascale.WorkerID{"a", "b", "c", "d", "e", "f"} {
		list.Changes = append(list.Changes, guavascale.WorkerChange{Worker: guavascale.Worker{ID: id, Zone: "z"}})
	}
	h.ChangeWorkers(&list)
	h.clock.advance(planInterval)
	h.Expire(h.clock.Now())
	enc := encoding.NewEncoder(h.relay)
	for i, c := range list.Changes[:4] {
		now := h.clock.Now()
		require.True(t, h.Send(now, guavaorder.Order{Worker: c.Worker, Sent: now, Timeout: time.Second}, now.Add(time.Second)))
		require.NoError(t, enc.Encode(outcomeFrame{Outcomes: []wireOutcome{{Number: uint64(i + 1), Status: statusUnknown}}}))
		(<-h.events)()
	}
	for _, c := range list.Changes[:4] {
		assert.Equal(t, 1, h.Relays(), "the workers may be down")
		h.Answered(c.Worker.ID)
	}
	assert.Zero(t, h.Relays())
	assert.False(t, h.MayJoin("r"))
	h.Expire(h.clock.Now().Add(excludeTime))
	assert.True(t, h.MayJoin("r"))
}
