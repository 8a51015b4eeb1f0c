package guavashard

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/guavafake"
)

type (
	manualClock struct{ now time.Time }

	// harness drives one shard against the stand-in fleet with a log in
	// memory. Time is virtual; messages and commits can be late, lost and
	// repeated, and the owner can be replaced while its messages are under way.
	harness struct {
		t     *testing.T
		rng   *rand.Rand
		clock *manualClock
		fleet guavafake.Fleet
		view  View
		shard *Shard
		log   [][]byte
		// rows holds written inbox and job rows by key.
		rows map[string][]byte
		// delayed holds messages of this and earlier owners that arrive later.
		delayed []delayedMessage
		// delay, when set, tells for how long a message is under way.
		delay func(m Message) time.Duration
		// startsRevoked takes the right to start tasks away.
		startsRevoked bool
		// injectFaults switches message faults on.
		injectFaults bool
		// commits run in the next step.
		commits []func()
		// unreported holds tasks whose attempt ended on a worker which ended
		// in turn before it could report that, unreachable those that ran on a worker that
		// was cut off, whose last checkpoint nobody can learn of.
		unreported  map[guavascale.TaskID]bool
		unreachable map[guavascale.TaskID]bool
		partitioned map[guavascale.WorkerID]bool
	}

	delayedMessage struct {
		at time.Time
		m  Message
	}
)

const (
	testStep = 100 * time.Millisecond
	testZone = guavascale.Zone("Rennes")
	testName = guavascale.Partition("Shard-Rennes-0")
)

var errTestStore = errors.New("store does not answer")

func (c *manualClock) Now() time.Time { return c.now }

func newHarness(t *testing.T, seed uint64, workers int) *harness {
	h := &harness{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)),
		clock: &manualClock{now: time.Unix(1_000_000, 0)},
		rows:  make(map[string][]byte), unreported: make(map[guavascale.TaskID]bool),
		unreachable: make(map[guavascale.TaskID]bool), partitioned: make(map[guavascale.WorkerID]bool),
	}
	h.fleet.Clock = h.clock
	for i := range workers {
		h.fleet.Add(guavascale.Worker{
			ID: guavascale.WorkerID(fmt.Sprintf("w%d", i)), Zone: testZone,
			Capacity:     guavascale.Resources{MilliCores: 4000, MemoryMB: 4096},
			AgentAddress: "agent", EndpointAddress: "endpoint", Slots: 8, Connections: 60,
		})
	}
	h.view = View{
		Config: &guavascale.Config{
			Version: 1, ZonesOut: map[guavascale.Zone]bool{},
			Services: map[string]guavascale.Service{}, Quotas: map[string]guavascale.Resources{},
		},
		Preset: guavascale.Preset{
			BatchLeaseSeconds: 60, ServiceLeaseSeconds: 60, StartsPerSecond: 50, DrainPerSecond: 5,
		},
		WorkerSizes: []guavascale.Resources{{MilliCores: 4000, MemoryMB: 4096}},
		Instances:   map[string]int{},
		Rand:        h.rng,
	}
	h.shard = New(testName, testZone, 1, h.clock.now)
	return h
}

// takeOver replaces the owner by one with the next epoch, which knows only the
// log. Commits under way fail; messages under way may still arrive.
func (h *harness) takeOver() { h.reload(h.shard.Epoch + 1) }

// reload rebuilds the shard from the log, as an owner does whose log was
// closed; it keeps its epoch then.
func (h *harness) reload(epoch uint64) {
	next := New(testName, testZone, epoch, h.clock.now)
	require.NoError(h.t, next.Load(nil, h.log))
	h.shard, h.commits = next, nil
}

// step advances the time by testStep and runs the owner once.
func (h *harness) step() {
	h.clock.now = h.clock.now.Add(testStep)
	now := h.clock.now
	h.view.Workers, _ = h.fleet.Workers(context.Background())
	h.view.StartUntil = now.Add(2 * time.Second)
	if h.startsRevoked {
		h.view.StartUntil = now.Add(-time.Second)
	}
	h.view.ActUntil = now.Add(9 * time.Second)
	h.runCommits()
	h.perform(h.shard.Step(now, &h.view))
	h.deliverDelayed()
	h.recordUnreachable()
}

func (h *harness) run(d time.Duration) {
	for range int(d / testStep) {
		h.step()
	}
}

func (h *harness) runCommits() {
	list := h.commits
	h.commits = nil
	for _, c := range list {
		c()
	}
}

func (h *harness) perform(e Effects) {
	for _, a := range e.Appends {
		h.append(h.shard, a)
	}
	for _, m := range e.Messages {
		h.send(h.shard, m)
	}
}

// append commits in the next step, as a store with some delay does. With
// faults some commits fail without effect.
func (h *harness) append(owner *Shard, a Append) {
	h.commits = append(h.commits, func() {
		if h.injectFaults && h.rng.IntN(20) == 0 {
			h.perform(owner.HandleCommit(a.ID, errTestStore))
			return
		}
		for _, r := range a.Records {
			data, err := json.Marshal(r)
			require.NoError(h.t, err)
			h.log = append(h.log, data)
		}
		for _, w := range a.Writes {
			if w.Delete {
				delete(h.rows, w.Key)
			} else {
				h.rows[w.Key] = w.Value
			}
		}
		h.perform(owner.HandleCommit(a.ID, nil))
	})
}

func (h *harness) send(owner *Shard, m Message) {
	now := h.clock.now
	if h.delay != nil {
		if d := h.delay(m); d > 0 {
			h.delayed = append(h.delayed, delayedMessage{now.Add(d), m})
			h.perform(owner.HandleReport(now, now, m.Worker.ID, guavascale.Report{}, errTestStore))
			return
		}
	}
	if h.injectFaults {
		switch h.rng.IntN(10) {
		case 0: // lost
			h.perform(owner.HandleReport(now, now, m.Worker.ID, guavascale.Report{}, errTestStore))
			return
		case 1: // delivered late, after the caller gave up
			h.delayed = append(h.delayed, delayedMessage{now.Add(time.Duration(h.rng.IntN(15_000)) * time.Millisecond), m})
			h.perform(owner.HandleReport(now, now, m.Worker.ID, guavascale.Report{}, errTestStore))
			return
		case 2: // delivered, answer lost, repeated later
			_, _ = h.fleet.Send(context.Background(), m.Worker, m.Orders)
			h.delayed = append(h.delayed, delayedMessage{now.Add(time.Duration(h.rng.IntN(15_000)) * time.Millisecond), m})
			h.perform(owner.HandleReport(now, now, m.Worker.ID, guavascale.Report{}, errTestStore))
			return
		}
	}
	r, err := h.fleet.Send(context.Background(), m.Worker, m.Orders)
	h.perform(owner.HandleReport(now, now, m.Worker.ID, r, err))
}

func (h *harness) deliverDelayed() {
	kept := h.delayed[:0]
	for _, l := range h.delayed {
		if l.at.After(h.clock.now) {
			kept = append(kept, l)
			continue
		}
		_, _ = h.fleet.Send(context.Background(), l.m.Worker, l.m.Orders)
	}
	h.delayed = kept
}

// stopWorker kills or restarts a worker.
func (h *harness) stopWorker(id guavascale.WorkerID, a guavafake.WorkerAction) {
	running := h.fleet.Running()[id]
	for _, e := range h.shard.worker(id).tasks {
		if !slices.Contains(running, e.task.AttemptID()) {
			h.unreported[e.task.ID] = true
		}
	}
	require.NoError(h.t, h.fleet.Act(id, a))
}

func (h *harness) cutOff(id guavascale.WorkerID, cut bool) {
	h.partitioned[id] = cut
	require.NoError(h.t, h.fleet.SetFaults(id, guavafake.WorkerFaults{CutOff: cut}))
}

func (h *harness) recordUnreachable() {
	for id, cut := range h.partitioned {
		if !cut {
			continue
		}
		for _, e := range h.shard.worker(id).tasks {
			h.unreachable[e.task.ID] = true
		}
	}
}

func (h *harness) declare(job guavascale.Job) {
	value, err := json.Marshal(guavascale.InboxItem{Job: &job})
	require.NoError(h.t, err)
	h.put("job-"+job.ID, value)
}

func (h *harness) put(id string, value []byte) {
	row := guavascale.Row{Key: InboxKey(testName, id), Version: 1, Value: value}
	h.perform(h.shard.HandleInbox([]guavascale.Row{row}))
}

func (h *harness) status(job string) guavascale.JobStatus {
	var st guavascale.JobStatus
	if value := h.rows[JobKey(job)]; value != nil {
		require.NoError(h.t, json.Unmarshal(value, &st))
	}
	return st
}

// requireNoViolations checks the stand-in's verdict. Two cases are beyond any
// scheduler: work is repeated when a worker ends after an attempt ended there and
// before it could report that, and the checkpoint of a lease that ran out on a worker
// that is cut off is not known when the task resumes.
func (h *harness) requireNoViolations() {
	h.t.Helper()
	var bad []guavafake.Violation
	for _, v := range h.fleet.Verdict().Violations {
		repeated := v.Kind == guavafake.ViolationRepeated
		lost := v.Kind == guavafake.ViolationLost
		if (repeated || lost) && h.unreported[v.Task] || lost && h.unreachable[v.Task] {
			continue
		}
		bad = append(bad, v)
	}
	require.Empty(h.t, bad)
	require.Zero(h.t, h.shard.Orphans, "attempts that the log does not hold")
}
