package guavastore

import (
	"context"
	"slices"
	"sync"

	"guavascale.example"
)

type (
	// hostCache holds the host list as of the last response. The list is
	// replaced, never modified, so that it can be shared.
	hostCache struct {
		mu      sync.Mutex
		history string
		version uint64
		list    []guavascale.Worker
	}

	// hostsRequest identifies the list that the client has cached, if any.
	hostsRequest struct {
		History string
		Since   uint64
	}

	// hostsResponse holds all workers if Since is 0. Otherwise it holds the
	// workers that changed after Since and the IDs of the workers removed since. A worker
	// that has left and returned may be in both lists; it is listed then.
	hostsResponse struct {
		History string
		Since   uint64
		Version uint64
		Workers []guavascale.Worker
		Gone    []guavascale.WorkerID
	}
)

// Workers returns all workers of the list. The platform sends only changes. The
// same slice is returned until the list changes, and it must not be modified.
func (h *HostList) Workers(ctx context.Context) ([]guavascale.Worker, error) {
	h.cache.mu.Lock()
	request := hostsRequest{History: h.cache.history, Since: h.cache.version}
	h.cache.mu.Unlock()
	var response hostsResponse
	c := call{system: systemHosts, op: "Workers", address: h.Address, path: "/hosts", timeout: h.Timeout}
	if err := h.transport.do(ctx, c, request, &response); err != nil {
		return nil, err
	}
	h.cache.mu.Lock()
	defer h.cache.mu.Unlock()
	return h.cache.apply(&response), nil
}

// apply updates the cached list from a response and returns it. A response that
// is not based on the cached version is ignored, because a concurrent call has
// already updated the cache.
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
		if _, isNew := changed[w.ID]; isNew {
			list = append(list, w)
		}
	}
	c.list = list
	return c.list
}
