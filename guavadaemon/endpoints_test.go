package guavadaemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"guavascale.example"
)

// Guards against instances that get no requests because their shard has no
// owner for the moment, and against requests to instances that an owner out of
// sight may be stopping.
func TestCollectEndpoints(t *testing.T) {
	const shard = guavascale.Partition("Shard-Rennes-0")
	endpoint := func(worker guavascale.WorkerID) guavascale.Endpoint {
		return guavascale.Endpoint{Service: "licence", Task: "licence/0", Worker: worker}
	}
	summary := func(epoch uint64, instance string, e ...guavascale.Endpoint) sourcedSummary {
		return sourcedSummary{guavascale.PartitionSummary{Partition: shard, Epoch: epoch, Endpoints: e}, instance}
	}
	tests := map[string]struct {
		// now is what live daemons tell after the owner "a-1" told of an
		// instance on worker w1 at epoch 5.
		now     map[guavascale.Partition]sourcedSummary
		settled []string
		epoch   uint64
		// gone is set when the host list does not name the shard or the worker
		// any more.
		noShard, noWorker bool
		want              []guavascale.WorkerID
	}{
		"owner lives":               {now: map[guavascale.Partition]sourcedSummary{shard: summary(5, "a-1", endpoint("w2"))}, settled: []string{"a-1"}, epoch: 5, want: []guavascale.WorkerID{"w2"}},
		"owner gone":                {settled: []string{"a-1"}, epoch: 5, want: []guavascale.WorkerID{"w1"}},
		"owner silent":              {epoch: 5},
		"later epoch in the table":  {settled: []string{"a-1"}, epoch: 6},
		"new owner":                 {now: map[guavascale.Partition]sourcedSummary{shard: summary(6, "b-1", endpoint("w2"))}, settled: []string{"a-1", "b-1"}, epoch: 6, want: []guavascale.WorkerID{"w2"}},
		"earlier owner seen again":  {now: map[guavascale.Partition]sourcedSummary{shard: summary(4, "c-1", endpoint("w2"))}, settled: []string{"a-1", "c-1"}, epoch: 5, want: []guavascale.WorkerID{"w1"}},
		"owner gone, worker too":    {settled: []string{"a-1"}, epoch: 5, noWorker: true},
		"owner gone, shard removed": {settled: []string{"a-1"}, epoch: 5, noShard: true},
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
			settled := map[string]bool{}
			for _, instance := range tt.settled {
				settled[instance] = true
			}
			c.collectEndpoints(tt.now, settled)
			var got []guavascale.WorkerID
			for _, e := range c.endpoints {
				got = append(got, e.Worker)
			}
			require.Equal(t, tt.want, got)
		})
	}
}
