package guavacrash

import "guavascale.example"

type (
	// Ledger holds starts whose workers do not answer, until it is known what has become
	// of the workers. The zero value is ready to use.
	Ledger[T any] struct {
		open map[guavascale.WorkerID][]entry[T]
	}

	// Fate is what is known of the worker of a start.
	Fate int

	entry[T any] struct {
		Case[T]
		// doubted is set once the task is in doubt for the start.
		doubted bool
	}
)

const (
	// Unknown means that the worker may still answer, Lapsed that its leases must have
	// ended, Ended that it has certainly crashed or been replaced, and Alive that it has
	// run on. Dropped means that the task needs no verdict any more.
	Unknown Fate = iota
	Lapsed
	Ended
	Alive
	Dropped
)

// Add adds a start. Doubted is set if the task is in doubt for it already.
func (l *Ledger[T]) Add(c Case[T], doubted bool) {
	if l.open == nil {
		l.open = make(map[guavascale.WorkerID][]entry[T])
	}
	l.open[c.Start.Worker] = append(l.open[c.Start.Worker], entry[T]{c, doubted})
}

// Settle judges the starts whose workers' fate is known. A task is in doubt from when the
// worker has lapsed, and charged or cleared once it is known to have ended or run on.
func (l *Ledger[T]) Settle(fate func(Case[T]) Fate) []Verdict[T] {
	var verdicts []Verdict[T]
	for id, entries := range l.open {
		var lapsed, ended []Case[T]
		kept := entries[:0]
		for _, c := range entries {
			f := fate(c.Case)
			if c.doubted && (f == Ended || f == Alive) {
				c.Record.Doubts--
			}
			switch {
			case f == Alive:
				if o := c.Record.Open; o != nil && o.Worker == id {
					c.Record.Open = nil
				}
				verdicts = append(verdicts, Verdict[T]{Task: c.Task, Worker: id, Cleared: true})
			case f == Ended:
				ended = append(ended, c.Case)
			case f == Lapsed && !c.doubted:
				lapsed = append(lapsed, c.Case)
				kept = append(kept, entry[T]{c.Case, true})
			case f != Dropped:
				kept = append(kept, c)
			}
		}
		verdicts = append(verdicts, Judge(lapsed, false)...)
		verdicts = append(verdicts, Judge(ended, true)...)
		if l.open[id] = kept; len(kept) == 0 {
			delete(l.open, id)
		}
	}
	return verdicts
}
