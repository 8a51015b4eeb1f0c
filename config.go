package guavascale

type (
	// Config is the one configuration document. Documents are immutable; a
	// change makes a new one with the next version.
	Config struct {
		// Version starts at 1 and grows by one with each accepted change.
		Version uint64
		// Preset names the preset in force; it is a key of Presets.
		Preset  string
		Presets map[string]Preset
		// ZonesOut holds the availability zones that are out of service.
		ZonesOut map[Zone]bool
		Services map[string]Service
		// Quotas limits the running batch work of a team; a team that is not
		// listed has no limit.
		Quotas map[string]Resources
		// Changes holds the IDs of the latest changes, oldest first, so that
		// a repeated change is recognised.
		Changes []AppliedChange
	}

	// AppliedChange is a change that a document contains.
	AppliedChange struct {
		ID      string
		Version uint64
	}

	// Service is a declared latency-critical service.
	Service struct {
		Name string
		Kind string
		Team string
		// Instances is the number of instances in the zones in service.
		Instances int
		Size      Resources
		// TargetMs is the answer time that 99% of requests should meet, in
		// milliseconds.
		TargetMs float64
		// Idempotent tells that every request may be repeated, whatever its
		// method.
		Idempotent bool
	}

	// Preset is a set of policy parameters. The zero value of a field stands
	// for its default, which Defaults of package guavaconfig fills in.
	Preset struct {
		Name string
		// LatencyWeight and BatchWeight weigh tail latency against batch
		// throughput in placement and eviction, 0 to 100 each.
		LatencyWeight float64
		BatchWeight   float64
		// MaxBatchShare is the part of a worker's capacity that batch work may
		// take on workers with service instances, 0 to 1.
		MaxBatchShare float64
		// BatchLeaseSeconds and ServiceLeaseSeconds are task leases. A longer
		// lease survives longer store outages; a failed worker's batch tasks
		// resume later.
		BatchLeaseSeconds   float64
		ServiceLeaseSeconds float64
		// StartsPerSecond bounds task starts per shard.
		StartsPerSecond float64
		// DrainPerSecond bounds the tasks per shard that leave a zone taken out.
		DrainPerSecond float64
		// EvictAfterSeconds is how long a service must miss its target before
		// batch work is evicted for it.
		EvictAfterSeconds float64
		// RetryRatio is the number of retries allowed per request, 0 to 1.
		RetryRatio float64
		// QueueMs is the longest time that a request waits for a free slot,
		// in milliseconds.
		QueueMs float64
	}
)
