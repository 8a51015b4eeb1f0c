package guavarow

import (
	"time"

	"guavascale.example"
)

// StartRoom is the number of further starts for which the row of a submission has room. The zero
// value is ready to use.
type StartRoom struct {
	left int
	at   time.Time
}

// Left returns the number of further starts. Open counts the starts that are stored, and is called
// once for each time now.
func (r *StartRoom) Left(now time.Time, s *guavascale.Submission, occurrences int, open func() int) int {
	if AllStartsFit(s, occurrences) {
		return MaxOpenStarts
	}
	if r.at.Equal(now) {
		return r.left
	}
	r.left, r.at = OpenStartsFit(s, occurrences)-open(), now
	return r.left
}

// Take records a further start.
func (r *StartRoom) Take() { r.left-- }
