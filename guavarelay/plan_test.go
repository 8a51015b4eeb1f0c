package guavarelay

import (
	"fmt"
	"hash/maphash"
	"testing"

	"github.com/stretchr/testify/assert"

	"guavascale.example"
)

// Guards against workers of a zone that no relay covers although daemons are left, and
// against more relays than are needed, each of which wakes the owner.
func TestChoose(t *testing.T) {
	cases := map[string]struct {
		workers    map[guavascale.Zone]int
		candidates []Candidate
		current    map[string]bool
		want       map[string]bool
	}{
		"the strongest of each zone": {
			workers:    map[guavascale.Zone]int{"x": 100, "y": 100},
			candidates: []Candidate{{"a", "x", 0.1}, {"b", "x", 0.8}, {"c", "y", 0.8}, {"d", "y", 0.7}},
			want:       map[string]bool{"b": true, "c": true},
		},
		"several weak ones": {
			workers:    map[guavascale.Zone]int{"x": 100},
			candidates: []Candidate{{"a", "x", 0.1}, {"b", "x", 0.1}, {"c", "x", 0.1}},
			want:       map[string]bool{"a": true, "b": true},
		},
		"another zone helps out": {
			workers:    map[guavascale.Zone]int{"x": 100},
			candidates: []Candidate{{"a", "y", 0.8}},
			want:       map[string]bool{"a": true},
		},
		"current relays stay": {
			workers:    map[guavascale.Zone]int{"x": 100},
			candidates: []Candidate{{"a", "x", 0.4}, {"b", "x", 0.8}},
			current:    map[string]bool{"a": true},
			want:       map[string]bool{"a": true},
		},
		"too few daemons": {
			workers:    map[guavascale.Zone]int{"x": 1000},
			candidates: []Candidate{{"a", "x", 0.8}},
			want:       map[string]bool{"a": true},
		},
		"no workers": {candidates: []Candidate{{"a", "x", 0.8}}, want: map[string]bool{}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, tc.want, Choose(tc.workers, tc.candidates, tc.current))
		})
	}
}

// Guards against a relay that gets more workers than it can call, or workers of another
// zone while its own has some without a relay, and against the loss of one relay that
// moves the workers of the others.
func TestAssign(t *testing.T) {
	workers := make(map[guavascale.WorkerID]guavascale.Zone)
	for i := range 100 {
		workers[guavascale.WorkerID(fmt.Sprintf("x%d", i))] = "x"
		workers[guavascale.WorkerID(fmt.Sprintf("y%d", i))] = "y"
	}
	relays := []Candidate{{"a", "x", 0.1}, {"b", "x", 0.1}, {"c", "y", 0.8}, {"d", "y", 0.1}}
	seed := maphash.MakeSeed()
	assigned := assign(seed, workers, relays)
	perRelay := make(map[string]int)
	for id, r := range assigned {
		perRelay[r]++
		if workers[id] == "x" {
			assert.Contains(t, []string{"a", "b"}, r)
		}
	}
	assert.Len(t, assigned, 200)
	for _, r := range relays {
		assert.LessOrEqual(t, perRelay[r.Instance], capacity(r.Strength), r.Instance)
	}
	moved := 0
	for id, r := range assign(seed, workers, relays[:3]) {
		if before := assigned[id]; before != "d" && before != r {
			moved++
		}
	}
	assert.Zero(t, moved, "workers of the relays that are left")
	assert.Len(t, assign(seed, workers, relays[:1]), capacity(0.1), "the owner calls the others")
	assert.Empty(t, assign(seed, workers, nil))
}

// Guards against relays in a fleet whose owner can make all calls itself.
func TestCanCallDirectly(t *testing.T) {
	assert.True(t, CanCallDirectly(0.16, 48))
	assert.True(t, CanCallDirectly(0.4, 66))
	assert.False(t, CanCallDirectly(0.8, 1100))
}
