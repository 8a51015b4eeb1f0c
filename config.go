package guavascale

type (
	// Config is the cluster-wide configuration document. Documents are
	// immutable; a change creates a new document with the next version.
	Config struct {
		// Version starts at 1 and increases by one with each accepted change.
		Version uint64
		// Preset is the name of the active preset, a key of Presets.
		Preset  string
		Presets map[string]Preset
		// ZonesOut is the set of availability zones that are out of service.
		ZonesOut map[Zone]bool
		Services map[string]Service
		// Quotas limits the resources of a team's running batch tasks. Teams
		// that are not listed are unlimited.
		Quotas map[string]Resources
		// Changes holds the IDs of the latest changes, oldest first, to detect
		// retried changes.
		Changes []AppliedChange
	}

	// AppliedChange records a change that is part of a document.
	AppliedChange struct {
		ID      string
		Version uint64
	}

	// Service is the declaration of a latency-critical service.
	Service struct {
		Name string
		Kind string
		Team string
		// Instances is the total number of instances across the zones that are
		// in service.
		Instances int
		Size      Resources
		// TargetMs is the target for the 99th percentile response time, in
		// milliseconds.
		TargetMs float64
		// Idempotent is set if every request may be retried, regardless of its
		// method.
		Idempotent bool
	}

	// Preset is a named set of policy parameters. A zero field selects the
	// default, which Defaults of package guavaconfig fills in.
	Preset struct {
		Name string
		// LatencyWeight and BatchWeight balance tail latency against batch
		// throughput in placement and eviction, 0 to 100 each.
		LatencyWeight float64
		BatchWeight   float64
		// MaxBatchShare is the fraction of a worker's capacity that batch tasks
		// may use on workers with service instances, 0 to 1.
		MaxBatchShare float64
		// BatchLeaseSeconds and ServiceLeaseSeconds are the task lease
		// durations. Longer leases survive longer store outages, but delay the
		// resumption of batch tasks after a worker failure.
		BatchLeaseSeconds   float64
		ServiceLeaseSeconds float64
		// StartsPerSecond limits the rate of task starts per shard.
		StartsPerSecond float64
		// DrainPerSecond limits the rate per shard at which tasks are moved off
		// a zone that was taken out of service.
		DrainPerSecond float64
		// EvictAfterSeconds is how long a service must miss its target before
		// batch tasks are evicted to protect it.
		EvictAfterSeconds float64
		// RetryRatio is the retry budget: retries allowed per request, 0 to 1.
		RetryRatio float64
		// QueueMs is the maximum time a request waits for a free slot, in
		// milliseconds.
		QueueMs float64
	}
)
