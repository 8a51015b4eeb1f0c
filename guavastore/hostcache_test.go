package guavastore

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"guavascale.example"
)

// Guards against a host that is lost from the list for good, since it left and returned
// between two reads.
func TestReturnedWorkerIsListed(t *testing.T) {
	list := func(ids ...guavascale.WorkerID) []guavascale.Worker {
		workers := make([]guavascale.Worker, 0, len(ids))
		for _, id := range ids {
			workers = append(workers, guavascale.Worker{ID: id})
		}
		return workers
	}
	cases := map[string]struct {
		set  []guavascale.Worker
		gone []guavascale.WorkerID
		want []guavascale.Worker
	}{
		"returned": {list("a"), []guavascale.WorkerID{"a"}, list("b", "a")},
		"left":     {list(), []guavascale.WorkerID{"a"}, list("b")},
		"changed":  {list("a"), nil, list("a", "b")},
		"new":      {list("c"), []guavascale.WorkerID{"c"}, list("a", "b", "c")},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := hostCache{history: "h", version: 1, list: list("a", "b")}
			got := c.apply(&hostsResponse{History: "h", Since: 1, Version: 2, Workers: tc.set, Gone: tc.gone})
			assert.Equal(t, tc.want, got)
		})
	}
}
