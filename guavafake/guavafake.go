// Package guavafake is an in-memory platform for tests and trials: a table, an
// object store and a fleet of workers, with faults that can be switched on.
//
// The model: Table and Objects keep their content in maps and apply StoreFaults
// to each call. Fleet holds workers; it implements the host list and the agents.
// A worker has no goroutine. Its attempts end at computed times (work done,
// lease over, checkpoint saved), and the fleet applies the ends that are due
// before it looks at a worker. So every result depends only on the calls made
// and on the clock, and a manual clock works as well as the wall clock.
//
// The fleet is also the judge of a trial. It records every start and keeps a
// list of Violations of the scheduler's promises. Workers deliberately don't
// protect themselves from a wrong scheduler beyond what the agent's protocol
// says; for example they start tasks that exceed their capacity unless
// RejectFull is set, so that the judge can see the fault.
//
// Handler serves all of it over HTTP, and Endpoints serves the requests that
// callers send to service instances.
//
// Zero values work; all types are safe for concurrent use.
package guavafake
