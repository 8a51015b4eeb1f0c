package guavabackfill

import (
	"cmp"
	"slices"
	"time"

	"guavascale.example"
)

type (
	// Plan holds the reservations of a pool: workers on which free room is accumulated for
	// a task of a step that has waited. S identifies steps and W workers. The zero value
	// is ready to use.
	Plan[S, W comparable] struct {
		reservations map[W]*Reservation[S]
		// order holds the reserved workers, the earliest reservation first.
		order []W
		// held counts the reservations of each step.
		held map[S]int
		// heldBackAt is when reservations first might have held a waiting step back.
		heldBackAt map[S]time.Time
		// pausedUntil is the time until which a step gets no reservation, since one of
		// its was cancelled or no worker was found for one.
		pausedUntil map[S]time.Time
		counts      Counts
	}

	// Reservation is the room on a worker that is kept for a task of Step.
	Reservation[S comparable] struct {
		Step S
		Size guavascale.Resources
		Made time.Time
		// Ready is when the room is expected to be free, and Until when the reservation
		// is cancelled.
		Ready, Until time.Time
		// spare is what other tasks may use beyond Ready.
		spare guavascale.Resources
	}

	// Demand is a step whose tasks wait for room. All its tasks count as one demand: they
	// get reservations together.
	Demand[S comparable] struct {
		Step  S
		Size  guavascale.Resources
		Tasks int
		// Waited is the time for which no task of the step has started.
		Waited time.Duration
	}

	// Candidate is a worker that may be reserved, with its free room and the runs on it
	// that will end.
	Candidate[W comparable] struct {
		Worker W
		Free   guavascale.Resources
		Runs   []Run
	}

	// Run is a run with the predicted time until its end.
	Run struct {
		Size guavascale.Resources
		Left time.Duration
	}

	// Access is what reservations mean for a waiting step in a scheduling pass: the step
	// itself in Holder if it has some, and Exempt if those of others don't apply to it. Only
	// steps with the same access can run on the same workers.
	Access[S comparable] struct {
		Holder S
		Exempt bool
	}

	// Start is a task that may start on a worker. Left is a duration that it exceeds
	// rarely.
	Start[S comparable] struct {
		Step   S
		Size   guavascale.Resources
		Left   time.Duration
		Access Access[S]
	}

	// Counts counts the reservations that exist, and those since the owner's term began:
	// Fulfilled ones got their task, Released ones were not needed any more, since the step
	// found other room or ended, Cancelled ones were not fulfilled in time or lost their
	// worker.
	Counts struct {
		Reserved                             int
		Room                                 guavascale.Resources
		Made, Fulfilled, Released, Cancelled int
	}
)

const (
	// ReserveAfter is how long a step waits without a start before room is reserved for it.
	// Most tasks end within a second, so that most waits are shorter without reservations.
	// In the replay, 150 ms causes up to four times as many reservations for no gain.
	ReserveAfter = 300 * time.Millisecond
	// MaxReserved is the longest time for which a worker is reserved. A step that was first
	// held back by reservations as long ago may use any room, so that no step waits longer
	// than this because of them.
	MaxReserved = 1500 * time.Millisecond
	// readyMargin is the time by which the predicted time may be exceeded, besides as much
	// again.
	readyMargin = 200 * time.Millisecond
	// pauseTime is how long a step gets no reservation after one was cancelled.
	pauseTime = 500 * time.Millisecond
	// maxReservedShare bounds the share of the workers of a pool that is reserved. With an
	// eighth, the share of all steps in time falls by 0.02 where the load is 95% of the
	// room, since the small ones wait instead.
	maxReservedShare = 0.04
	// maxReservations bounds the reservations of a pool, since each pass looks at all.
	maxReservations = 64
	// fragmentsFactor is how many times the size of all waiting tasks of the step must be
	// free in the pool, in fragments. Otherwise the load is the cause of the wait, and a
	// reservation would only make others wait.
	fragmentsFactor = 2
)

// MayReserve reports whether room should be reserved for the demand: it is large and has waited
// although the pool has the room in fragments.
func (p *Plan[S, W]) MayReserve(now time.Time, d Demand[S], room Room) bool {
	need := d.Size.Times(fragmentsFactor * int64(d.Tasks))
	return d.Waited >= ReserveAfter && room.scarceFor(d.Size) && room.Free.Fits(need) && !now.Before(p.pausedUntil[d.Step]) &&
		p.held[d.Step] < d.Tasks && len(p.reservations) < room.maxReserved()
}

func (r Room) maxReserved() int {
	return min(max(int(maxReservedShare*float64(r.Workers)), 1), maxReservations)
}

// Active reports whether there are reservations.
func (p *Plan[S, W]) Active() bool { return len(p.reservations) > 0 }

// Access returns what the reservations mean for a waiting step in this pass.
func (p *Plan[S, W]) Access(now time.Time, step S) Access[S] {
	if !p.Active() {
		return Access[S]{}
	}
	since, ok := p.heldBackAt[step]
	a := Access[S]{Exempt: ok && now.Sub(since) >= MaxReserved}
	if p.held[step] > 0 {
		a.Holder = step
	}
	return a
}

// Reserved reports whether a worker is reserved.
func (p *Plan[S, W]) Reserved(w W) bool { return p.reservations[w] != nil }

// Reserve reserves, for the tasks of a demand, those candidates on which room will be free
// first, within MaxReserved. It returns their number.
func (p *Plan[S, W]) Reserve(now time.Time, d Demand[S], room Room, candidates []Candidate[W]) int {
	type option struct {
		worker W
		ready  time.Duration
		spare  guavascale.Resources
	}
	var options []option
	for _, c := range candidates {
		if p.reservations[c.Worker] != nil {
			continue
		}
		if ready, left, ok := c.ready(d.Size); ok && ready <= MaxReserved {
			options = append(options, option{c.Worker, ready, left.Sub(d.Size)})
		}
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.ready, b.ready) })
	n := max(min(d.Tasks-p.held[d.Step], room.maxReserved()-len(p.reservations), len(options)), 0)
	for _, o := range options[:n] {
		if p.reservations == nil {
			p.reservations, p.held = make(map[W]*Reservation[S]), make(map[S]int)
		}
		p.reservations[o.worker] = &Reservation[S]{
			Step: d.Step, Size: d.Size, Made: now, Ready: now.Add(o.ready),
			Until: now.Add(min(2*o.ready+readyMargin, MaxReserved)), spare: o.spare,
		}
		p.order = append(p.order, o.worker)
		p.held[d.Step]++
		p.counts.Made++
	}
	return n
}

// ready returns when a size will be free on the worker, and the free room by then.
func (c Candidate[W]) ready(size guavascale.Resources) (time.Duration, guavascale.Resources, bool) {
	slices.SortFunc(c.Runs, func(a, b Run) int { return cmp.Compare(a.Left, b.Left) })
	free := c.Free
	if free.Fits(size) {
		return 0, free, true
	}
	for _, r := range c.Runs {
		if free = free.Add(r.Size); free.Fits(size) {
			return r.Left, free, true
		}
	}
	return 0, free, false
}

// Admits reports whether a task may start on a worker beside its reservation: it belongs to
// the step, or ends before the room is needed, or leaves enough, or is exempt.
func (p *Plan[S, W]) Admits(now time.Time, w W, s Start[S]) bool {
	r := p.reservations[w]
	if r == nil || r.Step == s.Step || s.Access.Exempt || !now.Add(s.Left).After(r.Ready) || r.spare.Fits(s.Size) {
		return true
	}
	p.HoldBack(now, s.Step)
	return false
}

// HoldBack records that reservations may hold a step back from now on.
func (p *Plan[S, W]) HoldBack(now time.Time, step S) {
	if _, ok := p.heldBackAt[step]; ok || !p.Active() {
		return
	}
	if p.heldBackAt == nil {
		p.heldBackAt = make(map[S]time.Time)
	}
	p.heldBackAt[step] = now
}

// Started records the start of a task on a worker.
func (p *Plan[S, W]) Started(now time.Time, w W, s Start[S]) {
	r := p.reservations[w]
	switch {
	case r == nil:
	case r.Step == s.Step:
		p.remove(w)
		p.counts.Fulfilled++
	case now.Add(s.Left).After(r.Ready) && r.spare.Fits(s.Size):
		r.spare = r.spare.Sub(s.Size)
	}
}

// Expire ends the reservations that are too late, whose worker can't be used (usable), or that
// their step has no task for any more (waiting). It calls cancelled for those that were not
// fulfilled in time or lost their worker, with the reason for operators.
func (p *Plan[S, W]) Expire(now time.Time, usable func(W) bool, waiting func(S) int, cancelled func(w W, r Reservation[S], reason string)) {
	for _, w := range slices.Clone(p.order) {
		r := p.reservations[w]
		switch late := !now.Before(r.Until); {
		case p.held[r.Step] > waiting(r.Step):
			p.counts.Released++
		case late || !usable(w):
			p.counts.Cancelled++
			reason := "the worker can't be used any more"
			if late {
				reason = "not fulfilled in time"
				p.pause(now, r.Step, pauseTime)
			}
			cancelled(w, *r, reason)
		default:
			continue
		}
		p.remove(w)
	}
	for step := range p.heldBackAt {
		if waiting(step) == 0 {
			delete(p.heldBackAt, step)
		}
	}
	for step, until := range p.pausedUntil {
		if !now.Before(until) {
			delete(p.pausedUntil, step)
		}
	}
}

func (p *Plan[S, W]) remove(w W) {
	step := p.reservations[w].Step
	if p.held[step]--; p.held[step] == 0 {
		delete(p.held, step)
	}
	delete(p.reservations, w)
	p.order = slices.DeleteFunc(p.order, func(o W) bool { return o == w })
}

func (p *Plan[S, W]) pause(now time.Time, step S, d time.Duration) {
	if p.pausedUntil == nil {
		p.pausedUntil = make(map[S]time.Time)
	}
	p.pausedUntil[step] = now.Add(d)
}

// Add returns the sums of c and d.
func (c Counts) Add(d Counts) Counts {
	return Counts{
		Reserved: c.Reserved + d.Reserved, Room: c.Room.Add(d.Room), Made: c.Made + d.Made,
		Fulfilled: c.Fulfilled + d.Fulfilled, Released: c.Released + d.Released, Cancelled: c.Cancelled + d.Cancelled,
	}
}

// Counts returns the counts of reservations, and the room that is reserved.
func (p *Plan[S, W]) Counts() Counts {
	c := p.counts
	for _, r := range p.reservations {
		c.Reserved++
		c.Room = c.Room.Add(r.Size)
	}
	return c
}
