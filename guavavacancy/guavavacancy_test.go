package guavavacancy

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"guavascale.example"
)

func cores(n int64) guavascale.Resources {
	return guavascale.Resources{MilliCores: n * 1000, MemoryMB: n * 1000}
}

// workerWith returns a worker of 32 cores with a service of 6 cores of each kind.
func workerWith(id string, kinds ...string) Worker {
	w := Worker{ID: guavascale.WorkerID(id), Capacity: cores(32), Free: cores(32 - 6*int64(len(kinds)))}
	for i, kind := range kinds {
		w.Services = append(w.Services, Service{Kind: kind, Size: cores(6), Step: fmt.Sprint(id, i), MayStop: 1})
	}
	return w
}

// Guards against services that keep fillers off workers which others could relieve of
// them, and against moves that let no filler start or take down more than they may.
func TestChoose(t *testing.T) {
	everywhere := Demand{MilliCores: 200_000, Excluded: map[string]bool{"a": true, "b": true}}
	besideA := Demand{MilliCores: 200_000, Excluded: map[string]bool{"a": true}}
	cases := map[string]struct {
		workers []Worker
		demands []Demand
		change  func([]Worker)
		want    int
	}{
		"fewest services first": {
			workers: []Worker{workerWith("w0", "a", "b"), workerWith("w1", "a"), workerWith("w2", "a", "b")},
			demands: []Demand{everywhere}, want: 1,
		},
		"no filler waits": {
			workers: []Worker{workerWith("w0", "a"), workerWith("w1", "a")}, want: -1,
		},
		"the filler may run beside the services": {
			workers: []Worker{workerWith("w0", "b"), workerWith("w1", "b")},
			demands: []Demand{besideA}, want: -1,
		},
		"workers without services take all that waits": {
			workers: []Worker{workerWith("w0", "a"), workerWith("w1", "a"), workerWith("w2")},
			demands: []Demand{{MilliCores: 32_000, Excluded: everywhere.Excluded}}, want: -1,
		},
		"workers without services are not filled": {
			workers: []Worker{workerWith("w0", "a"), workerWith("w1")},
			demands: []Demand{everywhere}, want: -1,
		},
		"no filler loses a worker": {
			workers: []Worker{workerWith("w0", "a"), workerWith("w1", "b", "b")},
			demands: []Demand{besideA}, want: -1,
		},
		"no room elsewhere": {
			workers: []Worker{workerWith("w0", "a"), workerWith("w1", "a", "a", "a", "a", "a")},
			demands: []Demand{everywhere}, want: -1,
		},
		"tasks of a step of which one may stop at a time": {
			workers: []Worker{workerWith("w0", "a", "a"), workerWith("w1", "a", "a", "a")},
			demands: []Demand{everywhere},
			change: func(ws []Worker) {
				for i := range ws {
					for j := range ws[i].Services {
						ws[i].Services[j].Step = "one"
					}
				}
			},
			want: 0,
		},
		"as many tasks of the step are down as may be": {
			workers: []Worker{workerWith("w0", "a"), workerWith("w1", "a", "b")},
			demands: []Demand{everywhere},
			change: func(ws []Worker) {
				ws[0].Services[0].MayStop = 0
				for j := range ws[1].Services {
					ws[1].Services[j].MayStop = 0
				}
			},
			want: -1,
		},
		"one task of the step a worker": {
			workers: []Worker{workerWith("w0", "a"), workerWith("w1", "a", "b")},
			demands: []Demand{everywhere},
			change: func(ws []Worker) {
				for i := range ws {
					ws[i].Services[0].Step, ws[i].Services[0].PerWorker = "one", 1
				}
			},
			want: -1,
		},
		"the label is on no other worker": {
			workers: []Worker{workerWith("w0", "a"), workerWith("w1", "a", "b")},
			demands: []Demand{everywhere},
			change:  func(ws []Worker) { ws[0].Services[0].Label, ws[0].Labels = "ssd", []string{"ssd"} },
			want:    1,
		},
		"a worker that is being vacated gets none back": {
			workers: []Worker{workerWith("w0", "a"), workerWith("w1", "a", "b")},
			demands: []Demand{everywhere},
			change:  func(ws []Worker) { ws[1].Vacated = true },
			want:    1,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if c.change != nil {
				c.change(c.workers)
			}
			assert.Equal(t, c.want, Choose(c.workers, c.demands))
		})
	}
}
