package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"guavascale.example"
	"guavascale.example/guavafake"
	"guavascale.example/guavaplace"
	"guavascale.example/guavashard"
)

type (
	// simClock is the clock of a simulation in virtual time.
	simClock struct{ now time.Time }

	// sim drives shards against a fake fleet in virtual time. A commit takes one
	// step, messages are delivered immediately, and nothing is lost.
	sim struct {
		clock         simClock
		rng           *rand.Rand
		fleet         guavafake.Fleet
		cfg           guavascale.Config
		preset        guavascale.Preset
		racksPerShard int
		shards        []*guavashard.Shard
		views         map[guavascale.Partition]*guavashard.View
		// inbox holds the inbox rows of each shard by key.
		inbox   map[guavascale.Partition]map[string]guavascale.Row
		commits []func()
		// jobEnds holds the end time of each ended job.
		jobEnds map[string]time.Time
		// failed counts the tasks that failed or were cancelled.
		failed           int
		summaryDue       time.Time
		interferenceLoss lossFunc
		// modifyOrders, if not nil, modifies a message before it is sent.
		modifyOrders func(*guavascale.Orders)
	}
)

const (
	simStep            = 200 * time.Millisecond
	simSummaryInterval = time.Second
)

var simStart = time.Unix(1_000_000, 0)

func (c *simClock) Now() time.Time { return c.now }

// newSim returns a simulation without workers.
func newSim(seed uint64, preset guavascale.Preset) *sim {
	s := &sim{
		clock: simClock{simStart}, rng: rand.New(rand.NewPCG(seed, 1)), preset: preset, racksPerShard: 1,
		views:   make(map[guavascale.Partition]*guavashard.View),
		inbox:   make(map[guavascale.Partition]map[string]guavascale.Row),
		jobEnds: make(map[string]time.Time),
		cfg: guavascale.Config{
			Version: 1, ZonesOut: make(map[guavascale.Zone]bool), Services: make(map[string]guavascale.Service),
		},
	}
	s.fleet.Clock = &s.clock
	return s
}

// addWorker adds a worker, and its shard with the first worker of the shard.
func (s *sim) addWorker(w guavascale.Worker) {
	w.AgentAddress, w.EndpointAddress, w.Slots, w.Connections = "agent", "endpoint", 8, 60
	s.fleet.Add(w)
	p := guavascale.ShardOf(w, s.racksPerShard)
	if s.views[p] == nil {
		s.views[p] = &guavashard.View{Config: &s.cfg, Rand: s.rng, Instances: make(map[string]int)}
		s.inbox[p] = make(map[string]guavascale.Row)
		s.shards = append(s.shards, guavashard.New(p, w.Zone, 1, s.clock.now))
	}
	v := s.views[p]
	v.Workers = append(v.Workers, w)
	v.WorkerSizes = []guavascale.Resources{w.Capacity}
}

// declare writes a job to the inbox of a shard.
func (s *sim) declare(p guavascale.Partition, j guavascale.Job) {
	value, _ := json.Marshal(guavascale.InboxItem{Job: &j})
	s.applyWrite(guavascale.Write{Key: guavashard.InboxKey(p, "job-"+j.ID), Value: value})
}

// step advances the simulation by simStep.
func (s *sim) step() {
	s.clock.now = s.clock.now.Add(simStep)
	now := s.clock.now
	list := s.commits
	s.commits = nil
	for _, c := range list {
		c()
	}
	if !now.Before(s.summaryDue) {
		s.summaryDue = now.Add(simSummaryInterval)
		s.exchangeSummaries()
	}
	for _, sh := range s.shards {
		v := s.views[sh.Name]
		v.Preset, v.StartUntil, v.ActUntil = s.preset, now.Add(2*time.Second), now.Add(9*time.Second)
		v.Interference = s.interferenceLoss
		s.applyEffects(sh, sh.Step(now, v))
		s.readInbox(sh)
	}
}

// exchangeSummaries gives each shard the summaries of all shards and its share
// of the instances of each service.
func (s *sim) exchangeSummaries() {
	var others []guavascale.PartitionSummary
	var capacity []guavaplace.ShardCapacity
	for _, sh := range s.shards {
		others = append(others, sh.Summary())
		if s.cfg.ZonesOut[sh.Zone] {
			continue
		}
		c := guavaplace.ShardCapacity{Shard: sh.Name, Zone: sh.Zone}
		for _, w := range s.views[sh.Name].Workers {
			c.MilliCores += w.Capacity.MilliCores
		}
		capacity = append(capacity, c)
	}
	for _, v := range s.views {
		v.OtherShards = others
	}
	for name, svc := range s.cfg.Services {
		shares := guavaplace.Divide(name, svc.Instances, capacity)
		for p, v := range s.views {
			v.Instances[name] = shares[p]
		}
	}
}

func (s *sim) applyEffects(sh *guavashard.Shard, e guavashard.Effects) {
	for _, a := range e.Appends {
		s.commits = append(s.commits, func() {
			for _, w := range a.Writes {
				s.applyWrite(w)
			}
			s.applyEffects(sh, sh.HandleCommit(a.ID, nil))
		})
	}
	for _, m := range e.Messages {
		if s.modifyOrders != nil {
			s.modifyOrders(&m.Orders)
		}
		r, err := s.fleet.Send(context.Background(), m.Worker, m.Orders)
		s.applyEffects(sh, sh.HandleReport(s.clock.now, s.clock.now, m.Worker.ID, r, err))
	}
}

// applyWrite applies a write to a shard's inbox, or records the end of a job.
func (s *sim) applyWrite(w guavascale.Write) {
	kind, rest, _ := strings.Cut(w.Key, "/")
	if kind == "Job" {
		var st guavascale.JobStatus
		if json.Unmarshal(w.Value, &st) == nil && st.Ended {
			s.jobEnds[rest] = s.clock.now
			s.failed += st.Failed + st.Cancelled
		}
		return
	}
	name, _, _ := strings.Cut(rest, "/")
	rows := s.inbox[guavascale.Partition(name)]
	if w.Delete {
		delete(rows, w.Key)
		return
	}
	rows[w.Key] = guavascale.Row{Key: w.Key, Version: 1, Value: w.Value}
}

func (s *sim) readInbox(sh *guavashard.Shard) {
	rows := s.inbox[sh.Name]
	if len(rows) == 0 {
		return
	}
	list := make([]guavascale.Row, 0, len(rows))
	for _, r := range rows {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b guavascale.Row) int { return cmp.Compare(a.Key, b.Key) })
	s.applyEffects(sh, sh.HandleInbox(list))
}

// busyCores returns the number of cores of the fleet that batch tasks keep busy.
func (s *sim) busyCores() float64 {
	sum := 0.0
	for _, list := range s.fleet.RunningTasks() {
		for _, b := range list {
			if b.Task.Class == guavascale.ClassBatch {
				sum += b.Cores
			}
		}
	}
	return sum
}

// pendingTasks returns the number of pending tasks of all shards.
func (s *sim) pendingTasks() float64 {
	n := 0
	for _, sh := range s.shards {
		n += sh.Summary().Pending
	}
	return float64(n)
}

// evictions returns the total number of evictions of all shards.
func (s *sim) evictions() int64 {
	var n int64
	for _, sh := range s.shards {
		n += sh.Evictions
	}
	return n
}

// checkViolations returns an error if the fake fleet recorded a violation of a
// guarantee.
func (s *sim) checkViolations() error {
	if v := s.fleet.Verdict().Violations; len(v) > 0 {
		return errors.New("the fake fleet reports a violation: " + string(v[0].Kind))
	}
	return nil
}
