// Command rig2 plays cases of the review: daemons of the project as separate processes, with
// stand-ins of the platform's store, the workers and the clients.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

var zones = []string{"rennes", "brest", "vannes"}

// options of a system.
type options struct {
	daemons, workers int
	guards           bool
	attempts         int
	record           string
	program          string
	deadly           float64
}

const routePrefix = "/desk/"

// newSystem starts the store, the workers and the daemons.
func newSystem(o options) (*system, []*daemon) {
	record, err := os.Create(o.record)
	check(err)
	s := &system{
		subs: map[string]*subSpec{}, gangs: map[string]*gangState{}, counts: map[string]int{}, troubleAt: map[int]time.Time{},
		holdMax: 6 * time.Second, stopGrace: 900 * time.Millisecond, record: record, begun: time.Now(),
	}
	s.store = newStore()
	dir, err := os.MkdirTemp("", "rig2-")
	check(err)
	s.configure(1, o.guards, o.attempts)
	for i := range o.workers {
		w := &worker{
			sys: s, id: fmt.Sprintf("w%08x", rand.Uint32()), service: "guichet", zone: zones[i%len(zones)], labels: []string{"a", fmt.Sprintf("r%d", i/8)},
			cpu: 32000, mem: 128000, guards: o.guards,
		}
		s.workers = append(s.workers, w)
		w.start()
	}
	var daemons []*daemon
	for i := range o.daemons {
		daemons = append(daemons, s.newDaemon(dir, o.program, zones[i%len(zones)], i))
	}
	for _, d := range daemons {
		d.start()
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		s.close(daemons)
		os.Exit(2)
	}()
	return s, daemons
}

func (s *system) configure(version int, guards bool, attempts int) {
	s.store.put("op", "config", object{
		"version": version, "limits": object{},
		"routes": []object{{
			"name": "desk", "host": callerHost, wire.Prefix: routePrefix, "service": "guichet", "priority": 0, "timeoutMs": 3000,
			"targetLatencyMs": 1000, "maxAttempts": attempts, wire.Slack: 2,
		}},
		"services": []object{{"name": "guichet", "preconditions": guards, "standby": false}},
	})
}

func (s *system) close(daemons []*daemon) {
	for _, d := range daemons {
		d.signal(syscall.SIGCONT)
		d.mu.Lock()
		cmd := d.cmd
		d.cmd = nil
		d.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	}
	s.event("all daemons have ended")
}

func (s *system) randomSub(r *rand.Rand, attempts int) *subSpec {
	st := func() stepSpec {
		x := stepSpec{
			count: 1 + r.IntN(8), cpu: int64(500 + r.IntN(5000)), mem: int64(1000 + r.IntN(6000)),
			work: time.Duration(200+r.IntN(2500)) * time.Millisecond,
		}
		x.estimate = x.work
		switch r.IntN(8) {
		case 0:
			x.gang = true
			x.saves = r.IntN(2) == 0
		case 1:
			x.copies = true
		case 2:
			x.perWorker = 1 + r.IntN(2)
		case 3:
			x.label = fmt.Sprintf("r%d", r.IntN(2))
		case 4:
			x.saves, x.work = true, 4*time.Second
		case 5:
			x.ownFails = r.IntN(attempts)
		case 6:
			x.fills = true
			x.image = "f" + fmt.Sprint(r.IntN(3))
		}
		return x
	}
	sub := &subSpec{prefix: routePrefix, maxAttempts: attempts}
	sub.steps = append(sub.steps, st())
	if r.IntN(2) == 0 {
		x := st()
		x.after = []int{0}
		sub.steps = append(sub.steps, x)
	}
	switch r.IntN(12) {
	case 0:
		sub.repeat, sub.interval, sub.startAt = 2+r.IntN(5), time.Duration(500+r.IntN(3000))*time.Millisecond, time.Now().Add(time.Duration(r.IntN(4000))*time.Millisecond)
	case 1:
		sub.steps = sub.steps[:1]
		x := &sub.steps[0]
		*x = stepSpec{count: 2 + r.IntN(5), cpu: int64(1000 + r.IntN(4000)), mem: 4000, lasts: true, image: "s" + fmt.Sprint(r.IntN(2)), target: 20, mayMiss: 1, estimate: time.Second}
		if r.IntN(3) == 0 {
			x.perWorker = 1
		}
	}
	return sub
}

// fuzz plays random faults against random submissions.
func fuzz(seed uint64, faultsFor time.Duration, o options, only string) int {
	r := rand.New(rand.NewPCG(seed, 7))
	o.guards = r.IntN(3) > 0
	s, daemons := newSystem(o)
	defer s.close(daemons)
	waitReady(daemons)
	var wg sync.WaitGroup
	var mu sync.Mutex
	s.daemons = daemons
	var subs []*subSpec
	done := make(chan struct{})
	alive := func() []*daemon { return daemons }
	cr := rand.New(rand.NewPCG(seed, 8))
	wg.Add(1)
	go func() {
		defer wg.Done()
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Duration(150+cr.IntN(350)) * time.Millisecond):
			}
			sub := s.randomSub(cr, o.attempts)
			if cr.Float64() < o.deadly {
				sub = plain(cr)
				sub.steps = sub.steps[:1]
				sub.steps[0].count = 1
				sub.deadly, sub.maxAttempts = true, o.attempts
			}
			x := cr.IntN(10)
			wg.Add(1)
			go func() {
				defer wg.Done()
				ok := s.submit(sub, alive())
				mu.Lock()
				subs = append(subs, sub)
				mu.Unlock()
				if !ok {
					return
				}
				if x == 0 || sub.steps[0].lasts && x < 7 {
					pause(time.Duration(rand.IntN(5000)) * time.Millisecond)
					s.cancel(sub, alive())
				}
			}()
		}
	}()
	wg.Add(1)
	go func() {
		defer wg.Done()
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
			mu.Lock()
			if len(subs) == 0 {
				mu.Unlock()
				continue
			}
			sub := subs[rand.IntN(len(subs))]
			mu.Unlock()
			if sub.accepted && sub.finalAt.IsZero() || rand.IntN(20) == 0 {
				go s.poll(sub, daemons[rand.IntN(len(daemons))])
			}
		}
	}()
	end := time.Now().Add(faultsFor)
	var fw sync.WaitGroup
	for time.Now().Before(end) {
		pause(time.Duration(200+r.IntN(1200)) * time.Millisecond)
		s.randomFault(r, daemons, &fw, only)
	}
	fw.Wait()
	close(done)
	wg.Wait()
	for _, d := range daemons {
		d.start()
	}
	s.event("faults and traffic have ended")
	s.settle(subs, daemons)
	s.mu.Lock()
	defer s.mu.Unlock()
	acc, rej, can := 0, 0, 0
	states := map[string]int{}
	for _, sub := range subs {
		if sub.accepted {
			acc++
			states[sub.state]++
		} else if sub.rejections == sub.attempts {
			rej++
		}
		if !sub.cancelAcked.IsZero() {
			can++
		}
	}
	fmt.Printf("seed %d: guards %v, %d submissions, %d accepted, %d rejected, %d cancelled, states %v, counts %v, %d violations\n", seed, o.guards, len(subs), acc, rej, can, states, s.counts, len(s.violations))
	for i, v := range s.violations {
		if i < 12 {
			fmt.Println("  ", v)
		}
	}
	if len(s.violations) > 0 {
		return 1
	}
	return 0
}

// settle waits for the end of all work and checks what is left.
func (s *system) settle(subs []*subSpec, daemons []*daemon) {
	deadline := time.Now().Add(30 * time.Second)
	for time.Now().Before(deadline) {
		open := 0
		for _, sub := range subs {
			if !sub.accepted || !sub.finalAt.IsZero() || !sub.cancelAcked.IsZero() {
				continue
			}
			s.poll(sub, daemons[rand.IntN(len(daemons))])
			if sub.finalAt.IsZero() && !sub.steps[0].lasts {
				open++
			}
		}
		if open == 0 {
			break
		}
		pause(200 * time.Millisecond)
	}
	pause(3 * time.Second)
	for _, sub := range subs {
		if !sub.accepted {
			if sub.rejections == sub.attempts {
				s.mu.Lock()
				ran := 0
				for _, t := range sub.tasks {
					ran += len(t.starts)
				}
				s.mu.Unlock()
				if ran > 0 {
					s.violate("REFUSED", "%s has run and all attempts to hand it in were rejected", sub.id)
				}
			}
			continue
		}
		running := 0
		s.mu.Lock()
		for _, t := range sub.tasks {
			running += len(t.active)
		}
		s.mu.Unlock()
		switch {
		case !sub.cancelAcked.IsZero():
			if running > 0 {
				s.violate("UNASKED", "%d tasks of %s run on after its cancelling", running, sub.id)
			}
		case sub.steps[0].lasts && sub.cancelSent.IsZero():
			if running < sub.steps[0].count {
				s.violate("LOST", "%d of %d tasks of %s, which last, run at the end", running, sub.steps[0].count, sub.id)
			}
		case sub.finalAt.IsZero() && sub.cancelSent.IsZero():
			s.violate("LOST", "%s is %q at the end and has %d runs", sub.id, sub.state, running)
		}
	}
}

func waitReady(daemons []*daemon) {
	for _, d := range daemons {
		for range 200 {
			resp, err := httpClient.Get("http://" + d.ready + "/api/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == 200 {
					break
				}
			}
			pause(50 * time.Millisecond)
		}
	}
}

func (s *system) randomFault(r *rand.Rand, daemons []*daemon, wg *sync.WaitGroup, only string) {
	pick := func() *daemon {
		if i := s.store.lastWriter(); i >= 0 && r.IntN(2) == 0 {
			return daemons[i]
		}
		return daemons[r.IntN(len(daemons))]
	}
	d, w := pick(), s.workers[r.IntN(len(s.workers))]
	length := time.Duration(300+r.IntN(4000)) * time.Millisecond
	async := func(f func()) {
		wg.Add(1)
		go func() { defer wg.Done(); f() }()
	}
	kinds := []string{"kill", "term", "stop", "herd", "cutstore", "storeslow", "storelost", "storedown", "compact", "crash", "crash", "cut", "late", "failing", "evacuate", "config", "recrash", "unhealthy", "hup", "foreign", "killtwo", "termkill"}
	k := kinds[r.IntN(len(kinds))]
	if only != "" {
		list := strings.Split(only, ",")
		k = list[r.IntN(len(list))]
	}
	gap := time.Duration(r.IntN(1500)) * time.Millisecond
	fresh := r.IntN(2) == 0
	switch k {
	case "kill":
		async(func() { d.end(syscall.SIGKILL); pause(gap); d.start() })
	case "term":
		async(func() { d.end(syscall.SIGTERM); pause(gap); d.start() })
	case "stop":
		async(func() { d.signal(syscall.SIGSTOP); pause(length); d.signal(syscall.SIGCONT) })
	case "herd":
		for _, o := range daemons {
			async(func() { o.end(syscall.SIGKILL); pause(gap); o.start() })
		}
	case "cutstore":
		f := storeFaults{silent: r.IntN(2) == 0}
		f.busy = !f.silent
		s.trouble(d.index)
		s.event("store cut off from %s: %+v", d.name, f)
		s.store.setFaults(d.index, f)
		async(func() { pause(length); s.store.setFaults(d.index, storeFaults{}); s.event("store back for %s", d.name) })
	case "storeslow", "storelost", "storedown":
		f := map[string]storeFaults{"storeslow": {slow: 60}, "storelost": {lose: 0.35, late: r.IntN(2) == 0}, "storedown": {silent: true}}[k]
		s.event("store: %+v", f)
		for _, o := range daemons {
			s.store.setFaults(o.index, f)
		}
		async(func() {
			pause(length)
			for _, o := range daemons {
				s.store.setFaults(o.index, storeFaults{})
			}
			s.event("store back")
		})
	case "compact":
		s.event("store forgets its history")
		s.store.compact()
	case "crash", "recrash":
		async(func() {
			w.crash()
			pause(length)
			w.mu.Lock()
			down := !w.up
			if down && fresh {
				s.store.put("servers", w.id, nil)
				w.id = fmt.Sprintf("w%08x", rand.Uint32())
			}
			w.mu.Unlock()
			if down {
				w.start()
			}
			if k == "recrash" {
				pause(800 * time.Millisecond)
				w.crash()
				pause(600 * time.Millisecond)
				w.start()
			}
		})
	case "cut":
		w.mu.Lock()
		w.cut = true
		w.mu.Unlock()
		s.event("worker %s is cut off", w.id)
		async(func() {
			pause(length)
			w.mu.Lock()
			w.cut = false
			w.mu.Unlock()
			s.event("worker %s is back", w.id)
		})
	case "late":
		s.event("orders are carried out late")
		for _, o := range s.workers {
			o.mu.Lock()
			o.late = 0.066
			o.mu.Unlock()
		}
		async(func() {
			pause(length)
			for _, o := range s.workers {
				o.mu.Lock()
				o.late = 0
				o.mu.Unlock()
			}
			s.event("orders are carried out at once")
		})
	case "failing":
		w.mu.Lock()
		w.failing = true
		w.mu.Unlock()
		s.event("worker %s fails all", w.id)
		async(func() {
			pause(length)
			w.mu.Lock()
			w.failing = false
			w.mu.Unlock()
		})
	case "unhealthy":
		w.mu.Lock()
		w.unhealthy = 0.5
		w.mu.Unlock()
		s.event("worker %s is unhealthy", w.id)
		async(func() {
			pause(length)
			w.mu.Lock()
			w.unhealthy = 0
			w.mu.Unlock()
		})
	case "hup":
		d.signal(syscall.SIGHUP)
	case "foreign":
		id := fmt.Sprintf("x%08x", rand.Uint32())
		s.event("foreign entry %s", id)
		s.store.put("servers", id, object{"service": "guichet", "address": w.address, "zone": []int{1}, "state": "resting"})
		async(func() { pause(length); s.store.put("servers", id, nil) })
	case "killtwo":
		async(func() {
			d.end(syscall.SIGKILL)
			pause(300 * time.Millisecond)
			o := daemons[(d.index+1)%len(daemons)]
			o.end(syscall.SIGKILL)
			pause(gap)
			d.start()
			o.start()
		})
	case "termkill":
		async(func() {
			go d.end(syscall.SIGTERM)
			pause(gap / 4)
			o := daemons[(d.index+1)%len(daemons)]
			o.end(syscall.SIGKILL)
			o.start()
			pause(2 * time.Second)
			d.start()
		})
	case "evacuate":
		z := zones[r.IntN(len(zones))]
		s.event("zone %s is evacuated", z)
		s.store.put("op", "evacuate/"+z, object{})
		async(func() { pause(length); s.store.put("op", "evacuate/"+z, nil) })
	case "config":
		s.mu.Lock()
		s.counts["version"]++
		v := s.counts["version"] + 1
		s.mu.Unlock()
		s.configure(v, s.workers[0].guards, 3)
	}
}

func main() {
	seed := flag.Uint64("seed", 1, "seed of a random play")
	secs := flag.Int("secs", 30, "seconds with faults")
	program := flag.String("daemon", "target/guavascaled", "program of the daemons")
	record := flag.String("record", "record.txt", "file for the record")
	deadly := flag.Float64("deadly", 0, "share of the submissions whose task crashes its workers")
	only := flag.String("only", "", "the only kind of fault")
	name := flag.String("case", "", "case to play; with TROUBLE=0 in the environment, without its disruption")
	flag.Parse()
	rec, err := filepath.Abs(*record)
	check(err)
	o := options{daemons: 3, workers: 9, guards: true, attempts: 3, record: rec, program: *program, deadly: *deadly}
	if *name == "" {
		os.Exit(fuzz(*seed, time.Duration(*secs)*time.Second, o, *only))
	}
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		os.Exit(2)
	}
	os.Exit(play(o, os.Getenv("TROUBLE") != "0"))
}
