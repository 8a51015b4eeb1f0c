package guavaqueue

import (
	"time"

	"guavascale.example"
)

// addWorker adds a worker that is not known yet.
func (e *Engine) addWorker(id guavascale.WorkerID) *worker {
	if e.workers == nil {
		e.workers = make(map[guavascale.WorkerID]*worker)
	}
	w := &worker{runs: make(map[guavascale.Run]*run), durable: e.fleet[id], index: len(e.workerList)}
	e.workers[id] = w
	e.workerList = append(e.workerList, w)
	return w
}

// removeWorker removes a worker. The last one in the list takes its position.
func (e *Engine) removeWorker(w *worker) {
	last := e.workerList[len(e.workerList)-1]
	e.workerList[w.index], last.index = last, w.index
	e.workerList[len(e.workerList)-1] = nil
	e.workerList = e.workerList[:len(e.workerList)-1]
	delete(e.workers, w.ID)
}

// pool returns the pool of a service.
func (e *Engine) pool(service string) *pool {
	p := e.pools[service]
	if p == nil {
		if e.pools == nil {
			e.pools = make(map[string]*pool)
		}
		p = &pool{}
		e.pools[service] = p
	}
	return p
}

// clearPools removes the results of the last scheduling pass.
func (e *Engine) clearPools() {
	clear(e.excludedServicesByFiller)
	for _, p := range e.pools {
		p.candidates, p.listed, p.spare, p.largest, p.size, p.total = p.candidates[:0], 0, 0, 0, 0, guavascale.Resources{}
		p.ahead.Clear()
	}
}

// addCandidate adds a worker to its pool for this scheduling pass.
func (e *Engine) addCandidate(now time.Time, w *worker) {
	if e.usable(now, w) {
		w.pool.candidates = append(w.pool.candidates, w)
		w.pool.ahead.Room.Add(w.Capacity, w.used)
		w.pool.largest, w.pool.total = max(w.pool.largest, w.Capacity.MilliCores), w.pool.total.Add(w.Capacity)
	}
	if !w.listed {
		return
	}
	w.pool.listed++
	if w.serviceMilliCores == 0 {
		w.pool.spare++
	}
}

// hasSize reports whether a worker of the pool has so many processors, in thousandths of a core.
func (p *pool) hasSize(milliCores int64) bool { return p != nil && p.size >= milliCores }

// reserveWorkers subtracts the workers that services leave to fillers, determines the sizes
// for which ordinary tasks leave room, and ends reservations.
func (e *Engine) reserveWorkers(now time.Time) {
	for _, p := range e.pools {
		e.beginLookAhead(now, p)
		p.spare -= int(reservedShare * float64(p.listed))
	}
}
