package guavascale

type (
	// Row is one row of the table.
	Row struct {
		// Key is never empty.
		Key string
		// Version is greater than 0 and grows with every write of the row.
		// Versions come from one counter of the table, so a row that was
		// deleted and created again never repeats one.
		Version uint64
		// WriteID is the ID of the commit that wrote the row.
		WriteID string
		// Value is the content, JSON in all rows of this system.
		Value []byte
	}

	// Condition is a requirement of a commit on one row.
	Condition struct {
		Key string
		// Version is the version that the row must have; 0 means that the
		// row must not exist.
		Version uint64
	}

	// Write is one change of a commit.
	Write struct {
		Key string
		// Value is ignored when Delete is set.
		Value []byte
		// Delete removes the row; removing a missing row is no error.
		Delete bool
	}

	// Commit is a transaction: all of its conditions hold and all of its
	// writes are applied, or nothing is.
	Commit struct {
		// ID identifies the commit and is stored in each written row. It is
		// random and never reused, so that the outcome of a commit whose
		// answer was lost can be read back.
		ID string
		// Conditions are checked against the state before the commit.
		Conditions []Condition
		// Writes holds each key at most once.
		Writes []Write
	}
)
