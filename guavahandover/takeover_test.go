package guavahandover

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
)

// Guards against a takeover whose times count workers that left the list, or that answered
// before they were listed, wrongly, and against one that is reported twice or never.
func TestTakeover(t *testing.T) {
	began := time.Unix(1000, 0)
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	list := func(removed []guavascale.WorkerID, ids ...guavascale.WorkerID) *guavascale.WorkerChanges {
		c := &guavascale.WorkerChanges{}
		for _, id := range removed {
			c.Changes = append(c.Changes, guavascale.WorkerChange{Worker: guavascale.Worker{ID: id}, Removed: true})
		}
		for _, id := range ids {
			c.Changes = append(c.Changes, guavascale.WorkerChange{Worker: guavascale.Worker{ID: id}})
		}
		return c
	}
	ms := time.Millisecond
	cases := map[string]struct {
		run   func(*Takeover)
		end   int
		force bool
		want  Times
		open  bool
	}{
		"all answer and one starts": {run: func(k *Takeover) {
			k.List(at(1), list(nil, "a", "b"))
			k.Answered(at(10), "a")
			k.Answered(at(12), "a")
			k.Answered(at(20), "b")
			k.Started(at(25))
			k.Started(at(30))
		}, end: 30, want: Times{Half: 10 * ms, Most: 20 * ms, All: 20 * ms, Start: 25 * ms}},
		"answered before it was listed": {run: func(k *Takeover) {
			k.Answered(at(5), "a")
			k.List(at(8), list(nil, "a"))
		}, end: 10_000, want: Times{Half: 8 * ms, Most: 8 * ms, All: 8 * ms}},
		"the silent one leaves": {run: func(k *Takeover) {
			k.List(at(1), list(nil, "a", "b", "c"))
			k.Answered(at(5), "a")
			k.Answered(at(6), "b")
			k.List(at(9), list([]guavascale.WorkerID{"c"}))
		}, end: 10_000, want: Times{Half: 6 * ms, Most: 9 * ms, All: 9 * ms}},
		"the one that answered leaves and returns": {run: func(k *Takeover) {
			k.List(at(1), list(nil, "a", "b"))
			k.Answered(at(5), "a")
			k.List(at(6), list([]guavascale.WorkerID{"a"}, "a"))
			k.Answered(at(9), "b")
		}, end: 10_000, want: Times{Half: 5 * ms, Most: 9 * ms, All: 9 * ms}},
		"the one that answered leaves": {run: func(k *Takeover) {
			k.List(at(1), list(nil, "a", "b", "c", "d"))
			k.Answered(at(5), "a")
			k.List(at(6), list([]guavascale.WorkerID{"a"}))
			k.Answered(at(9), "b")
		}, end: 50, force: true},
		"silent so far": {run: func(k *Takeover) { k.List(at(1), list(nil, "a")) }, end: 9_000, open: true},
		"no list":       {run: func(k *Takeover) { k.Answered(at(1), "a") }, end: 10_000},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			k := &Takeover{Began: began}
			tc.run(k)
			got, ok := k.Finish(at(tc.end), tc.force)
			require.Equal(t, !tc.open, ok)
			assert.Equal(t, tc.want, got)
			_, again := k.Finish(at(60_000), true)
			assert.Equal(t, tc.open, again)
		})
	}
	var none Takeover
	none.Answered(began, "a")
	_, ok := none.Finish(began, true)
	assert.False(t, ok)
}
