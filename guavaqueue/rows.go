package guavaqueue

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"guavascale.example"
)

type (
	// Batch is a set of rows to commit together.
	Batch struct {
		Writes []guavascale.Write

		subs  []*submission
		fleet map[guavascale.WorkerID]bool
		// missing is the set of recorded missing workers, or nil if the batch
		// doesn't write it.
		missing map[guavascale.WorkerID]bool
		// bindings is set if the batch writes the bindings.
		bindings bool
	}

	// submissionRow is the content of a row "Submission/<id>", which never
	// changes.
	submissionRow struct {
		Submission guavascale.Submission
		Epoch      uint64
		// AcceptedMs is a Unix time in milliseconds.
		AcceptedMs int64
	}

	// progressRow is the content of a row "Progress/<id>".
	progressRow struct {
		State   guavascale.SubmissionState
		EndedMs int64     `json:",omitempty"`
		Steps   []stepRow `json:",omitempty"`
	}

	// stepRow holds the progress of the tasks of one step.
	stepRow struct {
		Occurrence int   `json:",omitempty"`
		Step       int   `json:",omitempty"`
		Done       []int `json:",omitempty"`
		// Failed holds the numbers of the failed attempts, by task index.
		Failed map[int][]int64 `json:",omitempty"`
		// Saved holds the checkpoints of unfinished tasks without runs, by task
		// index.
		Saved map[int]string `json:",omitempty"`
		// Crashes holds the numbers of workers that have crashed under unfinished
		// tasks, by task index.
		Crashes map[int]int `json:",omitempty"`
	}

	// pairRow is the stored form of a pairEstimate: Suspicion is its probability,
	// Strikes its number of exclusions.
	pairRow struct {
		Service   string
		Filler    string
		Suspicion float64
		Strikes   int `json:",omitempty"`
	}

	// kindsRow is the content of the row "Kinds/all".
	kindsRow struct {
		Pairs []pairRow
	}

	// fleetRow is the content of the row "Fleet/all".
	fleetRow struct {
		Workers []guavascale.WorkerID
	}
)

const (
	submissionPrefix = "Submission/"
	progressPrefix   = "Progress/"
	fleetKey         = "Fleet/all"
	kindsKey         = "Kinds/all"
	bindingsKey      = "Bindings/all"
	// kindsInterval is the minimum time between writes of the interference
	// model. It is stored so that a new owner need not learn it again.
	kindsInterval = 3 * time.Second
	// maxBatchRows bounds the rows of a commit; the platform accepts at most 100.
	maxBatchRows = 90
	// maxUrgentRows bounds the rows of a commit for which callers wait while
	// others wait as well.
	maxUrgentRows = 60
	// maxBatchBytes bounds the values of a commit. The platform accepts 1 MB of
	// base64.
	maxBatchBytes = 500_000
	// maxRowBytes bounds the value of a row, of which the platform accepts 64 KiB.
	// One larger row would make it refuse all commits.
	maxRowBytes = 60_000
	// commitDelay is how long changes that no caller waits for are collected
	// for one commit.
	commitDelay = 25 * time.Millisecond
)

// RowPrefixes returns the key prefixes of all rows of a shard.
func RowPrefixes() []string {
	return []string{"Fleet/", "Kinds/", "Bindings/", submissionPrefix, progressPrefix}
}

// StateKeys returns the keys of the rows that hold the state of a submission.
func StateKeys(id string) (submission, progress string) {
	return submissionPrefix + id, progressPrefix + id
}

// ParseState decodes the state from a row "Progress/<id>".
func ParseState(row guavascale.Row) (guavascale.SubmissionState, error) {
	var pr progressRow
	if err := json.Unmarshal(row.Value, &pr); err != nil {
		return "", fmt.Errorf("decode row %q: %w", row.Key, err)
	}
	return pr.State, nil
}

func (e *Engine) markDirty(now time.Time, s *submission, urgent bool) {
	if e.dirtySince.IsZero() {
		e.dirtySince = now
	}
	e.urgent, s.urgent = e.urgent || urgent, s.urgent || urgent
	e.changes++
	s.changed = e.changes
	if !s.dirty {
		s.dirty = true
		e.dirty = append(e.dirty, s)
	}
}

// Batch returns the rows to commit now, or nil. The owner commits one batch at a
// time and reports the outcome with Committed or Failed.
func (e *Engine) Batch(now time.Time) *Batch {
	if !e.fleetDirty && !e.bindings.Unsaved && !e.missing.due(now) && !e.urgent && (e.dirtySince.IsZero() || now.Sub(e.dirtySince) < commitDelay) {
		return nil
	}
	b := &Batch{}
	bytes := 0
	if e.fleetDirty {
		b.fleet = make(map[guavascale.WorkerID]bool, len(e.workers)+len(e.missing.until))
		row := fleetRow{}
		for id, w := range e.workers {
			if w.mayHoldRuns() {
				b.fleet[id] = true
				continue
			}
			// The worker gets no start before it is in the durable fleet again.
			w.durable = false
		}
		for id := range e.missing.until {
			b.fleet[id] = true
		}
		for id := range b.fleet {
			row.Workers = append(row.Workers, id)
		}
		slices.Sort(row.Workers)
		bytes += b.add(fleetKey, row)
		e.fleetDirty = false
	}
	if e.missing.due(now) {
		bytes += e.missing.write(now, e.Token, b)
	}
	if e.interference.changed && now.Sub(e.kindsWrittenAt) >= kindsInterval {
		e.kindsWrittenAt, e.interference.changed = now, false
		bytes += b.add(kindsKey, e.interference.toRow())
	}
	if e.bindings.Unsaved {
		b.bindings = true
		bytes += b.addEncoded(bindingsKey, e.bindings.Encode(maxRowBytes))
	}
	taken := 0
	dirty := e.takeDirty()
	for _, s := range dirty {
		if len(b.Writes)+2 > maxBatchRows || bytes > maxBatchBytes {
			break
		}
		taken++
		bytes += s.write(b)
		s.dirty, s.committing, s.urgent, s.writing = false, true, false, s.changed
		b.subs = append(b.subs, s)
	}
	e.dirty = append(e.dirty[:0], dirty[taken:]...)
	if len(e.dirty) == 0 {
		e.dirtySince, e.urgent = time.Time{}, false
	}
	return b
}

// takeDirty returns the submissions to write next, those that callers wait for first.
// If the store is slow, hundreds of others wait, of which each commit takes some as
// well.
func (e *Engine) takeDirty() []*submission {
	slices.SortStableFunc(e.dirty, func(a, b *submission) int {
		switch {
		case a.urgent == b.urgent:
			return 0
		case a.urgent:
			return -1
		default:
			return 1
		}
	})
	urgent := 0
	for urgent < len(e.dirty) && e.dirty[urgent].urgent {
		urgent++
	}
	if urgent <= maxUrgentRows || urgent == len(e.dirty) {
		return e.dirty
	}
	order := make([]*submission, 0, len(e.dirty))
	order = append(order, e.dirty[:maxUrgentRows]...)
	order = append(order, e.dirty[urgent:]...)
	return append(order, e.dirty[maxUrgentRows:urgent]...)
}

func (s *submission) write(b *Batch) int {
	if s.removed {
		b.Writes = append(
			b.Writes,
			guavascale.Write{Key: submissionPrefix + s.ID, Delete: true},
			guavascale.Write{Key: progressPrefix + s.ID, Delete: true},
		)
		return 0
	}
	bytes := 0
	if !s.rowWritten {
		s.rowWritten = true
		bytes += b.addEncoded(submissionPrefix+s.ID, s.row)
		if s.state == guavascale.SubmissionQueued {
			return bytes
		}
	}
	key := progressPrefix + s.ID
	data := encodeRow(key, s.progress(true))
	if len(data) > maxRowBytes {
		// Without its checkpoint, a task starts from the beginning after a change
		// of the owner.
		data = encodeRow(key, s.progress(false))
	}
	return bytes + b.addEncoded(key, data)
}

// progress returns the content of the progress row, with checkpoints only if
// checkpoints is set.
func (s *submission) progress(checkpoints bool) progressRow {
	row := progressRow{State: s.state}
	if s.state.Ended() {
		row.EndedMs = s.ended.UnixMilli()
		return row
	}
	for _, st := range s.steps {
		sr := stepRow{Occurrence: st.occurrence, Step: st.index}
		for i, t := range st.tasks {
			if t.done {
				sr.Done = append(sr.Done, i)
				continue
			}
			if len(t.failed) > 0 {
				if sr.Failed == nil {
					sr.Failed = make(map[int][]int64)
				}
				sr.Failed[i] = t.failed
			}
			if t.crashes > 0 {
				if sr.Crashes == nil {
					sr.Crashes = make(map[int]int)
				}
				sr.Crashes[i] = t.crashes
			}
			if checkpoints && t.checkpoint != "" && len(t.runs) == 0 {
				if sr.Saved == nil {
					sr.Saved = make(map[int]string)
				}
				sr.Saved[i] = t.checkpoint
			}
		}
		if sr.Done != nil || sr.Failed != nil || sr.Saved != nil || sr.Crashes != nil {
			row.Steps = append(row.Steps, sr)
		}
	}
	return row
}

func (b *Batch) add(key string, v any) int { return b.addEncoded(key, encodeRow(key, v)) }

func (b *Batch) addEncoded(key string, data []byte) int {
	b.Writes = append(b.Writes, guavascale.Write{Key: key, Value: data})
	return len(data)
}

func encodeRow(key string, v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		// The row types hold no values that JSON can't encode.
		panic(fmt.Sprintf("guavaqueue: encode row %q: %v", key, err))
	}
	return data
}

// Failed reports that a batch was certainly not applied. Its changes become part
// of a later batch.
func (e *Engine) Failed(now time.Time, b *Batch) {
	e.fleetDirty = e.fleetDirty || b.fleet != nil
	e.missing.dirty = e.missing.dirty || b.missing != nil
	e.bindings.Unsaved = e.bindings.Unsaved || b.bindings
	for _, s := range b.subs {
		s.committing = false
		if !s.durable {
			s.rowWritten = false
		}
		e.markDirty(now, s, len(s.waiters) > 0)
		e.urgent = true
	}
}

// Withdraw drops the submissions that have waited for acceptance since before a
// given time and are not part of a batch that was or may have been applied. It
// calls their reply functions with an empty state and returns their number.
func (e *Engine) Withdraw(since time.Time) int {
	n := 0
	kept := e.dirty[:0]
	for _, s := range e.dirty {
		if s.durable || s.rowWritten || !s.accepted.Before(since) {
			kept = append(kept, s)
			continue
		}
		n++
		delete(e.subs, s.ID)
		e.emit(Event{Kind: EventWithdrawn, Submission: s.ID, Reason: "commits fail", Age: since.Sub(s.accepted)})
		for _, reply := range s.waiters {
			reply("")
		}
		s.waiters = nil
	}
	clear(e.dirty[len(kept):])
	e.dirty = kept
	return n
}

// Committed reports that a batch is durable.
func (e *Engine) Committed(now time.Time, b *Batch) {
	if b.fleet != nil {
		e.fleet = b.fleet
		for id, w := range e.workers {
			w.durable = e.fleet[id]
			if w.listed && !w.durable && w.mayHoldRuns() {
				e.fleetDirty = true
			}
		}
	}
	if b.missing != nil {
		e.missing.recorded = b.missing
	}
	for _, s := range b.subs {
		s.committing, s.written = false, s.writing
		if s.removed {
			continue
		}
		if !s.durable {
			s.durable, s.row = true, nil
			e.emit(Event{Kind: EventAccepted, Submission: s.ID, Outcome: s.Queue, Age: now.Sub(s.accepted)})
			if !s.state.Ended() {
				e.startDueOccurrences(now, s)
			}
		}
		if s.dirty {
			// The submission has changed again. An end is reported once it is
			// durable, but the acceptance can be reported now.
			if s.state.Ended() {
				continue
			}
		}
		waiters := s.waiters
		s.waiters = nil
		for _, reply := range waiters {
			reply(s.state)
		}
	}
	for _, w := range e.workerList {
		if len(w.unackedEnds) == 0 {
			continue
		}
		w.ackDurableEnds()
		if w.durable && !w.mayHoldRuns() {
			e.fleetDirty = true
		}
	}
}

// Expire removes submissions that ended more than Limits.Keep ago.
func (e *Engine) Expire(now time.Time) {
	if now.Before(e.nextExpiry) {
		return
	}
	e.nextExpiry = now.Add(e.Limits.Keep / 10)
	for id, s := range e.subs {
		if s.state.Ended() && s.durable && !s.dirty && now.Sub(s.ended) > e.Limits.Keep && s.runs == 0 {
			s.removed = true
			e.markDirty(now, s, false)
			delete(e.subs, id)
		}
	}
}

// Restore loads the rows of earlier owners into an empty engine. LeasesEnd is the time
// at which all leases that these owners granted must have ended.
func (e *Engine) Restore(now time.Time, rows []guavascale.Row, leasesEnd time.Time) error {
	e.subs = make(map[string]*submission)
	progress := make(map[string]progressRow)
	var recorded missingRow
	for _, r := range rows {
		switch {
		case strings.HasPrefix(r.Key, submissionPrefix):
			var sr submissionRow
			if err := json.Unmarshal(r.Value, &sr); err != nil {
				return fmt.Errorf("decode row %q: %w", r.Key, err)
			}
			e.subs[sr.Submission.ID] = &submission{
				Submission: sr.Submission, epoch: sr.Epoch, accepted: time.UnixMilli(sr.AcceptedMs),
				state: guavascale.SubmissionQueued, durable: true, rowWritten: true,
			}
		case strings.HasPrefix(r.Key, progressPrefix):
			var pr progressRow
			if err := json.Unmarshal(r.Value, &pr); err != nil {
				return fmt.Errorf("decode row %q: %w", r.Key, err)
			}
			progress[strings.TrimPrefix(r.Key, progressPrefix)] = pr
		case r.Key == kindsKey:
			var kr kindsRow
			if err := json.Unmarshal(r.Value, &kr); err != nil {
				return fmt.Errorf("decode row %q: %w", r.Key, err)
			}
			e.interference.restore(now, kr)
		case r.Key == fleetKey:
			var fr fleetRow
			if err := json.Unmarshal(r.Value, &fr); err != nil {
				return fmt.Errorf("decode row %q: %w", r.Key, err)
			}
			e.fleet = make(map[guavascale.WorkerID]bool)
			for _, id := range fr.Workers {
				e.fleet[id] = true
			}
		case r.Key == bindingsKey:
			if err := e.bindings.Restore(r.Value); err != nil {
				return fmt.Errorf("row %q: %w", r.Key, err)
			}
		case r.Key == missingKey:
			if err := json.Unmarshal(r.Value, &recorded); err != nil {
				return fmt.Errorf("decode row %q: %w", r.Key, err)
			}
		}
	}
	e.missing.restore(now, e.fleet, leasesEnd, recorded, e.Token)
	for id, s := range e.subs {
		e.restore(now, s, progress[id])
	}
	return nil
}

func (e *Engine) restore(now time.Time, s *submission, pr progressRow) {
	if pr.State.Ended() {
		s.state, s.ended, s.started = pr.State, time.UnixMilli(pr.EndedMs), true
		return
	}
	s.binding = e.bindings.Bind(&s.Submission)
	e.addOccurrences(now, s)
	for _, sr := range pr.Steps {
		for sr.Occurrence >= s.occurrences {
			e.addOccurrence(s)
		}
		st := s.steps[sr.Occurrence*len(s.Steps)+sr.Step]
		s.started, s.state = true, guavascale.SubmissionRunning
		for i, failed := range sr.Failed {
			st.tasks[i].failed = failed
		}
		for i, n := range sr.Crashes {
			st.tasks[i].crashes = n
		}
		for i, c := range sr.Saved {
			st.tasks[i].checkpoint = c
		}
		for _, i := range sr.Done {
			e.markDone(now, st.tasks[i])
		}
	}
	e.queueReadySteps(s)
}

// addOccurrences creates the occurrences that are due without making their steps
// ready.
func (e *Engine) addOccurrences(now time.Time, s *submission) {
	for s.occurrences < max(s.Repeat, 1) && (s.Repeat == 0 || !now.Before(s.due(s.occurrences))) {
		e.addOccurrence(s)
	}
	if s.occurrences < max(s.Repeat, 1) {
		if e.scheduled == nil {
			e.scheduled = make(map[*submission]struct{})
		}
		e.scheduled[s] = struct{}{}
	}
}
