package guavascale

type (
	// JobStatus is the value of a job's table row "Job/<id>".
	JobStatus struct {
		Job Job
		// Ended is set when all tasks have ended. The counts are valid only
		// then.
		Ended     bool
		Done      int
		Failed    int
		Cancelled int
	}

	// InboxItem is the value of a table row "Inbox/<partition>/<id>". Exactly
	// one field is set.
	InboxItem struct {
		// Job is a new job, sent to its home shard.
		Job *Job `json:",omitempty"`
		// Task is a task that another shard handed over to this one.
		Task *Task `json:",omitempty"`
		// Ended reports the end of a task to the job's home shard, which counts
		// it.
		Ended *EndedTask `json:",omitempty"`
		// Cancel is the ID of a job to cancel.
		Cancel string `json:",omitempty"`
	}

	// EndedTask reports that a task ended on a shard other than its home shard.
	EndedTask struct {
		Task  TaskID
		Job   string
		State TaskState
	}
)
