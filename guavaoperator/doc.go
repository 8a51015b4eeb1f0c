// Package guavaoperator implements a daemon's HTTP API for operators, and a
// client for it.
//
// Every daemon serves the same API on a separate listener. Paths and JSON
// fields are in Pascal case. A call is authenticated by a bearer token, sent as
// "Authorization: Bearer <token>"; if no credentials are configured, every call
// is rejected. Only /-/live and /-/ready need no credential. A Server validates
// and decodes requests and passes them to a Backend, which the daemon
// implements.
//
// Each call that changes state carries an ID. Calls are idempotent per ID, so
// an operator can safely repeat a call whose response was lost. Errors are sent
// as ErrorBody in JSON: status 400 corresponds to ValidationError, 401 to a
// missing or unknown credential, 404 to NotFoundError, 409 to ConflictError,
// 413 to a body that is too large, and 503 to UnavailableError, with
// MayHaveApplied set if the call may have taken effect.
//
// Client converts these responses back to the same error types, so that its
// callers can match them with errors.As.
package guavaoperator
