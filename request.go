package guavascale

type (
	// Outcome is what the system knows of a request that it did not answer
	// with an endpoint's answer.
	Outcome string

	// Answer is a whole answer of an endpoint.
	Answer struct {
		// Status is the HTTP status code.
		Status int
		// ContentType and Body are as the endpoint sent them.
		ContentType string
		Body        []byte
	}

	// ClaimToken proves that a request holds an idempotency key.
	ClaimToken struct {
		Key string
		// Partition and Epoch name the owner that granted the claim.
		Partition Partition
		Epoch     uint64
		// ID is random and differs between claims of the same key.
		ID string
	}

	// PartitionSummary is what an owner tells other daemons of a partition.
	PartitionSummary struct {
		Partition Partition
		Epoch     uint64
		Zone      Zone
		// Capacity is what the workers hold that answered recently.
		Capacity Resources
		// Free is the largest room on a single worker, Total the free
		// capacity of all workers that accept starts.
		Free      Resources
		Total     Resources
		Pending   int
		TeamUse   map[string]Resources
		Endpoints []Endpoint
	}

	// Summary is what a daemon tells other daemons of itself.
	Summary struct {
		Daemon string
		// Instance changes with each start of the daemon.
		Instance string
		// Sequence grows with each new summary of the instance.
		Sequence uint64
		// PeerAddress, GatewayAddress and OperatorAddress are host and port.
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
	// OutcomeNotRun means that the request certainly did not run.
	OutcomeNotRun Outcome = "NotRun"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "OutcomeUnknown"
	// OutcomeAlreadyRun means that an earlier request with the same key ran
	// or may have run.
	OutcomeAlreadyRun Outcome = "AlreadyRun"
)
