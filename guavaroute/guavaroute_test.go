package guavaroute

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"guavascale.example"
)

var start = time.Unix(1_000_000, 0)

func names(n int) []string {
	var s []string
	for i := range n {
		s = append(s, fmt.Sprintf("d%d", i))
	}
	return s
}

// view has n endpoints of service svc on n workers.
func view(n, slots int) View {
	v := View{Daemon: "d0", Zone: "a", Daemons: []string{"d0"}}
	for i := range n {
		v.Endpoints = append(v.Endpoints, guavascale.Endpoint{
			Service: "svc", Task: guavascale.TaskID(fmt.Sprint(i)), Worker: guavascale.WorkerID(fmt.Sprint("w", i)),
			Zone: "a", Address: fmt.Sprint("h", i), Slots: slots, Connections: 60,
		})
	}
	return v
}

func router(v View) (*Router, time.Time) {
	r := &Router{Rand: rand.New(rand.NewPCG(1, 2))}
	r.Update(start, v)
	return r, start.Add(GainDelay)
}

// TestShareSums guards against daemons that together use more than a worker
// has, or less than its slots.
func TestShareSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := names(rapid.IntRange(1, 40).Draw(t, "daemons"))
		slots := rapid.IntRange(0, 16).Draw(t, "slots")
		connections := rapid.IntRange(1, 100).Draw(t, "connections")
		w := guavascale.WorkerID(rapid.StringN(1, 8, 16).Draw(t, "worker"))
		var sum Allotment
		for _, d := range daemons {
			a := Share(w, d, daemons, slots, connections)
			require.Equal(t, a.Slots > 0, a.Connections > 0)
			sum.Slots += a.Slots
			sum.Connections += a.Connections
		}
		require.Equal(t, slots, sum.Slots)
		require.LessOrEqual(t, sum.Connections, max(connections, min(slots, len(daemons))))
		require.Zero(t, Share(w, "unknown", daemons, slots, connections))
	})
}

// TestSharesOverTime guards against two daemons that use the same slot while
// their lists of live daemons differ by up to 3 s and the worker comes and goes.
func TestSharesOverTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := names(7)
		routers := map[string]*Router{}
		next := map[string]time.Time{}
		lists := map[string][][]string{}
		for _, d := range all {
			routers[d] = &Router{}
		}
		now := start
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			live := rapid.SliceOfNDistinct(rapid.SampledFrom(all), 1, 7, rapid.ID[string]).Draw(t, "live")
			listed := rapid.IntRange(0, 3).Draw(t, "listed") > 0
			for _, d := range all {
				lists[d] = append(lists[d], live)
				next[d] = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "lag")) * time.Millisecond)
			}
			end := now.Add(time.Duration(rapid.IntRange(3100, 9000).Draw(t, "until")) * time.Millisecond)
			for ; now.Before(end); now = now.Add(100 * time.Millisecond) {
				sum := 0
				for _, d := range all {
					if len(lists[d]) > 0 && !now.Before(next[d]) {
						v := view(1, 8)
						v.Daemon, v.Daemons = d, lists[d][len(lists[d])-1]
						if !listed {
							v.Endpoints = nil
						}
						routers[d].Update(now, v)
						lists[d] = nil
					}
					if w := routers[d].workers["w0"]; w != nil {
						sum += w.usable(now)
					}
				}
				require.LessOrEqual(t, sum, 8)
			}
		}
	})
}

// TestNewEndpoint guards against new endpoints that stay unusable although no
// daemon came or went, and against the use of a slot that another daemon may
// still hold.
func TestNewEndpoint(t *testing.T) {
	tests := map[string]struct {
		stable time.Duration
		want   int
	}{
		"daemons unchanged for long": {GainDelay, 8},
		"daemons just changed":       {GainDelay - time.Second, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := &Router{}
			v := view(1, 8)
			v.Daemon, v.Daemons = "d0", []string{"d0"}
			endpoints := v.Endpoints
			v.Endpoints = nil
			r.Update(start, v)
			v.Endpoints = endpoints
			now := start.Add(tt.stable)
			r.Update(now, v)
			require.Equal(t, tt.want, r.workers["w0"].usable(now))
		})
	}
}

// TestEjectionFloor guards against an outage that ejects most endpoints, and
// against an ejected endpoint that never returns.
func TestEjectionFloor(t *testing.T) {
	for _, n := range []int{1, 2, 3, 6, 10} {
		r, now := router(view(n, 8))
		for range 500 {
			e, _ := r.Submit(now, Ticket{ID: 1, Service: "svc"})
			if e.Verdict == Granted {
				r.Done(now, e.Pick, Result{Failed: true})
			}
		}
		ejected := 0
		for _, e := range r.State(now).Endpoints {
			if e.Ejected {
				ejected++
			}
		}
		require.Equal(t, n/3, ejected)
		for range 200 {
			now = now.Add(time.Second)
			e, _ := r.Submit(now, Ticket{ID: 1, Service: "svc"})
			r.Done(now, e.Pick, Result{Elapsed: time.Millisecond})
		}
		for _, e := range r.State(now).Endpoints {
			require.False(t, e.Ejected)
		}
	}
}

// TestProbe guards against more than one request at a time to an ejected
// endpoint, and against a backoff outside of 1 s to 30 s.
func TestProbe(t *testing.T) {
	e := ejection{failures: ejectAfter - 1}
	e.end(start, false, Result{Failed: true}, true)
	now := start
	for _, wait := range []int{1, 2, 4, 8, 16, 30, 30} {
		require.False(t, e.open(now.Add(time.Duration(wait)*time.Second-1)))
		now = now.Add(time.Duration(wait) * time.Second)
		require.True(t, e.open(now))
		require.True(t, e.begin())
		require.False(t, e.open(now))
		e.end(now, true, Result{Failed: true}, true)
	}
	now = now.Add(maxProbeBackoff)
	e.begin()
	e.end(now, true, Result{}, true)
	require.True(t, e.open(now))
}

// TestBudget guards against retries beyond the ratio of answered requests.
func TestBudget(t *testing.T) {
	tests := map[string]struct {
		answered int
		ratio    float64
		want     int
	}{
		"idle":    {0, 0, idleTokens},
		"default": {1000, 0, 100 + idleTokens},
		"preset":  {1000, 0.02, 20 + idleTokens},
		"few":     {10, 0.1, 1 + idleTokens},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := Budget{Ratio: tt.ratio}
			got := 0
			for range 100 {
				if b.Retry(start) {
					got++
				}
			}
			for range tt.answered {
				b.Answered(start)
				if b.Retry(start) {
					got++
				}
			}
			require.InDelta(t, tt.want, got, 1)
		})
	}
	var b Budget
	now := start
	for range 10_000 {
		now = now.Add(time.Millisecond)
		b.Answered(now)
	}
	got := 0.0
	for b.Retry(now) {
		got++
	}
	require.LessOrEqual(t, got, DefaultRetryRatio*1000*burstTime.Seconds()+idleTokens)
}

// TestQueue guards against a lower priority that is served before a higher
// one, a queue without bound, and a ticket without a verdict.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now := router(view(2, 1))
		waiting := map[uint64]Priority{}
		granted := []Pick{}
		handle := func(events ...Event) {
			for _, e := range events {
				switch p, ok := waiting[e.Ticket]; {
				case e.Ticket == 0:
				case e.Verdict == Granted:
					for _, q := range waiting {
						require.LessOrEqual(t, p, q)
					}
					granted = append(granted, e.Pick)
					delete(waiting, e.Ticket)
				case e.Verdict != Queued:
					require.True(t, ok)
					delete(waiting, e.Ticket)
				}
			}
		}
		for id := uint64(1); id < 200; id++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "done") && len(granted) > 0 {
				p := granted[0]
				granted = granted[1:]
				handle(r.Done(now, p, Result{Elapsed: 10 * time.Millisecond})...)
			}
			handle(r.Tick(now)...)
			p := Priority(rapid.IntRange(0, 2).Draw(t, "priority"))
			waiting[id] = p
			handle(r.Submit(now, Ticket{ID: id, Service: "svc", Priority: p, Deadline: now.Add(time.Second)}))
			require.LessOrEqual(t, len(granted), 2)
			require.Len(t, waiting, r.services["svc"].queue.len())
			require.LessOrEqual(t, len(waiting), 20)
		}
		handle(r.Tick(now.Add(time.Minute))...)
		for len(granted) > 0 {
			p := granted[0]
			granted = granted[1:]
			handle(r.Done(now.Add(time.Minute), p, Result{})...)
		}
		require.Empty(t, waiting)
	})
}

// TestChooseZone guards against requests that leave the zone while it has a
// free slot, and against a zone without any that gets none.
func TestChooseZone(t *testing.T) {
	v := view(4, 2)
	v.Endpoints[2].Zone, v.Endpoints[3].Zone = "b", "b"
	r, now := router(v)
	for i := range 8 {
		e, _ := r.Submit(now, Ticket{ID: uint64(i + 1), Service: "svc"})
		require.Equal(t, Granted, e.Verdict)
		require.Equal(t, i < 4, e.Pick.Endpoint.Zone == "a")
	}
	e, _ := r.Submit(now, Ticket{ID: 9, Service: "svc", Deadline: now.Add(time.Second)})
	require.Equal(t, Queued, e.Verdict)
}

// Guards against shares that are kept although the daemons or the limits of a
// worker changed, and against a place that differs from the ranking.
func TestUpdateFollowsDaemonsAndLimits(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Router
	for i, step := range []struct {
		daemons []string
		slots   int
	}{
		{[]string{"a"}, 8},
		{[]string{"a", "b"}, 8},
		{[]string{"a", "b", "c"}, 4},
		{[]string{"a", "b", "c"}, 2},
		{[]string{"b", "c"}, 2},
		{[]string{"a"}, 3},
	} {
		e := guavascale.Endpoint{Service: "s", Task: "s/0", Worker: "w", Address: "e", Slots: step.slots, Connections: 60}
		r.Update(now, View{Daemon: "a", Daemons: step.daemons, Endpoints: []guavascale.Endpoint{e}})
		want := Share("w", "a", step.daemons, step.slots, 60)
		require.Equal(t, want.Slots, r.workers["w"].slots.target(), "step %d", i)
		require.Equal(t, want.Connections, r.workers["w"].connections.target(), "step %d", i)
		require.Equal(t, slices.Index(Rank("w", step.daemons), "a"), placeOf("w", "a", step.daemons), "step %d", i)
	}
}
