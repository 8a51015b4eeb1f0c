package guavastore

import (
	"context"
	"slices"
	"sync"

	"guavascale.example"
)

type (
	// hostCache is the host list as of the last answer. The list is replaced,
	// never changed, so that it can be shared.
	hostCache struct {
		mu      sync.Mutex
		history string
		version uint64
		list    []guavascale.Worker
	}

	// hostsRequest names the list that the client holds, if any.
	hostsRequest struct {
		History string
		Since   uint64
	}

	// hostsResponse holds all workers when Since is 0, and otherwise those that
	// changed after Since and the IDs of those that are gone.
	hostsResponse struct {
		History string
		Since   uint64
		Version uint64
		Workers []guavascale.Worker
		Gone    []guavascale.WorkerID
	}
)

// Workers returns all workers of the list. The platform sends only what
// changed; the same slice is returned while nothing did, and it must not be
// modified.
func (h *HostList) Workers(ctx context.Context) ([]guavascale.Worker, error) {
	h.cache.mu.Lock()
	q := hostsRequest{History: h.cache.history, Since: h.cache.version}
	h.cache.mu.Unlock()
	var a hostsResponse
	c := call{system: systemHosts, op: "Workers", address: h.Address, path: "/hosts", timeout: h.Timeout}
	if err := h.caller.do(ctx, c, q, &a); err != nil {
		return nil, err
	}
	h.cache.mu.Lock()
	defer h.cache.mu.Unlock()
	return h.cache.apply(&a), nil
}

// apply takes over an answer. One that starts from another list than the held
// one belongs to a call that another call overtook.
func (c *hostCache) apply(a *hostsResponse) []guavascale.Worker {
	if a.Since == 0 {
		if a.History != c.history || a.Version > c.version {
			c.history, c.version, c.list = a.History, a.Version, a.Workers
		}
		return c.list
	}
	if a.History != c.history || a.Since != c.version || a.Version == c.version {
		return c.list
	}
	c.version = a.Version
	changed := make(map[guavascale.WorkerID]guavascale.Worker, len(a.Workers))
	for _, w := range a.Workers {
		changed[w.ID] = w
	}
	list := make([]guavascale.Worker, 0, len(c.list)+len(a.Workers))
	for _, w := range c.list {
		if slices.Contains(a.Gone, w.ID) {
			continue
		}
		if next, ok := changed[w.ID]; ok {
			w = next
			delete(changed, w.ID)
		}
		list = append(list, w)
	}
	for _, w := range a.Workers {
		if _, fresh := changed[w.ID]; fresh {
			list = append(list, w)
		}
	}
	c.list = list
	return c.list
}
