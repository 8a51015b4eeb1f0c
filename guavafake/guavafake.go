// Package guavafake is an in-memory platform for tests and trials: a table, an
// object store and a fleet of workers, with fault injection.
//
// Table and Objects keep their content in maps and apply StoreFaults to each
// call. Fleet holds the workers and implements the host list and the agents. A
// worker has no goroutine. Its attempts end at computed times (work done, lease
// expired, checkpoint saved), and the fleet applies the ends that are due before
// it reads a worker's state. So every result depends only on the calls and on
// the clock, and a manual clock works as well as the wall clock.
//
// The fleet also checks the scheduler. It records every start and keeps a list
// of Violations of the scheduler's guarantees. Workers deliberately don't
// protect themselves from a faulty scheduler beyond what the agent protocol
// requires; for example they start tasks that exceed their capacity unless
// RejectFull is set, so that the violation is recorded.
//
// Platform.Handler serves all of this over HTTP, and Endpoints serves the
// requests that callers send to service instances.
//
// Zero values work; all types are safe for concurrent use.
package guavafake
