// Package guavaload sums up the load that services and fillers put on a worker, by kind.
//
// Assumed load: a worker runs some ten services and fillers of a few kinds. Which of them
// disturb each other depends on their kinds.
package guavaload

import (
	"slices"

	"guavascale.example"
)

type (
	// Load is the load that the tasks of one kind and class put on a worker. MilliCores is
	// the declared size of all of them.
	Load struct {
		Kind       string
		Class      guavascale.TaskClass
		MilliCores int64
	}

	// Loads holds one load for each kind and class.
	Loads []Load
)

// Add adds a task of a kind and class.
func (l *Loads) Add(kind string, class guavascale.TaskClass, milliCores int64) {
	i := slices.IndexFunc(*l, func(o Load) bool { return o.Kind == kind && o.Class == class })
	if i < 0 {
		*l = append(*l, Load{kind, class, milliCores})
		return
	}
	(*l)[i].MilliCores += milliCores
}

// Affinity returns 1 if all services are of a kind, -1 if none is, values between for a mix by
// declared processors, and 0 without services.
func (l Loads) Affinity(kind string) float64 {
	all, same, found := int64(0), int64(0), false
	for _, o := range l {
		if o.Class != guavascale.ClassService {
			continue
		}
		if all += o.MilliCores; o.Kind == kind {
			same, found = o.MilliCores, true
		}
	}
	switch {
	case all == 0:
		return 0
	case !found:
		return -1
	}
	return 2*float64(same)/float64(all) - 1
}
