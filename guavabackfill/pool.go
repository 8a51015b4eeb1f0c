package guavabackfill

import "time"

// Pool is the look-ahead for the workers of a pool: the sizes of its tasks, the room that the
// workers have in a scheduling pass, and the reservations. The zero value is ready to use.
type Pool[S, W comparable] struct {
	Shapes Shapes
	Room   Room
	Fit    Fit
	Plan   Plan[S, W]
	// offset is the first worker of the next window among which one is reserved.
	offset int
	// searches counts the windows that were searched in this scheduling pass.
	searches int
}

const (
	// reservationWindow is the number of workers among which some are chosen for a
	// reservation, so that the cost doesn't grow with the pool.
	reservationWindow = 256
	// maxSearches bounds the windows that are searched in a scheduling pass, and searchPause
	// is how long a step waits after a search without result, so that the cost doesn't grow
	// with the number of large steps while no run ends soon.
	maxSearches = 8
	searchPause = 100 * time.Millisecond
)

// Clear begins a scheduling pass. The workers of the pool are then added to Room.
func (p *Pool[S, W]) Clear() { p.Room = Room{} }

// Begin determines the sizes for which room is kept, and ends reservations as Expire does.
func (p *Pool[S, W]) Begin(now time.Time, usable func(W) bool, waiting func(S) int, cancelled func(w W, r Reservation[S], reason string)) {
	p.Fit, p.searches = p.Shapes.Fit(now, p.Room), 0
	p.Plan.Expire(now, usable, waiting, cancelled)
}

// LookAhead reserves workers for a step that found no room, if it should, and returns what the
// reservations mean for the step in this pass. Candidate returns a worker as far as a task of
// the step could ever run there.
func (p *Pool[S, W]) LookAhead(now time.Time, d Demand[S], noRoom bool, workers []W, candidate func(W) (Candidate[W], bool)) Access[S] {
	if noRoom && p.searches < maxSearches && p.Plan.MayReserve(now, d, p.Room) {
		p.searches++
		var candidates []Candidate[W]
		for i := range min(len(workers), reservationWindow) {
			if c, ok := candidate(workers[(p.offset+i)%len(workers)]); ok {
				candidates = append(candidates, c)
			}
		}
		p.offset += reservationWindow
		if p.Plan.Reserve(now, d, p.Room, candidates) == 0 {
			p.Plan.pause(now, d.Step, searchPause)
		}
	}
	return p.Plan.Access(now, d.Step)
}
