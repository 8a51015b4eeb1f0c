package guavadaemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"guavascale.example"
)

// Guards against two failures: instances get no requests while their shard has
// no owner, and requests go to instances that an unreachable owner may be
// stopping.
func TestCollectEndpoints(t *testing.T) {
	const shard = guavascale.Partition("Shard-Rennes-0")
	endpoint := func(worker guavascale.WorkerID) guavascale.Endpoint {
		return guavascale.Endpoint{Service: "licence", Task: "licence/0", Worker: worker}
	}
	summary := func(epoch uint64, instance string, e ...guavascale.Endpoint) sourcedSummary {
		return sourcedSummary{guavascale.PartitionSummary{Partition: shard, Epoch: epoch, Endpoints: e}, instance}
	}
	tests := map[string]struct {
		// latest holds the summaries of live daemons. Before, the owner "a-1"
		// reported an instance on worker w1 at epoch 5.
		latest      map[guavascale.Partition]sourcedSummary
		statusKnown []string
		epoch       uint64
		// noShard and noWorker are set when the host list no longer contains the
		// shard or the worker.
		noShard, noWorker bool
		want              []guavascale.WorkerID
	}{
		"owner lives":               {latest: map[guavascale.Partition]sourcedSummary{shard: summary(5, "a-1", endpoint("w2"))}, statusKnown: []string{"a-1"}, epoch: 5, want: []guavascale.WorkerID{"w2"}},
		"owner gone":                {statusKnown: []string{"a-1"}, epoch: 5, want: []guavascale.WorkerID{"w1"}},
		"owner silent":              {epoch: 5},
		"later epoch in the table":  {statusKnown: []string{"a-1"}, epoch: 6},
		"new owner":                 {latest: map[guavascale.Partition]sourcedSummary{shard: summary(6, "b-1", endpoint("w2"))}, statusKnown: []string{"a-1", "b-1"}, epoch: 6, want: []guavascale.WorkerID{"w2"}},
		"earlier owner seen again":  {latest: map[guavascale.Partition]sourcedSummary{shard: summary(4, "c-1", endpoint("w2"))}, statusKnown: []string{"a-1", "c-1"}, epoch: 5, want: []guavascale.WorkerID{"w1"}},
		"owner gone, worker too":    {statusKnown: []string{"a-1"}, epoch: 5, noWorker: true},
		"owner gone, shard removed": {statusKnown: []string{"a-1"}, epoch: 5, noShard: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := &control{
				lastSummaries: map[guavascale.Partition]sourcedSummary{shard: summary(5, "a-1", endpoint("w1"))},
				byShard:       map[guavascale.Partition][]guavascale.Worker{shard: {{ID: "w1"}}},
				workers:       []guavascale.Worker{{ID: "w1"}, {ID: "w2"}},
				ownerEpoch:    func(guavascale.Partition) uint64 { return tt.epoch },
			}
			if tt.noShard {
				delete(c.byShard, shard)
			}
			if tt.noWorker {
				c.workers = nil
			}
			statusKnown := map[string]bool{}
			for _, instance := range tt.statusKnown {
				statusKnown[instance] = true
			}
			c.collectEndpoints(tt.latest, statusKnown)
			var got []guavascale.WorkerID
			for _, e := range c.endpoints {
				got = append(got, e.Worker)
			}
			require.Equal(t, tt.want, got)
		})
	}
}
