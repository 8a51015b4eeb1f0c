package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// A case plays one order of events and returns 1 if the rule was broken, or else 0.
var cases = map[string]func(options, bool) int{"lapse": caseLapse, "attempts": caseAttempts}

const (
	finishTime = 14 * time.Second
	lostTime   = 3 * time.Second
)

// plain returns a submission like those of the small sites.
func plain(r *rand.Rand) *subSpec {
	st := func() stepSpec {
		x := stepSpec{
			count: 3 + r.IntN(6), cpu: int64(2000 + r.IntN(2000)), mem: int64(3000 + r.IntN(4000)),
			work: time.Duration(400+r.IntN(1300)) * time.Millisecond,
		}
		x.estimate = x.work
		return x
	}
	sub := &subSpec{prefix: routePrefix, maxAttempts: 3, steps: []stepSpec{st()}}
	if r.IntN(2) == 0 {
		x := st()
		x.after = []int{0}
		sub.steps = append(sub.steps, x)
	}
	return sub
}

// traffic hands submissions in until stop is closed, and returns those that were sent.
func (s *system) traffic(r *rand.Rand, daemons []*daemon, stop chan struct{}, gap time.Duration) func() []*subSpec {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var subs []*subSpec
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(gap):
			}
			sub := plain(r)
			wg.Add(1)
			go func() {
				defer wg.Done()
				s.submit(sub, daemons)
				mu.Lock()
				subs = append(subs, sub)
				mu.Unlock()
			}()
		}
	}()
	return func() []*subSpec {
		<-done
		wg.Wait()
		return subs
	}
}

// checkLost checks the rule LOST, finishTime after the end of the traffic: whether a
// submission has nothing running for 3 s though there is capacity for it twice over and under
// half of the capacity is in use.
func (s *system) checkLost(subs []*subSpec, daemons []*daemon) {
	var open []*subSpec
	var mu sync.Mutex
	var wg sync.WaitGroup
	limit := make(chan struct{}, 8)
	for _, sub := range subs {
		if !sub.accepted || !sub.cancelSent.IsZero() {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			limit <- struct{}{}
			defer func() { <-limit }()
			status, state := 0, ""
			for i := range 4 {
				if status, state = s.poll(sub, daemons[i%len(daemons)]); status != 0 {
					break
				}
			}
			s.event("at the end %s is %d %s", sub.id, status, state)
			if state == "queued" || state == "running" {
				mu.Lock()
				open = append(open, sub)
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	idle := map[*subSpec]bool{}
	for _, sub := range open {
		idle[sub] = true
	}
	maxUsed, capacity := int64(0), int64(0)
	for end := time.Now().Add(lostTime + 200*time.Millisecond); time.Now().Before(end); pause(20 * time.Millisecond) {
		used := int64(0)
		capacity = 0
		for _, w := range s.workers {
			w.mu.Lock()
			if w.up {
				capacity += w.cpu
			}
			for _, r := range w.runs {
				cpu, _ := r.info.room()
				used += cpu
				delete(idle, r.info.sub)
			}
			w.mu.Unlock()
		}
		maxUsed = max(maxUsed, used)
	}
	s.event("%d of %d submissions are open; at most %d of %d cpu were in use; %d have nothing running", len(open), len(subs), maxUsed, capacity, len(idle))
	if 2*maxUsed >= capacity {
		return
	}
	for sub := range idle {
		s.violate("LOST", "%s was accepted and had nothing running for 3 s, with at most %d of %d cpu in use", sub.id, maxUsed, capacity)
	}
}

// outcome reports the result of a case.
func (s *system) outcome() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[string]int{}
	for _, v := range s.violations {
		counts[v[:indexOf(v, ':')]]++
	}
	s.event("rules broken: %v", counts)
	fmt.Println("rules broken:", counts)
	if len(s.violations) > 0 {
		return 1
	}
	return 0
}

func indexOf(s string, c byte) int {
	for i := range len(s) {
		if s[i] == c {
			return i
		}
	}
	return len(s)
}

// caseLapse has one outage of the platform's store, in which the entries of the workers expire.
func caseLapse(o options, trouble bool) int {
	const outage = 4500 * time.Millisecond
	o.workers, o.guards = 12, true
	s, daemons := newSystem(o)
	defer s.close(daemons)
	go s.store.expire(s)
	waitReady(daemons)
	pause(time.Second)
	stop := make(chan struct{})
	sent := s.traffic(rand.New(rand.NewPCG(6, 1)), daemons, stop, 300*time.Millisecond)
	pause(8 * time.Second)
	if trouble {
		s.event("the store is down, silent")
		s.store.setOutage(daemons, true)
		pause(outage)
		s.store.setOutage(daemons, false)
		s.event("the store is back")
	} else {
		pause(outage)
	}
	pause(15 * time.Second)
	close(stop)
	subs := sent()
	s.event("traffic has ended")
	pause(finishTime)
	s.checkLost(subs, daemons)
	return s.outcome()
}

// caseAttempts has a queue with maxAttempts 20, and tasks whose first 17 runs fail by their own
// fault.
func caseAttempts(o options, trouble bool) int {
	o.workers, o.guards, o.attempts = 6, true, 20
	s, daemons := newSystem(o)
	defer s.close(daemons)
	waitReady(daemons)
	pause(time.Second)
	r := rand.New(rand.NewPCG(7, 1))
	var subs []*subSpec
	for range 6 {
		sub := plain(r)
		sub.maxAttempts = o.attempts
		if trouble {
			sub.steps[0].ownFails = 17
		}
		s.submit(sub, daemons)
		subs = append(subs, sub)
	}
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); pause(200 * time.Millisecond) {
		open := 0
		for _, sub := range subs {
			if sub.accepted && sub.finalAt.IsZero() {
				open++
				s.poll(sub, daemons[open%len(daemons)])
			}
		}
		if open == 0 {
			break
		}
	}
	for _, sub := range subs {
		s.event("at the end %s is %s, %s", sub.id, sub.state, sub.failures())
	}
	return s.outcome()
}
