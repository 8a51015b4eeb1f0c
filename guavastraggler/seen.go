package guavastraggler

import "time"

// Seen is what reports have shown of a run. The zero value is a run from its beginning
// that no report has shown yet.
type Seen struct {
	// ChangedAt is when the progress last changed, the start before its first change, and
	// zero before the first report.
	ChangedAt time.Time
	// Partial is set if the run has not done all of its work at full pace under this owner,
	// since it was resumed, adopted or throttled or waits for the rest of its gang. Its
	// duration is not learned.
	Partial bool
	// The speed of the run counts from its progress at fromAt, zero before the next report.
	from   int
	fromAt time.Time
	// saved is the progress that the latest checkpoint saves at least.
	saved      int
	checkpoint string
}

// Report records a report of a run by its progress before and now and its latest checkpoint.
func (s *Seen) Report(now, started time.Time, before, percent int, checkpoint string) {
	s.ChangedAt = changedAt(now, started, s.ChangedAt, percent != before)
	if s.fromAt.IsZero() {
		if s.fromAt = started; s.Partial {
			s.from, s.fromAt = percent, now
		}
	}
	if checkpoint != "" && checkpoint != s.checkpoint {
		// It may have been saved right after the report before.
		s.saved, s.checkpoint = before, checkpoint
	}
}

// PaceChanged records that the run goes on at another pace. Its speed counts anew.
func (s *Seen) PaceChanged() { s.Partial, s.fromAt = true, time.Time{} }

// changedAt returns when the progress of a run last changed, which is its start before the
// first report. Known is that time by the reports before.
func changedAt(now, started, known time.Time, changed bool) time.Time {
	switch {
	case changed:
		return now
	case known.IsZero():
		return started
	default:
		return known
	}
}
