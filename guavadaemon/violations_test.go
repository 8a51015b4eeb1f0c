package guavadaemon

import (
	"context"
	"encoding/json"
	"slices"
	"strings"

	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/guavafake"
	"guavascale.example/guavalog"
	"guavascale.example/guavashard"
)

// restartWorker restarts a worker. If an attempt has ended there but its end is
// not in any log yet, the restart loses the end, so the task runs again. Such
// tasks are added to lostEnds.
func (s *testSystem) restartWorker(id guavascale.WorkerID) {
	state := s.tasksInLogs()
	running := s.fleet.Running()[id]
	for task, start := range s.lastStarts() {
		t := state[task]
		if start.Worker == id && t.State.HoldsWorker() && !slices.Contains(running, start.Attempt) {
			s.lostEnds[task] = true
		}
	}
	require.NoError(s.t, s.fleet.Restart(id))
}

// lastStarts returns the latest start of each task.
func (s *testSystem) lastStarts() map[guavascale.TaskID]guavafake.Start {
	last := make(map[guavascale.TaskID]guavafake.Start)
	for _, starts := range s.fleet.Verdict().StartsByZone {
		for _, start := range starts {
			name, _, _ := strings.Cut(string(start.Attempt), "#")
			if task := guavascale.TaskID(name); start.At.After(last[task].At) {
				last[task] = start
			}
		}
	}
	return last
}

// tasksInLogs returns the tasks as recorded in the logs of all shards. If
// several shards recorded a task, the record with the highest attempt wins;
// records of a hand-over are skipped.
func (s *testSystem) tasksInLogs() map[guavascale.TaskID]guavascale.Task {
	tasks := make(map[guavascale.TaskID]guavascale.Task)
	after := ""
	for {
		rows, err := linkTable{&link{testSystem: s}}.scanWithoutFaults("Log/Shard-", after)
		require.NoError(s.t, err)
		for _, row := range rows {
			after = row.Key
			var b guavalog.Batch
			require.NoError(s.t, json.Unmarshal(row.Value, &b))
			for _, data := range b.Records {
				var r guavashard.Record
				require.NoError(s.t, json.Unmarshal(data, &r))
				if r.Task != nil && r.Task.State != guavascale.TaskHandedOver && r.Task.Attempt >= tasks[r.Task.ID].Attempt {
					tasks[r.Task.ID] = *r.Task
				}
			}
		}
		if len(rows) == 0 {
			return tasks
		}
	}
}

// scanWithoutFaults scans the table with its injected faults disabled.
func (t linkTable) scanWithoutFaults(prefix, after string) ([]guavascale.Row, error) {
	faults := t.l.table.Faults()
	t.l.table.SetFaults(guavafake.StoreFaults{})
	defer t.l.table.SetFaults(faults)
	return t.l.table.Scan(context.Background(), prefix, after, 1000)
}

// preventableViolations returns the violations that the system could have
// prevented. A task in lostEnds may run again.
func (s *testSystem) preventableViolations() []guavafake.Violation {
	var preventable []guavafake.Violation
	for _, v := range s.fleet.Verdict().Violations {
		repeated := v.Kind == guavafake.ViolationRepeated || v.Kind == guavafake.ViolationLost
		if repeated && s.lostEnds[v.Task] {
			continue
		}
		preventable = append(preventable, v)
	}
	return preventable
}
