package guavascale

type (
	// Row is one row of the table.
	Row struct {
		// Key is never empty.
		Key string
		// Version is greater than 0 and increases with every write of the row.
		// Versions are assigned from a single counter of the table, so a row
		// that is deleted and created again never reuses one.
		Version uint64
		// WriteID is the ID of the commit that wrote the row.
		WriteID string
		// Value is the content; all rows of this system hold JSON.
		Value []byte
	}

	// Condition is a precondition of a commit on the version of one row.
	Condition struct {
		Key string
		// Version is the required version of the row; 0 means that the row
		// must not exist.
		Version uint64
	}

	// Write sets or deletes one row.
	Write struct {
		Key string
		// Value is ignored if Delete is set.
		Value []byte
		// Delete deletes the row; it succeeds if the row does not exist.
		Delete bool
	}

	// Commit is a transaction: if all of its conditions hold, all of its
	// writes are applied, otherwise none.
	Commit struct {
		// ID identifies the commit and is stored in each written row. It is
		// random and never reused, so that the outcome of a commit whose
		// response was lost can be determined by reading a row back.
		ID string
		// Conditions are evaluated on the state before the commit.
		Conditions []Condition
		// Writes contains each key at most once.
		Writes []Write
	}
)
