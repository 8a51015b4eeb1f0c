package guavarow

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"guavascale.example"
	"guavascale.example/guavaattempt"
	"guavascale.example/guavacrash"
	"guavascale.example/guavalimit"
)

// earlierRow is the content of a row of progress in the version before guavarow.
type earlierRow struct {
	State   guavascale.SubmissionState
	EndedMs int64
	Steps   []struct {
		Occurrence, Step int
		Done             []int
		Failed           map[int][]int64
		Crashes          map[int]int
	}
}

// accepted draws a submission within the limits, near the largest ones.
func accepted(t *rapid.T) guavascale.Submission {
	name := rapid.SampledFrom([]string{"", "a", strings.Repeat("<", guavalimit.MaxNameBytes)})
	number := rapid.SampledFrom([]int64{0, 1, guavalimit.MaxSize})
	s := guavascale.Submission{
		ID: strings.Repeat("f", guavalimit.MaxIDBytes), Queue: "q",
		Payload: strings.Repeat(rapid.SampledFrom([]string{"a", "<"}).Draw(t, "letter"), guavalimit.MaxPayloadBytes),
	}
	tasks := rapid.SampledFrom([]int{1, 7, 333, 333, guavalimit.MaxTasks}).Draw(t, "tasks")
	steps := rapid.SampledFrom([]int{1, 3, guavalimit.MaxSteps}).Draw(t, "steps")
	steps = min(steps, tasks)
	for i := range steps {
		n := tasks / steps
		if i == 0 {
			n += tasks % steps
		}
		s.Steps = append(s.Steps, guavascale.Step{
			Count: n, Size: guavascale.Resources{MilliCores: number.Draw(t, "cpu"), MemoryMB: number.Draw(t, "memory")},
			Estimate: guavalimit.MaxEstimate, Kind: name.Draw(t, "kind"), Label: name.Draw(t, "label"),
		})
	}
	s.Repeat = rapid.SampledFrom([]int{0, 1, 3, guavalimit.MaxScheduledTasks / tasks}).Draw(t, "repeat")
	if s.Repeat > 1 {
		s.Interval = min(guavalimit.MaxInterval, guavalimit.MaxSpan/time.Duration(s.Repeat-1))
	}
	s.StartAt = rapid.SampledFrom([]time.Time{time.Unix(0, 0), guavalimit.MaxStartAt}).Draw(t, "start")
	if err := guavalimit.Check(&s); err != nil {
		t.Fatal(err)
	}
	return s
}

// drawnFailures returns a number of failed attempts with a given distance from each other.
func drawnFailures(n int, first, distance int64) guavaattempt.Failures {
	var f guavaattempt.Failures
	for k := range n {
		f.Add(first + int64(k)*distance)
	}
	return f
}

// drawProgress draws the progress of a submission. Each task is done with a given
// probability; the others have failures, crashes and checkpoints with others.
func drawProgress(t *rapid.T, s *guavascale.Submission) Progress {
	chance := func(name string) uint64 { return rapid.SampledFrom([]uint64{0, 1, 50, 99, 100}).Draw(t, name) }
	done, failed, crashed, saved := chance("done"), chance("failed"), chance("crashed"), chance("saved")
	failures := rapid.SampledFrom([]int{1, 2, 7, maxNibble, guavaattempt.MaxNumbers, guavaattempt.MaxNumbers + 1, 60, 100_000}).Draw(t, "failures")
	checkpoint := rapid.SampledFrom([]string{"00000bb87a21d94b", strings.Repeat("\x00", 3000)}).Draw(t, "checkpoint")
	attempts := rapid.SampledFrom([]guavaattempt.Range{{First: 1, Last: 10_000}, {First: 1 << 50, Last: 10_000}, {First: 1, Last: 1}}).Draw(t, "attempt")
	attemptsOf := drawnFailures(failures, attempts.First, attempts.Last)
	seed := rapid.Uint64().Draw(t, "seed")
	happens := func(percent uint64) bool {
		seed = seed*6364136223846793005 + 1442695040888963407
		return seed>>33%100 < percent
	}
	p := Progress{State: guavascale.SubmissionRunning}
	for o := range max(s.Repeat, 1) {
		for i := range s.Steps {
			st := Step{Occurrence: o, Step: i}
			for n := range s.Steps[i].Count {
				if happens(done) {
					st.Done = append(st.Done, n)
					continue
				}
				if happens(failed) {
					put(&st.Failed, n, attemptsOf)
				}
				if happens(crashed) {
					put(&st.Crashes, n, 3)
				}
				if happens(saved) {
					put(&st.Saved, n, checkpoint)
				}
			}
			if st.Done != nil || st.Failed != nil || st.Crashes != nil || st.Saved != nil {
				p.Steps = append(p.Steps, st)
			}
		}
	}
	address := rapid.SampledFrom([]string{"", "10.0.0.1:80", strings.Repeat("<", guavalimit.MaxNameBytes)}).Draw(t, "address")
	doubts := rapid.SampledFrom([]int{0, 1, 2}).Draw(t, "doubts")
	workers := rapid.SampledFrom([]int{1, 48, 500}).Draw(t, "workers")
	tasks := newScale(Counts(s))
	suspects := rapid.SampledFrom([]int{0, 1, 100, 500, leastOpenStarts, MaxOpenStarts, 2500}).Draw(t, "suspects")
	for n := range min(suspects, tasks.total*max(s.Repeat, 1)) {
		step, found := slices.BinarySearch(tasks.offsets, n%tasks.total)
		if !found {
			step--
		}
		p.Suspects = append(p.Suspects, Suspect{
			Occurrence: n / tasks.total, Step: step, Index: n%tasks.total - tasks.offsets[step], Recorded: true, Record: guavacrash.Record{
				Doubts: n * doubts % 3, Open: &guavacrash.Start{
					Worker: guavascale.WorkerID(fmt.Sprint("w", n%workers)), Address: address, Born: 1<<50 + int64(n%workers), Evidence: guavacrash.Evidence(1 + n%2),
				},
			},
		})
	}
	return p
}

// readProgress reads a row of progress whose open starts are on the workers "w0" to "w499".
func readProgress(t require.TestingT, data []byte, counts []int, occurrences int) Progress {
	p, err := decodeProgress(guavascale.Row{Key: "k", Value: data}, counts, occurrences)
	require.NoError(t, err)
	fleet := make(map[guavascale.WorkerID]bool)
	for n := range 500 {
		fleet[guavascale.WorkerID(fmt.Sprint("w", n))] = true
	}
	p.findWorkers(marks(fleet))
	return p
}

// requireSuspects fails unless all suspects were read, with the same or with shortened
// starts, but those whose open starts a cut leaves out. None is left out of as many as fit.
func requireSuspects(t require.TestingT, want, got []Suspect, cut Cut, fit int) {
	opened := make(map[[3]int]guavacrash.Record)
	for _, s := range got {
		if s.Record.Open != nil {
			opened[[3]int{s.Occurrence, s.Step, s.Index}] = s.Record
		}
	}
	require.Len(t, opened, len(want)-cut.Starts, "all have an open start")
	if len(want) <= fit {
		require.Zero(t, cut.Starts)
		require.Len(t, got, len(want))
	}
	for _, s := range want {
		record, ok := opened[[3]int{s.Occurrence, s.Step, s.Index}]
		if !ok {
			continue
		}
		start := *s.Record.Open
		if record.Open.Mark != "" {
			start = start.Short()
		}
		if start != *record.Open || len(want) <= fit && s.Record.Doubts != record.Doubts {
			require.Equal(t, s.Record, record)
		}
	}
}

// Guards against a row that the store refuses, and against progress that differs for the
// next owner, of this or the earlier version: tasks that run again, or are started more
// often than allowed.
func TestProgressOfAcceptedSubmissionFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := accepted(t)
		p := drawProgress(t, &s)
		short := p
		if rapid.Bool().Draw(t, "leave done steps out") {
			for len(short.Steps) > 0 && short.Steps[0].isNext(short.DoneSteps, Counts(&s)) {
				short.Steps, short.DoneSteps = short.Steps[1:], short.DoneSteps+1
			}
		}
		data, cut, err := EncodeProgress(s.ID, &short, Counts(&s))
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), MaxBytes)
		got := readProgress(t, data, Counts(&s), max(s.Repeat, 1))
		fit := OpenStartsFit(&s, max(s.Repeat, 1))
		require.GreaterOrEqual(t, fit, leastOpenStarts)
		requireSuspects(t, p.Suspects, got.Suspects, cut, fit)
		left := 0
		require.Equal(t, stripped(&p, cut, nil), stripped(&got, cut, &left))
		for i := range p.Steps {
			left -= len(p.Steps[i].Saved)
		}
		assert.Equal(t, -cut.Checkpoints, left)
		checkEarlierVersion(t, &p, data, cut, newScale(Counts(&s)))
	})
}

// checkEarlierVersion fails if a daemon of the earlier version reads other progress from a
// row: it would take tasks that are done for tasks to start. It has to read the same, or
// to fail.
func checkEarlierVersion(t *rapid.T, p *Progress, data []byte, cut Cut, tasks scale) {
	var earlier earlierRow
	if json.Unmarshal(data, &earlier) == nil {
		require.False(t, cut.Numbers)
		read := Progress{Steps: make([]Step, len(earlier.Steps))}
		for i, st := range earlier.Steps {
			read.Steps[i] = Step{Occurrence: st.Occurrence, Step: st.Step, Done: st.Done, Crashes: st.Crashes}
			for n, attempts := range st.Failed {
				put(&read.Steps[i].Failed, n, guavaattempt.Of(attempts...))
			}
		}
		require.Equal(t, stripped(p, cut, nil), stripped(&read, cut, nil))
		return
	}
	if p.manyFailures() {
		// The earlier version gave up such tasks, so it would start them too often, or fail them.
		return
	}
	limited := *p
	_, err := limited.limitSuspects(&tasks)
	require.NoError(t, err)
	full, err := json.Marshal(Progress{State: p.State, Steps: withoutSaved(p.Steps), Suspects: limited.Suspects, Open: limited.Open})
	require.NoError(t, err)
	assert.Greater(t, len(full), MaxBytes, "the form of the earlier version is used while it fits")
}

// manyFailures reports whether a task has more failures than the earlier version kept.
func (p *Progress) manyFailures() bool {
	return slices.ContainsFunc(p.Steps, func(st Step) bool {
		for _, attempts := range st.Failed {
			if attempts.Count > guavaattempt.MaxNumbers {
				return true
			}
		}
		return false
	})
}

// isNext reports whether the step is the n-th and all its tasks are done.
func (st *Step) isNext(n int, counts []int) bool {
	return st.Occurrence*len(counts)+st.Step == n && len(st.Done) == counts[st.Step]
}

// stripped returns the steps without what a cut leaves out, and counts the checkpoints.
func stripped(p *Progress, cut Cut, saved *int) map[[2]int]Step {
	steps := make(map[[2]int]Step)
	for _, st := range p.Steps {
		if saved != nil {
			*saved += len(st.Saved)
		}
		st.Saved = nil
		if cut.Numbers {
			counted := make(map[int]guavaattempt.Failures)
			for n, attempts := range st.Failed {
				if cut.Counts {
					attempts.Count = min(attempts.Count, maxNibble)
				}
				counted[n] = guavaattempt.Failures{Count: attempts.Count}
			}
			st.Failed = counted
		}
		if st.Done != nil || len(st.Failed) > 0 || st.Crashes != nil {
			steps[[2]int{st.Occurrence, st.Step}] = st
		}
	}
	return steps
}

func withoutSaved(steps []Step) []Step {
	steps = slices.Clone(steps)
	for i := range steps {
		steps[i].Saved = nil
	}
	return steps
}

// Guards against progress that is lost between the tasks of an owner and a row.
func TestTasksAreRestored(t *testing.T) {
	tasks := map[int]Task{
		1: {Done: true}, 2: {Failed: guavaattempt.Of(1, 10_001), Record: guavacrash.Record{Crashes: 2}}, 4: {Checkpoint: "x"}, 5: {Failed: drawnFailures(40, 1, 1)}, 7: {Record: guavacrash.Record{Crashes: 1}},
	}
	p := Progress{State: guavascale.SubmissionRunning}
	for o := range 2 {
		for n := range 9 {
			p.Add(o, 0, n, tasks[n])
		}
	}
	require.Len(t, p.Steps, 2)
	for i := range p.Steps {
		got := make(map[int]Task)
		p.Steps[i].Tasks(func(n int, task Task) { got[n] = task })
		assert.Equal(t, tasks, got)
	}
}

// Guards against progress that grows with all that was ever done: 20,000 occurrences, of
// which a few are under way.
func TestProgressGrowsWithWhatIsUnderWay(t *testing.T) {
	p := Progress{State: guavascale.SubmissionRunning}
	for o := range guavalimit.MaxScheduledTasks - 100 {
		if o < guavalimit.MaxScheduledTasks-200 || o%2 == 0 {
			p.Steps = append(p.Steps, Step{Occurrence: o, Done: []int{0}})
		}
	}
	data, _, err := EncodeProgress("a", &p, []int{1})
	require.NoError(t, err)
	assert.Less(t, len(data), 200)
}

// Guards against open starts that a wide step doesn't store: 100 tasks of a submission, each
// on a worker of its own, 1,000 on 48 workers, and as many as the engine starts at a time. An
// earlier version has to take each task of a short start for one that may have been started.
func TestOpenStartsFit(t *testing.T) {
	for tasks, workers := range map[int]int{100: 100, 1000: 48, MaxOpenStarts: MaxOpenStarts} {
		p := Progress{State: guavascale.SubmissionRunning}
		fleet := make(map[guavascale.WorkerID]bool)
		for n := range tasks {
			id := guavascale.WorkerID(fmt.Sprintf("i-%010d", n%workers))
			fleet[id] = true
			p.Suspects = append(p.Suspects, Suspect{Occurrence: n % 2, Step: 1, Index: n / 2, Recorded: true, Record: guavacrash.Record{Open: &guavacrash.Start{
				Worker: id, Address: fmt.Sprintf("10.200.%d.1:8169", n%workers),
				Born: 1_772_515_426_000 + int64(n%workers), Evidence: guavacrash.Suspect,
			}}})
		}
		data, cut, err := EncodeProgress("a", &p, []int{3, tasks})
		require.NoError(t, err)
		require.Zero(t, cut)
		got, err := decodeProgress(guavascale.Row{Key: "k", Value: data}, []int{3, tasks}, 2)
		require.NoError(t, err)
		got.findWorkers(marks(fleet))
		requireSuspects(t, p.Suspects, got.Suspects, cut, tasks)
		var earlier struct {
			Open []struct {
				Start struct{ Worker string }
				Tasks []int
			}
		}
		require.NoError(t, json.Unmarshal(data, &earlier))
		open := 0
		for _, g := range earlier.Open {
			open += len(g.Tasks)
			if workers == MaxOpenStarts {
				require.Empty(t, g.Start.Worker, "the fate of a worker that nobody knows is a doubt")
			}
		}
		require.Equal(t, tasks, open)
	}
}

// Guards against a short start whose worker is taken for another one, or that loses what is
// known of it when the next owner stores it again.
func TestShortStartsStayAsTheyAre(t *testing.T) {
	start := guavacrash.Start{Worker: "w", Address: "a:1", Born: 1_772_515_426_000, Evidence: guavacrash.Suspect}
	short := start.Short()
	for range 3 {
		p := Progress{State: guavascale.SubmissionRunning, Suspects: []Suspect{{Step: 1, Index: 2, Record: guavacrash.Record{Doubts: 2, Open: &short}}}}
		data, _, err := EncodeProgress("a", &p, []int{3, 4})
		require.NoError(t, err)
		got, err := decodeProgress(guavascale.Row{Key: "k", Value: data}, []int{3, 4}, 1)
		require.NoError(t, err)
		got.findWorkers(marks(map[guavascale.WorkerID]bool{"w": true, "v": true}))
		require.Equal(t, p.Suspects, got.Suspects)
		short = *got.Suspects[0].Record.Open
	}
	assert.True(t, short.IsBoot(start.Born) && short.IsAt(start.Address))
	assert.False(t, short.IsBoot(start.Born+1) || short.IsAt("a:2"))
	p := Progress{Suspects: []Suspect{{Record: guavacrash.Record{Open: &short}}}}
	p.findWorkers(marks(map[guavascale.WorkerID]bool{"v": true}))
	assert.Empty(t, p.Suspects[0].Record.Open.Worker)
}

// Guards against other rows that the store refuses, and against a fleet that the next
// owner knows only a part of.
func TestRowsOfWorkersAndKindsFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.IntRange(8, guavalimit.MaxNameBytes).Draw(t, "length")
		n := rapid.SampledFrom([]int{0, 1, 290, 340, 1100, 4096, 20_000}).Draw(t, "n")
		letter := rapid.SampledFrom([]string{"w", "<"}).Draw(t, "letter")
		var ids []guavascale.WorkerID
		missing := Missing{Token: 7, WaitMs: make(map[guavascale.WorkerID]int64)}
		var kinds Kinds
		for i := range n {
			id := guavascale.WorkerID(strings.Repeat(letter, length-5) + fmt.Sprintf("%05d", i))
			ids = append(ids, id)
			missing.WaitMs[id] = 9_000
			kinds.Pairs = append(kinds.Pairs, Pair{Service: string(id), Filler: string(id), Suspicion: 1 / float64(1+i)})
		}
		held := n / 10
		rows, fit, err := EncodeFleet(ids[n-held:], ids[:n-held])
		require.NoError(t, err)
		assert.GreaterOrEqual(t, len(fit), min(n, 340))
		for _, id := range ids[n-held:][:min(held, 340)] {
			assert.True(t, fit[id], "it may have runs")
		}
		var workers fleet
		bytes := 0
		for _, r := range rows {
			require.LessOrEqual(t, len(r.Value), MaxBytes)
			bytes += len(r.Value)
			require.NoError(t, workers.add(guavascale.Row{Key: r.Key, Value: r.Value}))
		}
		assert.LessOrEqual(t, bytes, 450_000, "the rows fit into a commit")
		got, err := workers.all()
		require.NoError(t, err)
		assert.Equal(t, fit, got)
		data, err := EncodeMissing(&missing)
		require.NoError(t, err)
		assert.LessOrEqual(t, len(data), MaxBytes)
		var read Missing
		require.NoError(t, Decode(guavascale.Row{Value: data}, &read))
		assert.Len(t, read.WaitMs, len(missing.WaitMs), "what doesn't fit is not said to be recorded")
		data, err = EncodeKinds(kinds)
		require.NoError(t, err)
		assert.LessOrEqual(t, len(data), MaxBytes)
	})
}

// Guards against an earlier version that reads a part of a fleet for all of it and starts
// tasks that run on the other workers.
func TestEarlierVersionFailsOnSplitFleet(t *testing.T) {
	var ids []guavascale.WorkerID
	for i := range 10_000 {
		ids = append(ids, guavascale.WorkerID(fmt.Sprintf("worker-%05d", i)))
	}
	rows, _, err := EncodeFleet(ids, nil)
	require.NoError(t, err)
	var earlier struct{ Workers []guavascale.WorkerID }
	require.Error(t, json.Unmarshal(rows[0].Value, &earlier))
	var workers fleet
	require.NoError(t, workers.add(guavascale.Row{Key: rows[0].Key, Value: rows[0].Value}))
	_, err = workers.all()
	assert.Error(t, err, "a part is missing")
}

// Guards against rows that make a decoder panic or use memory without a bound.
func FuzzDecodeRows(f *testing.F) {
	f.Add([]byte(`{"State":"running","Steps":[{"Occurrence":3,"Done":[0,9],"Failed":{"1":[1]},"Saved":{"0":"x"}}]}`))
	f.Add([]byte(`{"State":"running","Steps":{"Counts":[2,3],"Before":4,"Done":"AQ==","Failed":"AAICAg==","Saved":{"5":"x"}}}`))
	f.Add([]byte(`{"State":"running","Steps":{"Counts":[2,3],"Before":-1,"Failures":"//8=","Crashes":"//8="}}`))
	f.Add([]byte(`{"State":"running","Steps":[{"Failed":{"1":{"Count":40,"Ranges":[{"First":1,"Last":9223372036854775807}]}}}]}`))
	f.Add([]byte(`{"State":"running","Steps":{"Counts":[2,3],"Failed":{"Numbers":"AAICAg==","Ranges":"AQNQAig="},"Failures":"//8="}}`))
	f.Add([]byte(`{"State":"running","Open":[{"Start":{"Worker":"w","Evidence":2},"Tasks":[-1,0,19,99999]}]}`))
	f.Add([]byte(`{"State":"running","Open":[{"Start":{"Worker":"","Evidence":1},"Tasks":[1,2],"Marks":"AAECAwQFBgcIAAECAwQFBgcI"},{"Start":{},"Tasks":[1,1],"Doubts":9}]}`))
	f.Add([]byte(`{"State":"running","Open":[{"Start":{"Worker":"","Evidence":1},"Tasks":[1,2],"Marks":"AAEC"}]}`))
	f.Add([]byte(`{"Workers":{"Parts":99999999999}}`))
	f.Add([]byte(`{"Workers":["a"],"Pairs":[{"Suspicion":1e300}],"WaitMs":{"a":-9223372036854775808}}`))
	f.Add([]byte(`{"Submission":{"StartAt":"9999-12-31T23:59:59Z","Repeat":20000,"Interval":9223372036854775807}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		row := guavascale.Row{Key: fleetKey, Value: data}
		p, err := decodeProgress(row, []int{2, 3}, 4)
		if err == nil {
			require.NoError(t, p.check([]int{2, 3}, 4))
		}
		_, _ = DecodeState(row)
		var workers fleet
		if workers.add(row) == nil {
			_, _ = workers.all()
		}
		for _, v := range []any{&Submission{}, &Kinds{}, &Missing{}} {
			_ = Decode(row, v)
		}
	})
}

// Guards against rows that are read twice, or not at all, because of how the keys are divided
// into ranges.
func TestRangesContainEachKeyOnce(t *testing.T) {
	ids := []string{"", "0", "3fff", "4", "40", "7", "8", "8a", "B", "b", "c", "c0", "ffff", "zz", "~"}
	for _, prefix := range Prefixes() {
		for _, id := range ids {
			key, n := prefix+id, 0
			for _, r := range Ranges() {
				if strings.HasPrefix(key, r.Prefix) && key > r.After && (r.Until == "" || key <= r.Until) {
					n++
				}
			}
			assert.Equal(t, 1, n, key)
		}
	}
}

// Guards against lost workers that are left out of the row although there is room for them: the
// next owner waits for their leases from the beginning.
func TestMissingWorkersFillTheRow(t *testing.T) {
	for name, n := range map[string]int{"a lost zone of 3,000": 1000, "all of 3,000": 3000, "a lost zone of 18,000": 6000} {
		t.Run(name, func(t *testing.T) {
			m := Missing{Token: 1, WaitMs: make(map[guavascale.WorkerID]int64)}
			for i := range n {
				m.WaitMs[guavascale.WorkerID(fmt.Sprintf("i-%010x", i))] = 8534
			}
			data, err := EncodeMissing(&m)
			require.NoError(t, err)
			assert.LessOrEqual(t, len(data), MaxBytes)
			assert.GreaterOrEqual(t, len(m.WaitMs), min(n, 2990))
		})
	}
}
