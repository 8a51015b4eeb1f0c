package guavarow

import (
	"encoding/base64"
	"encoding/json"
	"slices"
	"strconv"

	"guavascale.example"
	"guavascale.example/guavacrash"
)

type (
	// OpenStarts holds tasks that have the same open start, or each its own but the same
	// evidence, or are in doubt equally often. Tasks are numbered by occurrence, step and
	// index.
	OpenStarts struct {
		Start guavacrash.Start
		Tasks []int
		// Marks holds one mark per task in place of Start's worker. The earlier version
		// finds no such worker, and takes the tasks for doubted.
		Marks []byte `json:",omitempty"`
		// Doubts is how often the tasks are in doubt, 0 if they have open starts. To the
		// earlier version they look as if they had.
		Doubts int `json:",omitempty"`
	}

	// openList collects open starts up to a size.
	openList struct {
		groups []OpenStarts
		room   int
	}
)

const (
	// MaxOpenStarts bounds the open starts of a row, so that they leave room for the numbers
	// of failed attempts and for checkpoints.
	MaxOpenStarts = 2000
	// leastOpenStarts is the number of open starts that fit into any row.
	leastOpenStarts = 900

	// maxSuspectBytes bounds what the suspects add to a row, and if they don't fit, what their
	// doubts add beside their open starts.
	maxSuspectBytes = 8 << 10
	// taskNumberBytes bounds the size of a task's number and its separator, and
	// groupBytes that of a group without tasks, marks and the fields of its start.
	taskNumberBytes = len("20000,")
	groupBytes      = len(`{"Start":,"Tasks":[],"Marks":"==","Doubts":2000000000},`)
	// markBytes is the size of a mark in base64.
	markBytes = guavacrash.MarkBytes / 3 * 4
	// rowBytes bounds the size of a row without the columns of its tasks, with the groups
	// of shortened starts.
	rowBytes = 512
)

// OpenStartsFit returns how many open starts certainly fit into the row of a submission with
// so many occurrences.
func OpenStartsFit(s *guavascale.Submission, occurrences int) int {
	sc := newScale(Counts(s))
	return min(sc.openBytes(occurrences)/(taskNumberBytes+markBytes), MaxOpenStarts)
}

// AllStartsFit reports whether the row certainly has room for open starts of all tasks.
func AllStartsFit(s *guavascale.Submission, occurrences int) bool {
	tasks := 0
	for i := range s.Steps {
		tasks += s.Steps[i].Count
	}
	return tasks*occurrences <= leastOpenStarts
}

// openBytes returns what is left for open starts in a row: a bit and two halves of a byte a
// task, the number of tasks of each step and the doubts have to fit as well.
func (s *scale) openBytes(occurrences int) int {
	tasks := s.total * occurrences
	columns := base64.StdEncoding.EncodedLen(tasks/8+1) + 2*base64.StdEncoding.EncodedLen(tasks/2+1)
	for _, n := range s.counts {
		columns += len(strconv.Itoa(n)) + len(",")
	}
	return MaxBytes - rowBytes - columns - maxSuspectBytes
}

// limitSuspects sets the suspects that a row holds and returns the number of open starts
// that are left out although they have to be stored. If not all suspects fit, they are
// grouped by what is the same, and if even that is too large, the starts are shortened.
func (p *Progress) limitSuspects(s *scale) (leftOut int, err error) {
	total, short := 0, slices.ContainsFunc(p.Suspects, func(t Suspect) bool { return t.Record.Open != nil && t.Record.Open.Mark != "" })
	for i := 0; i < len(p.Suspects) && total <= maxSuspectBytes && !short; i++ {
		data, err := json.Marshal(&p.Suspects[i])
		if err != nil {
			return 0, err
		}
		total += len(data) + 1
	}
	if total <= maxSuspectBytes && !short {
		return 0, nil
	}
	suspects := slices.Clone(p.Suspects)
	slices.SortStableFunc(suspects, func(a, b Suspect) int { return a.rank() - b.rank() })
	room := p.openRoom(s)
	p.Suspects = nil
	open := openList{room: room}
	if short || open.addStarts(s, suspects) > 0 {
		open = openList{room: room}
		leftOut = open.addMarks(s, suspects)
	}
	doubts := openList{room: maxSuspectBytes}
	doubts.addDoubts(s, suspects)
	p.Open = slices.Concat(open.groups, doubts.groups)
	return leftOut, nil
}

// openRoom returns the bytes for the open starts of a row, with the first of each group.
func (p *Progress) openRoom(s *scale) int {
	occurrences := 1
	for i := range p.Suspects {
		occurrences = max(occurrences, p.Suspects[i].Occurrence+1)
	}
	if n := len(p.Steps); n > 0 {
		occurrences = max(occurrences, p.Steps[n-1].Occurrence+1)
	}
	return min(s.openBytes(occurrences), MaxOpenStarts*(taskNumberBytes+markBytes)) + rowBytes/2
}

// rank orders suspects by what has to be stored.
func (t *Suspect) rank() int {
	switch {
	case t.Recorded && t.Record.Open != nil:
		return 0
	case t.Record.Open != nil:
		return 1
	default:
		return 2
	}
}

// addStarts adds the open starts as they are, and returns the number of those that don't
// fit.
func (l *openList) addStarts(s *scale, suspects []Suspect) (leftOut int) {
	groups := make(map[guavacrash.Start]int)
	for i := range suspects {
		t := &suspects[i]
		if t.Record.Open == nil {
			continue
		}
		start := *t.Record.Open
		group, known := groups[start]
		size := taskNumberBytes
		if !known {
			data, err := json.Marshal(&start)
			if err != nil {
				return len(suspects)
			}
			size += groupBytes + len(data)
		}
		if size > l.room {
			leftOut++
			continue
		}
		if l.room -= size; !known {
			group = len(l.groups)
			groups[start] = group
			l.groups = append(l.groups, OpenStarts{Start: start})
		}
		l.groups[group].Tasks = append(l.groups[group].Tasks, s.number(t))
	}
	return leftOut
}

// addMarks adds the open starts in a short form, and returns the number of those that
// don't fit although they have to be stored.
func (l *openList) addMarks(s *scale, suspects []Suspect) (leftOut int) {
	groups := make(map[guavacrash.Evidence]int)
	for i := range suspects {
		t := &suspects[i]
		if t.Record.Open == nil {
			continue
		}
		start := t.Record.Open.Short()
		group, known := groups[start.Evidence]
		size := taskNumberBytes + markBytes
		if !known {
			size += groupBytes + len(`{"Worker":"","Evidence":1}`)
		}
		if size > l.room {
			if t.Recorded {
				leftOut++
			}
			continue
		}
		if l.room -= size; !known {
			group = len(l.groups)
			groups[start.Evidence] = group
			l.groups = append(l.groups, OpenStarts{Start: guavacrash.Start{Evidence: start.Evidence}})
		}
		g := &l.groups[group]
		g.Tasks, g.Marks = append(g.Tasks, s.number(t)), append(g.Marks, start.Mark...)
	}
	return leftOut
}

// addDoubts adds the doubts as far as they fit.
func (l *openList) addDoubts(s *scale, suspects []Suspect) {
	groups := make(map[int]int)
	for i := range suspects {
		t := &suspects[i]
		n := t.Record.Doubts
		if n == 0 {
			continue
		}
		group, known := groups[n]
		size := taskNumberBytes
		if !known {
			size += groupBytes + len(`{"Worker":"","Evidence":1}`)
		}
		if size > l.room {
			continue
		}
		if l.room -= size; !known {
			group = len(l.groups)
			groups[n] = group
			l.groups = append(l.groups, OpenStarts{Start: guavacrash.Start{Evidence: guavacrash.Doubt}, Doubts: n})
		}
		l.groups[group].Tasks = append(l.groups[group].Tasks, s.number(t))
	}
}
