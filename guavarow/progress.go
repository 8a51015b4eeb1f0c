package guavarow

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"guavascale.example"
	"guavascale.example/guavaattempt"
	"guavascale.example/guavacrash"
)

type (
	// Progress is the content of a row "Progress/<id>".
	Progress struct {
		State   guavascale.SubmissionState
		EndedMs int64  `json:",omitempty"`
		Steps   []Step `json:",omitempty"`
		// Suspects holds what else than Crashes counts against tasks, as far as it fits.
		Suspects []Suspect `json:",omitempty"`
		// Open holds suspects in a shorter form. It is only used in the row.
		Open []OpenStarts `json:",omitempty"`
		// DoneSteps is the number of the first steps, counted over all occurrences, of
		// which all tasks are done and that Steps leaves out. It is 0 in what is decoded.
		DoneSteps int `json:"-"`
	}

	// Step holds the progress of the tasks of one step. Done is in ascending order, and
	// there is at most one entry per step, in the order of occurrences and steps.
	Step struct {
		Occurrence int   `json:",omitempty"`
		Step       int   `json:",omitempty"`
		Done       []int `json:",omitempty"`
		// Failed holds the failed attempts, by task index. Numbers that didn't fit into
		// the row are unknown.
		Failed map[int]guavaattempt.Failures `json:",omitempty"`
		// Saved holds the checkpoints of unfinished tasks without runs, by task
		// index.
		Saved map[int]string `json:",omitempty"`
		// Crashes holds the numbers of workers that have crashed under unfinished
		// tasks, by task index.
		Crashes map[int]int `json:",omitempty"`
	}

	// Task is the progress of a task. Nothing else counts for one that is done.
	Task struct {
		Done       bool
		Failed     guavaattempt.Failures
		Checkpoint string
		// Record is what counts against the task. Only its Crashes are certain to fit.
		Record guavacrash.Record
		// Recorded is set if the open start of the task has to be stored.
		Recorded bool
	}

	// Suspect is a task under which workers may have crashed. Recorded is only set for
	// encoding.
	Suspect struct {
		Occurrence, Step, Index int
		Record                  guavacrash.Record
		Recorded                bool `json:"-"`
	}

	// Cut tells what a row lacks because it would be too large.
	Cut struct {
		// Checkpoints is the number of checkpoints that are left out. Their tasks start
		// from the beginning after a change of the owner.
		Checkpoints int
		// Numbers is set if failed attempts are only counted. An end that a worker
		// repeats to the next owner then counts twice.
		Numbers bool
		// Counts is set if, beyond that, no more than 15 failed attempts of a task are
		// counted. The task is then started more often than allowed.
		Counts bool
		// Starts is the number of open starts that are left out although they have to be
		// stored. There are none up to MaxOpenStarts.
		Starts int
	}

	// storedProgress is the form of both versions. Steps is a list, or an object that
	// the earlier version fails to decode.
	storedProgress struct {
		State    guavascale.SubmissionState
		EndedMs  int64           `json:",omitempty"`
		Steps    json.RawMessage `json:",omitempty"`
		Suspects []Suspect       `json:",omitempty"`
		Open     []OpenStarts    `json:",omitempty"`
	}

	// denseSteps holds the progress of all tasks, numbered by occurrence, step and
	// index. The columns begin with task Before and end with the last value that isn't
	// zero.
	denseSteps struct {
		// Counts holds the number of tasks of each step of an occurrence.
		Counts []int
		// Before is the number of tasks that are done before the first that isn't.
		Before int `json:",omitempty"`
		// Done holds a bit per task.
		Done []byte `json:",omitempty"`
		// Failed holds the failed attempts. If they don't fit, Failures holds their count
		// in half a byte per task, at most 15, and Failed the counts above 15.
		Failed   denseFailed `json:",omitzero"`
		Failures []byte      `json:",omitempty"`
		// Crashes holds half a byte per task.
		Crashes []byte `json:",omitempty"`
		// Saved holds checkpoints by task number.
		Saved map[int]string `json:",omitempty"`
	}
)

var errOutside = errors.New("a task is outside of the submission")

// Add adds the progress of the next task. Occurrences, steps and indexes must ascend.
func (p *Progress) Add(occurrence, step, index int, t Task) {
	if !t.Done && (t.Record.Doubts > 0 || t.Record.Open != nil) {
		p.Suspects = append(p.Suspects, Suspect{occurrence, step, index, t.Record, t.Recorded})
	}
	if !t.Done && t.Failed.Count == 0 && t.Checkpoint == "" && t.Record.Crashes == 0 {
		return
	}
	n := len(p.Steps) - 1
	if n < 0 || p.Steps[n].Occurrence != occurrence || p.Steps[n].Step != step {
		p.Steps, n = append(p.Steps, Step{Occurrence: occurrence, Step: step}), n+1
	}
	st := &p.Steps[n]
	if t.Done {
		st.Done = append(st.Done, index)
		return
	}
	if t.Failed.Count > 0 {
		put(&st.Failed, index, t.Failed)
	}
	if t.Checkpoint != "" {
		put(&st.Saved, index, t.Checkpoint)
	}
	if t.Record.Crashes > 0 {
		put(&st.Crashes, index, t.Record.Crashes)
	}
}

// Tasks calls f for the tasks of a step that have made progress.
func (st *Step) Tasks(f func(index int, t Task)) {
	tasks := make(map[int]Task)
	for n, attempts := range st.Failed {
		tasks[n] = Task{Failed: attempts}
	}
	for n, checkpoint := range st.Saved {
		t := tasks[n]
		t.Checkpoint = checkpoint
		tasks[n] = t
	}
	for n, crashes := range st.Crashes {
		t := tasks[n]
		t.Record.Crashes = crashes
		tasks[n] = t
	}
	for _, n := range st.Done {
		tasks[n] = Task{Done: true}
	}
	for _, n := range slices.Sorted(maps.Keys(tasks)) {
		f(n, tasks[n])
	}
}

// EncodeProgress returns the value of the row of a submission's progress. Counts holds
// the number of tasks of each step of an occurrence.
func EncodeProgress(id string, p *Progress, counts []int) ([]byte, Cut, error) {
	key := ProgressKey(id)
	short, s := *p, newScale(counts)
	leftOut, err := short.limitSuspects(&s)
	if err != nil {
		return nil, Cut{}, fmt.Errorf("encode row %q: %w", key, err)
	}
	p = &short
	if data, cut, err := encodeList(key, p, counts); data != nil || err != nil {
		cut.Starts = leftOut
		return data, cut, err
	}
	cut := Cut{Starts: leftOut}
	dense, large, saved := s.pack(p)
	counted := dense.Failures
	dense.Failures = nil
	bare, err := marshalDense(p, dense)
	if len(bare) > MaxBytes {
		dense.Failed, dense.Failures, cut.Numbers = denseFailed{Ranges: large}, counted, true
		bare, err = marshalDense(p, dense)
	}
	if len(bare) > MaxBytes && len(large) > 0 {
		dense.Failed, cut.Counts = denseFailed{}, true
		bare, err = marshalDense(p, dense)
	}
	if err != nil {
		return nil, cut, fmt.Errorf("encode row %q: %w", key, err)
	}
	room := MaxBytes - len(bare)
	dense.Saved = make(map[int]string)
	for _, n := range slices.Sorted(maps.Keys(saved)) {
		if size := savedSize(saved[n]); size <= room {
			dense.Saved[n], room = saved[n], room-size
		}
	}
	cut.Checkpoints = len(saved) - len(dense.Saved)
	data, err := marshalDense(p, dense)
	if err == nil && len(data) > MaxBytes {
		err = &SizeError{Key: key, Bytes: len(data)}
	}
	return data, cut, err
}

// encodeList returns the form of the earlier version, or nil if it is too large without
// the checkpoints.
func encodeList(key string, p *Progress, counts []int) ([]byte, Cut, error) {
	least := p.DoneSteps * len(`{"Done":[],},`)
	for i := range p.Steps {
		least += len(`{"Done":[],},`) + 2*len(p.Steps[i].Done)
	}
	if least > MaxBytes {
		return nil, Cut{}, nil
	}
	bare := Progress{State: p.State, EndedMs: p.EndedMs, Suspects: p.Suspects, Open: p.Open, Steps: make([]Step, 0, p.DoneSteps+len(p.Steps))}
	for i := range p.DoneSteps {
		st := Step{Occurrence: i / len(counts), Step: i % len(counts)}
		for n := range counts[st.Step] {
			st.Done = append(st.Done, n)
		}
		bare.Steps = append(bare.Steps, st)
	}
	for _, st := range p.Steps {
		st.Saved = nil
		bare.Steps = append(bare.Steps, st)
	}
	data, err := Encode(key, bare)
	var large *SizeError
	switch {
	case errors.As(err, &large):
		return nil, Cut{}, nil
	case err != nil:
		return nil, Cut{}, err
	}
	room, cut := MaxBytes-len(data), Cut{}
	for i := range p.Steps {
		for _, n := range slices.Sorted(maps.Keys(p.Steps[i].Saved)) {
			checkpoint := p.Steps[i].Saved[n]
			if size := savedSize(checkpoint); size <= room {
				room -= size
				put(&bare.Steps[p.DoneSteps+i].Saved, n, checkpoint)
			} else {
				cut.Checkpoints++
			}
		}
	}
	data, err = Encode(key, bare)
	return data, cut, err
}

// savedSize bounds what a checkpoint adds to a row: JSON encodes a byte as at most six.
func savedSize(checkpoint string) int {
	return len(`"Saved":{},`) + len(`"1234567890":"",`) + 6*len(checkpoint)
}

func marshalDense(p *Progress, d *denseSteps) ([]byte, error) {
	steps, err := json.Marshal(d)
	if err != nil {
		return nil, err
	}
	return json.Marshal(storedProgress{State: p.State, EndedMs: p.EndedMs, Steps: steps, Suspects: p.Suspects, Open: p.Open})
}

// decodeProgress decodes a row of progress. It fails if the row doesn't belong to a
// submission with the given number of tasks per step and the given number of occurrences.
func decodeProgress(row guavascale.Row, counts []int, occurrences int) (Progress, error) {
	p, err := decodeSteps(row, newScale(counts))
	if err == nil {
		err = p.check(counts, occurrences)
	}
	if err != nil {
		return Progress{}, fmt.Errorf("decode row %q: %w", row.Key, err)
	}
	return p, nil
}

func decodeSteps(row guavascale.Row, s scale) (Progress, error) {
	var stored storedProgress
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return Progress{}, err
	}
	p := Progress{State: stored.State, EndedMs: stored.EndedMs, Suspects: stored.Suspects, Open: stored.Open}
	if err := p.expandOpen(&s); err != nil {
		return p, err
	}
	switch {
	case len(stored.Steps) == 0:
		return p, nil
	case !bytes.HasPrefix(stored.Steps, []byte("{")):
		return p, json.Unmarshal(stored.Steps, &p.Steps)
	}
	var d denseSteps
	if err := json.Unmarshal(stored.Steps, &d); err != nil {
		return p, err
	}
	if !slices.Equal(d.Counts, s.counts) {
		return p, errors.New("the steps are not those of the submission")
	}
	return p, s.unpack(&d, &p)
}

// DecodeState decodes only the state from a row of progress.
func DecodeState(row guavascale.Row) (guavascale.SubmissionState, error) {
	var stored storedProgress
	err := Decode(row, &stored)
	return stored.State, err
}

// check reports whether all tasks are those of a submission.
func (p *Progress) check(counts []int, occurrences int) error {
	for i := range p.Steps {
		st := &p.Steps[i]
		if st.Occurrence < 0 || st.Occurrence >= occurrences || st.Step < 0 || st.Step >= len(counts) {
			return errOutside
		}
		outside := func(n int) bool { return n < 0 || n >= counts[st.Step] }
		if slices.ContainsFunc(st.Done, outside) || anyKey(st.Failed, outside) || anyKey(st.Saved, outside) || anyKey(st.Crashes, outside) {
			return errOutside
		}
	}
	for _, t := range p.Suspects {
		if t.Occurrence < 0 || t.Occurrence >= occurrences || t.Step < 0 || t.Step >= len(counts) || t.Index < 0 || t.Index >= counts[t.Step] {
			return errOutside
		}
	}
	return nil
}

func anyKey[V any](m map[int]V, f func(int) bool) bool {
	for k := range m {
		if f(k) {
			return true
		}
	}
	return false
}
