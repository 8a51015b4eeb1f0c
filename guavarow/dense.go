package guavarow

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"maps"
	"slices"

	"guavascale.example/guavaattempt"
	"guavascale.example/guavalimit"
)

type (
	// scale numbers the tasks of a submission by occurrence, step and index.
	scale struct {
		counts []int
		// offsets holds the number of tasks of the earlier steps, total that of all.
		offsets []int
		total   int
	}

	// attemptList is a list of lists of attempts. Each begins with the distance from the
	// task before and with its length; the attempts are differences as well.
	attemptList []byte

	// denseFailed holds the failed attempts of tasks by single numbers, and by their count and
	// ranges of numbers (guavaattempt.Failures.Pack). In JSON it is only Numbers if there are no
	// Ranges; the earlier version, which knows no ranges, fails to decode the other form.
	denseFailed struct{ Numbers, Ranges attemptList }

	// wireFailed is the JSON object of denseFailed.
	wireFailed struct {
		Numbers, Ranges attemptList `json:",omitempty"`
	}
)

const (
	// maxNibble is the largest number in half a byte. The engine keeps fewer crashes.
	maxNibble = 15
)

var errCorrupt = errors.New("a column is not valid")

func newScale(counts []int) scale {
	s := scale{counts: counts, offsets: make([]int, len(counts))}
	for i, n := range counts {
		s.offsets[i] = s.total
		s.total += n
	}
	return s
}

func (s *scale) first(st *Step) int { return st.Occurrence*s.total + s.offsets[st.Step] }

// MarshalJSON encodes the attempts.
func (d denseFailed) MarshalJSON() ([]byte, error) {
	if len(d.Ranges) == 0 {
		return json.Marshal(d.Numbers)
	}
	return json.Marshal(wireFailed(d))
}

// UnmarshalJSON decodes the attempts.
func (d *denseFailed) UnmarshalJSON(data []byte) error {
	if len(data) == 0 || data[0] != '{' {
		return json.Unmarshal(data, &d.Numbers)
	}
	return json.Unmarshal(data, (*wireFailed)(d))
}

// decode returns the attempts by task. The first distance counts from task n.
func (d *denseFailed) decode(n int) (map[int]guavaattempt.Failures, error) {
	all := make(map[int]guavaattempt.Failures)
	numbers, err := d.Numbers.decode(n)
	if err != nil {
		return nil, err
	}
	for task, attempts := range numbers {
		all[task] = guavaattempt.Of(attempts...)
	}
	ranges, err := d.Ranges.decode(n)
	if err != nil {
		return nil, err
	}
	for task, packed := range ranges {
		if all[task], err = guavaattempt.Unpack(packed); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// pack returns the columns, with the failed attempts in both forms, the counts of
// more than maxNibble, and the checkpoints by task number.
func (s *scale) pack(p *Progress) (d *denseSteps, large attemptList, saved map[int]string) {
	d = &denseSteps{Counts: s.counts, Before: s.leadingDone(p)}
	saved = make(map[int]string)
	var lastNumbers, lastRanges, lastCount int
	for i := range p.Steps {
		st := &p.Steps[i]
		first := s.first(st) - d.Before
		for _, n := range st.Done {
			setBit(&d.Done, first+n)
		}
		for _, n := range slices.Sorted(maps.Keys(st.Failed)) {
			if first+n < 0 {
				continue
			}
			attempts := st.Failed[n]
			setNibble(&d.Failures, first+n, attempts.Count)
			if attempts.Count > maxNibble {
				large, lastCount = large.add(first+n-lastCount, []int64{int64(attempts.Count)}), first+n
			}
			if numbers := attempts.Numbers(); numbers != nil {
				d.Failed.Numbers, lastNumbers = d.Failed.Numbers.add(first+n-lastNumbers, numbers), first+n
			} else {
				d.Failed.Ranges, lastRanges = d.Failed.Ranges.add(first+n-lastRanges, attempts.Pack()), first+n
			}
		}
		for n, crashes := range st.Crashes {
			setNibble(&d.Crashes, first+n, crashes)
		}
		for n, checkpoint := range st.Saved {
			saved[first+d.Before+n] = checkpoint
		}
	}
	return d, large, saved
}

// leadingDone returns the number of tasks that are done before the first that isn't.
func (s *scale) leadingDone(p *Progress) int {
	if len(s.counts) == 0 {
		return 0
	}
	n := p.DoneSteps/len(s.counts)*s.total + s.offsets[p.DoneSteps%len(s.counts)]
	for i := range p.Steps {
		st := &p.Steps[i]
		if s.first(st) != n {
			break
		}
		for j, index := range st.Done {
			if j != index {
				break
			}
			n++
		}
		if n != s.first(st)+s.counts[st.Step] {
			break
		}
	}
	return n
}

// unpack adds the steps to p.
func (s *scale) unpack(d *denseSteps, p *Progress) error {
	tasks := d.Before + max(8*len(d.Done), 2*len(d.Failures), 2*len(d.Crashes))
	if d.Before < 0 || s.total <= 0 || tasks > guavalimit.MaxScheduledTasks+8 {
		return errCorrupt
	}
	at := func(n int) (st *Step, index int) {
		occurrence, rest := n/s.total, n%s.total
		step, found := slices.BinarySearch(s.offsets, rest)
		if !found {
			step--
		}
		if len(p.Steps) == 0 || p.Steps[len(p.Steps)-1].Occurrence != occurrence || p.Steps[len(p.Steps)-1].Step != step {
			p.Steps = append(p.Steps, Step{Occurrence: occurrence, Step: step})
		}
		return &p.Steps[len(p.Steps)-1], rest - s.offsets[step]
	}
	failed, err := d.Failed.decode(d.Before)
	if err != nil {
		return err
	}
	for n := d.Before; n < tasks; n++ {
		if count := nibble(d.Failures, n-d.Before); count > failed[n].Count {
			failed[n] = guavaattempt.Failures{Count: count}
		}
	}
	highest := tasks - 1
	for n := range failed {
		highest = max(highest, n)
	}
	for n := range d.Saved {
		if n < d.Before {
			return errCorrupt
		}
		highest = max(highest, n)
	}
	if highest >= guavalimit.MaxScheduledTasks+8 {
		return errCorrupt
	}
	for n := range highest + 1 {
		k := n - d.Before
		if k < 0 || bit(d.Done, k) {
			st, index := at(n)
			st.Done = append(st.Done, index)
		}
		if attempts := failed[n]; attempts.Count > 0 {
			st, index := at(n)
			put(&st.Failed, index, attempts)
		}
		if crashes := nibble(d.Crashes, k); crashes > 0 {
			st, index := at(n)
			put(&st.Crashes, index, crashes)
		}
		if checkpoint, ok := d.Saved[n]; ok {
			st, index := at(n)
			put(&st.Saved, index, checkpoint)
		}
	}
	return nil
}

func put[V any](m *map[int]V, key int, v V) {
	if *m == nil {
		*m = make(map[int]V)
	}
	(*m)[key] = v
}

func setBit(column *[]byte, n int) {
	if n < 0 {
		return
	}
	for len(*column) <= n/8 {
		*column = append(*column, 0)
	}
	(*column)[n/8] |= 1 << (n % 8)
}

func bit(column []byte, n int) bool { return n >= 0 && n/8 < len(column) && column[n/8]>>(n%8)&1 == 1 }

func setNibble(column *[]byte, n, v int) {
	if n < 0 {
		return
	}
	for len(*column) <= n/2 {
		*column = append(*column, 0)
	}
	(*column)[n/2] |= byte(min(v, maxNibble)) << (n % 2 * 4)
}

func nibble(column []byte, n int) int {
	if n < 0 || n/2 >= len(column) {
		return 0
	}
	return int(column[n/2] >> (n % 2 * 4) & maxNibble)
}

func (l attemptList) add(distance int, attempts []int64) attemptList {
	l = binary.AppendUvarint(l, uint64(distance))
	l = binary.AppendUvarint(l, uint64(len(attempts)))
	last := int64(0)
	for _, a := range attempts {
		l = binary.AppendVarint(l, a-last)
		last = a
	}
	return l
}

// decode returns the attempts by task. The first distance counts from task n.
func (l attemptList) decode(n int) (map[int][]int64, error) {
	all := make(map[int][]int64)
	for len(l) > 0 {
		distance, size := binary.Uvarint(l)
		if size <= 0 || distance > guavalimit.MaxScheduledTasks {
			return nil, errCorrupt
		}
		l = l[size:]
		count, size := binary.Uvarint(l)
		if size <= 0 || count > uint64(len(l)) {
			return nil, errCorrupt
		}
		l = l[size:]
		attempts, last := make([]int64, count), int64(0)
		for i := range attempts {
			difference, size := binary.Varint(l)
			if size <= 0 {
				return nil, errCorrupt
			}
			l, last = l[size:], last+difference
			attempts[i] = last
		}
		n += int(distance)
		all[n] = attempts
	}
	return all, nil
}
