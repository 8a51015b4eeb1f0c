package guavastate

import (
	"slices"
	"time"
)

// maxBacklogs bounds the length of a BacklogList.
const maxBacklogs = 8

// BacklogList collects the backlogs of classes of steps. The zero value is ready to use.
type BacklogList[K comparable] struct {
	index map[K]int
	list  []Backlog
}

// Add adds the waiting tasks of a step to the backlog of its class, unless the workers have
// less room than for twice as many. It calls inspect for the first step of a class, and drops
// the steps of further classes once there are maxBacklogs.
func (l *BacklogList[K]) Add(class K, tasks int, wait time.Duration, inspect func() Backlog) {
	i, ok := l.index[class]
	if !ok {
		if len(l.list) >= maxBacklogs {
			return
		}
		if l.index == nil {
			l.index = make(map[K]int)
		}
		i = len(l.list)
		l.index[class] = i
		l.list = append(l.list, inspect())
	}
	b := &l.list[i]
	if b.Room < 2*int64(tasks) {
		return
	}
	b.Tasks += tasks
	b.WaitMs = max(b.WaitMs, wait.Milliseconds())
}

// Backlogs returns the backlogs with tasks.
func (l *BacklogList[K]) Backlogs() []Backlog {
	return slices.DeleteFunc(l.list, func(b Backlog) bool { return b.Tasks == 0 })
}
