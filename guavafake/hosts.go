package guavafake

import (
	"crypto/rand"
	"reflect"
	"sync"

	"guavascale.example"
)

type (
	// hostHistory numbers the changes to the host list, so that a client that
	// has the list at a version gets only the later changes. A restart of the
	// platform starts a new history.
	hostHistory struct {
		mu      sync.Mutex
		id      string
		version uint64
		workers map[guavascale.WorkerID]hostEntry
		removed map[guavascale.WorkerID]uint64
	}

	hostEntry struct {
		worker  guavascale.Worker
		version uint64
	}

	// hostsRequest identifies the version of the list that the client has, if
	// any.
	hostsRequest struct {
		History string
		Since   uint64
	}

	// hostsResponse contains all workers, or those that changed after Since
	// and the IDs of those that were removed.
	hostsResponse struct {
		History string
		Since   uint64
		Version uint64
		Workers []guavascale.Worker
		Gone    []guavascale.WorkerID `json:",omitempty"`
	}
)

// respond records the current list and returns what has changed since the
// version that the client has.
func (h *hostHistory) respond(q hostsRequest, list []guavascale.Worker) hostsResponse {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.update(list)
	if q.History != h.id {
		q.Since = 0
	}
	a := hostsResponse{History: h.id, Since: q.Since, Version: h.version, Workers: []guavascale.Worker{}}
	for _, w := range list {
		if h.workers[w.ID].version > q.Since {
			a.Workers = append(a.Workers, w)
		}
	}
	for id, version := range h.removed {
		if q.Since > 0 && version > q.Since {
			a.Gone = append(a.Gone, id)
		}
	}
	return a
}

func (h *hostHistory) update(list []guavascale.Worker) {
	if h.id == "" {
		h.id, h.version = rand.Text(), 1
		h.workers = make(map[guavascale.WorkerID]hostEntry)
		h.removed = make(map[guavascale.WorkerID]uint64)
	}
	next := h.version + 1
	present := make(map[guavascale.WorkerID]bool, len(list))
	for _, w := range list {
		present[w.ID] = true
		if old, ok := h.workers[w.ID]; !ok || !reflect.DeepEqual(old.worker, w) {
			h.workers[w.ID] = hostEntry{w, next}
			delete(h.removed, w.ID)
			h.version = next
		}
	}
	for id := range h.workers {
		if !present[id] {
			delete(h.workers, id)
			h.removed[id] = next
			h.version = next
		}
	}
}
