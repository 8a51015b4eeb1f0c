package guavascale

type (
	// JobStatus is the content of a job's row "Job/<id>".
	JobStatus struct {
		Job Job
		// Ended is set when all tasks have ended; the counts are valid then.
		Ended     bool
		Done      int
		Failed    int
		Cancelled int
	}

	// InboxItem is the content of a row "Inbox/<partition>/<id>". Exactly one
	// field is set.
	InboxItem struct {
		// Job is a new job for its home shard.
		Job *Job `json:",omitempty"`
		// Task is a task that another shard handed over.
		Task *Task `json:",omitempty"`
		// Ended is the end of a task that this home shard counts.
		Ended *EndedTask `json:",omitempty"`
		// Cancel is the ID of a job to cancel.
		Cancel string `json:",omitempty"`
	}

	// EndedTask is the end of a task outside its home shard.
	EndedTask struct {
		Task  TaskID
		Job   string
		State TaskState
	}
)
