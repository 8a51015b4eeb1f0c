package guavarow

import (
	"errors"
	"slices"

	"guavascale.example"
	"guavascale.example/guavacrash"
)

var (
	errTaskNumber = errors.New("the number of a task is negative")
	errMarks      = errors.New("the marks are not those of the tasks")
)

// number returns the number of a task.
func (s *scale) number(t *Suspect) int { return t.Occurrence*s.total + s.offsets[t.Step] + t.Index }

// expandOpen turns the groups of open starts into suspects. All suspects are in the order of
// tasks then, with one entry a task.
func (p *Progress) expandOpen(s *scale) error {
	if len(p.Open) == 0 {
		return nil
	}
	for i := range p.Open {
		g := &p.Open[i]
		if len(g.Marks) > 0 && len(g.Marks) != guavacrash.MarkBytes*len(g.Tasks) || g.Doubts < 0 {
			return errMarks
		}
		for j, n := range g.Tasks {
			if n < 0 || s.total <= 0 {
				return errTaskNumber
			}
			step, found := slices.BinarySearch(s.offsets, n%s.total)
			if !found {
				step--
			}
			record := guavacrash.Record{Doubts: g.Doubts}
			if g.Doubts == 0 {
				start := g.Start
				if len(g.Marks) > 0 {
					start.Mark = guavacrash.Mark(g.Marks[j*guavacrash.MarkBytes:][:guavacrash.MarkBytes])
				}
				record.Open = &start
			}
			p.Suspects = append(p.Suspects, Suspect{
				Occurrence: n / s.total, Step: step, Index: n%s.total - s.offsets[step], Record: record,
			})
		}
	}
	p.Open = nil
	slices.SortStableFunc(p.Suspects, compareTasks)
	p.Suspects = mergeSuspects(p.Suspects)
	return nil
}

func compareTasks(a, b Suspect) int {
	return slices.Compare([]int{a.Occurrence, a.Step, a.Index}, []int{b.Occurrence, b.Step, b.Index})
}

// mergeSuspects merges the doubts and the open start of a task into one entry.
func mergeSuspects(sorted []Suspect) []Suspect {
	merged := sorted[:0]
	for _, t := range sorted {
		if n := len(merged); n > 0 && compareTasks(merged[n-1], t) == 0 {
			last := &merged[n-1].Record
			last.Doubts += t.Record.Doubts
			if t.Record.Open != nil {
				last.Open = t.Record.Open
			}
			continue
		}
		merged = append(merged, t)
	}
	return merged
}

// findWorkers sets the workers of the open starts that have marks. A worker that is not among
// those of the fleet remains unknown, as does one of two that have the same mark.
func (p *Progress) findWorkers(byMark map[guavacrash.Mark]guavascale.WorkerID) {
	for i := range p.Suspects {
		if open := p.Suspects[i].Record.Open; open != nil && open.Mark != "" {
			open.Worker = byMark[open.Mark.Worker()]
		}
	}
}

// marks returns the workers by their marks.
func marks(fleet map[guavascale.WorkerID]bool) map[guavacrash.Mark]guavascale.WorkerID {
	byMark := make(map[guavacrash.Mark]guavascale.WorkerID, len(fleet))
	for id := range fleet {
		m := guavacrash.MarkWorker(id)
		if _, taken := byMark[m]; taken {
			id = ""
		}
		byMark[m] = id
	}
	return byMark
}
