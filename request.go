package guavascale

type (
	// Outcome states whether a request ran, if the gateway has no endpoint
	// response to return for it.
	Outcome string

	// Answer is a complete HTTP response from an endpoint.
	Answer struct {
		// Status is the HTTP status code.
		Status int
		// ContentType and Body are passed through unchanged.
		ContentType string
		Body        []byte
	}

	// ClaimToken identifies the claim of a request on an idempotency key.
	ClaimToken struct {
		Key string
		// Partition and Epoch identify the owner that granted the claim.
		Partition Partition
		Epoch     uint64
		// ID is random and distinguishes claims of the same key.
		ID string
	}

	// PartitionSummary describes a partition. Its owner gossips it to the other
	// daemons.
	PartitionSummary struct {
		Partition Partition
		Epoch     uint64
		Zone      Zone
		// Capacity is the total capacity of the workers that responded recently.
		Capacity Resources
		// Free is the largest free capacity of a single worker, Total the sum
		// of the free capacities of all workers that accept starts.
		Free      Resources
		Total     Resources
		Pending   int
		TeamUse   map[string]Resources
		Endpoints []Endpoint
	}

	// Summary describes a daemon. The daemon gossips it to the other daemons.
	Summary struct {
		Daemon string
		// Instance changes each time the daemon starts.
		Instance string
		// Sequence increases with each new summary of the instance.
		Sequence uint64
		// PeerAddress, GatewayAddress and OperatorAddress have the form
		// "host:port".
		PeerAddress     string
		GatewayAddress  string
		OperatorAddress string
		Zone            Zone
		// Leaving is set during graceful shutdown.
		Leaving       bool
		ConfigVersion uint64
		Partitions    []PartitionSummary
	}
)

const (
	// OutcomeNotRun means that the request is guaranteed not to have run.
	OutcomeNotRun Outcome = "NotRun"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "OutcomeUnknown"
	// OutcomeAlreadyRun means that an earlier request with the same key ran
	// or may have run.
	OutcomeAlreadyRun Outcome = "AlreadyRun"
)
