package guavarow

import (
	"guavascale.example"
	"guavascale.example/guavacrash"
)

// Shard holds the decoded rows of a shard.
type Shard struct {
	Submissions map[string]Submission
	Kinds       Kinds
	Missing     Missing
	Fleet       map[guavascale.WorkerID]bool
	// Bindings is the value of the row BindingsKey, or nil if there is none.
	Bindings []byte
	// Accounts is the value of the row AccountsKey, or nil if there is none.
	Accounts []byte

	progress map[string]guavascale.Row
	// byMark holds the workers of the fleet.
	byMark map[guavacrash.Mark]guavascale.WorkerID
	// unreadable holds the errors of rows in Submissions that can't be decoded.
	unreadable map[string]error
}

// Read decodes all rows of a shard. A submission of which a row can't be decoded, such as
// one that a later version wrote, is no reason to fail; see Progress.
func Read(rows []guavascale.Row) (Shard, error) {
	s := Shard{
		Submissions: make(map[string]Submission), progress: make(map[string]guavascale.Row),
		unreadable: make(map[string]error),
	}
	var workers fleet
	for _, row := range rows {
		if id, ok := submissionOf(row.Key); ok {
			var sub Submission
			if err := Decode(row, &sub); err != nil {
				s.unreadable[id] = err
				sub = Submission{}
			}
			sub.Submission.ID = id
			s.Submissions[id] = sub
			continue
		}
		if id, ok := progressOf(row.Key); ok {
			s.progress[id] = row
			continue
		}
		err := workers.add(row)
		switch row.Key {
		case KindsKey:
			err = Decode(row, &s.Kinds)
		case BindingsKey:
			s.Bindings = row.Value
		case AccountsKey:
			s.Accounts = row.Value
		case MissingKey:
			err = Decode(row, &s.Missing)
		}
		if err != nil {
			return Shard{}, err
		}
	}
	var err error
	s.Fleet, err = workers.all()
	s.byMark = marks(s.Fleet)
	return s, err
}

// Progress returns the progress of a submission, which is the zero value if there is no
// row. It fails if a row of the submission can't be decoded.
func (s *Shard) Progress(id string) (Progress, error) {
	if err := s.unreadable[id]; err != nil {
		return Progress{}, err
	}
	row, ok := s.progress[id]
	if !ok {
		return Progress{}, nil
	}
	sub := s.Submissions[id].Submission
	p, err := decodeProgress(row, Counts(&sub), max(sub.Repeat, 1))
	p.findWorkers(s.byMark)
	return p, err
}

// Counts returns the number of tasks of each step of an occurrence.
func Counts(s *guavascale.Submission) []int {
	counts := make([]int, len(s.Steps))
	for i := range s.Steps {
		counts[i] = s.Steps[i].Count
	}
	return counts
}
