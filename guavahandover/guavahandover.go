// Package guavahandover decides how a shard passes from one owner to the next, and
// measures what the change costs.
//
// An owner ends its term for a Reason. Its successor knows the reason from the last head
// if the owner has released the shard, and otherwise from how contact with it was lost.
// Takeover measures the first seconds of the successor's term.
//
// The package does no I/O.
package guavahandover

// Reason is why a shard has changed its owner.
type Reason string

const (
	// Stopped and Yielded are the reasons of a release: the daemon was asked to stop, or a
	// much stronger one can take over. Released is either, by a version that doesn't tell.
	Stopped  Reason = "Stopped"
	Yielded  Reason = "Yielded"
	Released Reason = "Released"
	// CommitsFailed is an owner that says that it can't commit.
	CommitsFailed Reason = "CommitsFailed"
	// Silent is an owner that neither answers nor commits, and Ended one whose host
	// refuses connections.
	Silent Reason = "Silent"
	Ended  Reason = "Ended"
	// Restarted is an earlier process at the successor's own address.
	Restarted Reason = "Restarted"
	// Replaced is a term that ends because another daemon owns the shard.
	Replaced Reason = "Replaced"
	// Deposed is a term that ends because a worker has seen a later owner.
	Deposed Reason = "Deposed"
	// Panicked is a term that ends by a fault of the program.
	Panicked Reason = "Panicked"
	// LoadFailed is a term that ends because the rows can't be loaded.
	LoadFailed Reason = "LoadFailed"
	// First is a shard that had no owner.
	First Reason = "First"
)
