// Package guavaattempt counts the failed attempts of a task.
//
// Assumed failure: a task fails wherever it runs, or its worker fails every task. Attempts are
// bounded by the policy of the queue, which may change in between, and further ones are delayed.
// Workers may repeat ends in any order, so attempts are known by number and count once. A policy
// may allow any number of attempts, while memory and rows are bounded: successive numbers are
// kept as a range.
package guavaattempt

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

type (
	// Failures is the set of the failed attempts of a task. The zero value is empty. A
	// Failures must not be modified through a copy.
	//
	// In JSON it is the list of the numbers, in which negative ones stand for unknown numbers,
	// and for more than MaxNumbers attempts an object with the fields of the struct.
	Failures struct {
		// Count is the number of failed attempts. The numbers of some may be unknown.
		Count int
		// Ranges holds the known numbers in ascending order. Ranges neither overlap nor
		// touch, and there are at most MaxRanges: beyond them the lowest gap is closed, and
		// an attempt in it that turns out later to have failed isn't counted.
		Ranges []Range
	}

	// Range is a range of attempt numbers, both inclusive and at least 1.
	Range struct{ First, Last int64 }

	// RangeError reports a stored range or count that is not valid.
	RangeError struct {
		Count int
		Range Range
	}

	// wireFailures is the JSON object of Failures.
	wireFailures struct {
		Count  int
		Ranges []Range `json:",omitempty"`
	}
)

const (
	// MaxNumbers bounds the attempts that are stored by single numbers, and lists of the
	// workers on which they have failed.
	MaxNumbers = 16
	// MaxRanges bounds the ranges of a task, of which a submission has thousands that share
	// a row.
	MaxRanges = 16
	// retryDelay, times the number of failed attempts, delays the next attempt of a task. It
	// grows up to maxRetryDelay, since a service must run again however often it fails.
	retryDelay    = 50 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
)

// Error returns the text of the error.
func (e *RangeError) Error() string {
	return fmt.Sprintf("invalid failed attempts: count %d, range %d to %d", e.Count, e.Range.First, e.Range.Last)
}

// Of returns the set of the given attempts, of which those below 1 have no known number.
func Of(attempts ...int64) Failures {
	var f Failures
	for _, n := range attempts {
		if n < 1 {
			f.Count++
			continue
		}
		f.Add(n)
	}
	return f
}

// Has reports whether an attempt is known to have failed.
func (f *Failures) Has(attempt int64) bool {
	i := f.position(attempt)
	return i < len(f.Ranges) && f.Ranges[i].First <= attempt
}

// position returns the index of the first range that ends at or after an attempt.
func (f *Failures) position(attempt int64) int {
	for i, r := range f.Ranges {
		if r.Last >= attempt {
			return i
		}
	}
	return len(f.Ranges)
}

// Add adds a failed attempt, unless it is in the set.
func (f *Failures) Add(attempt int64) {
	if f.Has(attempt) {
		return
	}
	f.Count++
	i := f.position(attempt)
	extends := i > 0 && f.Ranges[i-1].Last == attempt-1
	precedes := i < len(f.Ranges) && f.Ranges[i].First == attempt+1
	switch {
	case extends && precedes:
		f.Ranges[i-1].Last = f.Ranges[i].Last
		f.Ranges = slices.Delete(f.Ranges, i, i+1)
	case extends:
		f.Ranges[i-1].Last = attempt
	case precedes:
		f.Ranges[i].First = attempt
	default:
		f.Ranges = slices.Insert(f.Ranges, i, Range{attempt, attempt})
	}
	if len(f.Ranges) > MaxRanges {
		f.Ranges[0].Last = f.Ranges[1].Last
		f.Ranges = slices.Delete(f.Ranges, 1, 2)
	}
}

// KeepLatest drops the lowest attempts beyond MaxNumbers, for a task whose attempts are not
// bounded.
func (f *Failures) KeepLatest() {
	f.Count = min(f.Count, MaxNumbers)
	left := int64(MaxNumbers)
	for i := len(f.Ranges) - 1; i >= 0; i-- {
		r := &f.Ranges[i]
		r.First = max(r.First, r.Last-left+1)
		if left -= r.Last - r.First + 1; left == 0 {
			f.Ranges = slices.Delete(f.Ranges, 0, i)
			return
		}
	}
}

// Last returns the highest known number, or 0.
func (f *Failures) Last() int64 {
	if len(f.Ranges) == 0 {
		return 0
	}
	return f.Ranges[len(f.Ranges)-1].Last
}

// Delay returns the delay of the next attempt.
func (f *Failures) Delay() time.Duration {
	return time.Duration(min(f.Count, int(maxRetryDelay/retryDelay))) * retryDelay
}

// UsedUp tells why no attempt is left where a policy allows a number of them; 0 means any
// number. It returns "" if there is one.
func (f *Failures) UsedUp(allowed int) string {
	if allowed <= 0 || f.Count < allowed {
		return ""
	}
	return fmt.Sprintf("%d attempts of a task have failed, %d are allowed", f.Count, allowed)
}

// Numbers returns the numbers of the attempts, of which negative ones stand for unknown
// numbers. It returns nil if there are more than MaxNumbers.
func (f *Failures) Numbers() []int64 {
	known := int64(0)
	for _, r := range f.Ranges {
		known += r.Last - r.First + 1
	}
	if f.Count > MaxNumbers || known > int64(f.Count) {
		return nil
	}
	numbers := make([]int64, 0, f.Count)
	for n := int64(1); n <= int64(f.Count)-known; n++ {
		numbers = append(numbers, -n)
	}
	for _, r := range f.Ranges {
		for n := r.First; n <= r.Last; n++ {
			numbers = append(numbers, n)
		}
	}
	return numbers
}

// MarshalJSON encodes the attempts.
func (f Failures) MarshalJSON() ([]byte, error) {
	if numbers := f.Numbers(); numbers != nil {
		return json.Marshal(numbers)
	}
	return json.Marshal(wireFailures(f))
}

// UnmarshalJSON decodes the attempts. It fails with a RangeError if a range is not valid.
func (f *Failures) UnmarshalJSON(data []byte) error {
	if len(data) == 0 || data[0] != '{' {
		var numbers []int64
		if err := json.Unmarshal(data, &numbers); err != nil {
			return err
		}
		*f = Of(numbers...)
		return nil
	}
	var w wireFailures
	if err := json.Unmarshal(data, &w); err != nil {
		return err
	}
	*f = Failures(w)
	return f.check()
}

// Pack returns the count and the ends of the ranges as one list, the form of Unpack.
func (f *Failures) Pack() []int64 {
	packed := []int64{int64(f.Count)}
	for _, r := range f.Ranges {
		packed = append(packed, r.First, r.Last)
	}
	return packed
}

// Unpack returns the attempts of a list that Pack has returned. It fails with a RangeError if
// the list is not valid.
func Unpack(packed []int64) (Failures, error) {
	if len(packed)%2 == 0 {
		return Failures{}, &RangeError{}
	}
	f := Failures{Count: int(packed[0])}
	for i := 1; i < len(packed); i += 2 {
		f.Ranges = append(f.Ranges, Range{packed[i], packed[i+1]})
	}
	return f, f.check()
}

func (f *Failures) check() error {
	if f.Count < 1 || len(f.Ranges) > MaxRanges {
		return &RangeError{Count: f.Count}
	}
	last := int64(-1)
	for _, r := range f.Ranges {
		if r.First < 1 || r.Last < r.First || r.First-1 <= last {
			return &RangeError{f.Count, r}
		}
		last = r.Last
	}
	return nil
}
