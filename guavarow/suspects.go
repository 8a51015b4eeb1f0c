package guavarow

import (
	"encoding/json"
	"errors"
	"slices"

	"guavascale.example/guavacrash"
)

// OpenStarts holds the tasks that have the same open start. Tasks are numbered by
// occurrence, step and index.
type OpenStarts struct {
	Start guavacrash.Start
	Tasks []int
}

const (
	// maxSuspectBytes bounds what the suspects add to a row, and maxOpenBytes what the open
	// starts add to it that don't fit among the suspects.
	maxSuspectBytes = 8 << 10
	maxOpenBytes    = 16 << 10
	// taskNumberBytes bounds the size of a task's number and its separator.
	taskNumberBytes = len("20000,")
)

var errTaskNumber = errors.New("the number of a task is negative")

// limitSuspects sets the suspects that a row holds and returns the number of open starts
// that are left out. Suspects that are nothing but an open start become open starts if
// not all suspects fit.
func (p *Progress) limitSuspects(s *scale) (leftOut int, err error) {
	sizes := make([]int, len(p.Suspects))
	total := 0
	for i := range p.Suspects {
		data, err := json.Marshal(&p.Suspects[i])
		if err != nil {
			return 0, err
		}
		sizes[i] = len(data) + 1
		total += sizes[i]
	}
	if total <= maxSuspectBytes {
		return 0, nil
	}
	suspects := p.Suspects
	p.Suspects = nil
	groups := make(map[guavacrash.Start]int)
	left, leftOpen := maxSuspectBytes, maxOpenBytes
	for _, withOpen := range []bool{true, false} {
		for i, t := range suspects {
			open := t.Record.Open
			switch {
			case (open != nil) != withOpen:
			case open != nil && t.Record.Doubts == 0:
				size, n := taskNumberBytes, 0
				group, known := groups[*open]
				if !known {
					size += sizes[i]
				}
				if n = t.Occurrence*s.total + s.offsets[t.Step] + t.Index; size > leftOpen {
					leftOut++
					continue
				}
				if leftOpen -= size; !known {
					group = len(p.Open)
					groups[*open] = group
					p.Open = append(p.Open, OpenStarts{Start: *open})
				}
				p.Open[group].Tasks = append(p.Open[group].Tasks, n)
			case sizes[i] <= left:
				left -= sizes[i]
				p.Suspects = append(p.Suspects, t)
			case withOpen:
				leftOut++
			}
		}
	}
	return leftOut, nil
}

// expandOpen turns the open starts into suspects. All suspects are in the order of tasks
// then.
func (p *Progress) expandOpen(s *scale) error {
	if len(p.Open) == 0 {
		return nil
	}
	for i := range p.Open {
		for _, n := range p.Open[i].Tasks {
			if n < 0 || s.total <= 0 {
				return errTaskNumber
			}
			step, found := slices.BinarySearch(s.offsets, n%s.total)
			if !found {
				step--
			}
			start := p.Open[i].Start
			p.Suspects = append(p.Suspects, Suspect{
				Occurrence: n / s.total, Step: step, Index: n%s.total - s.offsets[step], Record: guavacrash.Record{Open: &start},
			})
		}
	}
	p.Open = nil
	slices.SortStableFunc(p.Suspects, func(a, b Suspect) int {
		return slices.Compare([]int{a.Occurrence, a.Step, a.Index}, []int{b.Occurrence, b.Step, b.Index})
	})
	return nil
}
