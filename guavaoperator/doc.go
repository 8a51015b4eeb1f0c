// Package guavaoperator is the operators' HTTP interface of a daemon and its
// client.
//
// The model: every daemon serves the same interface on a listener of its own.
// Paths and JSON fields are in Pascal case. A call needs a credential, sent as
// "Authorization: Bearer <token>"; without configured credentials every call
// is refused. Only /-/live and /-/ready are open. A Server checks and decodes
// input and passes it to a Backend, which the daemon implements.
//
// Each call that changes something carries an ID. Repeating it with the same
// ID is harmless, so an operator whose answer was lost sends it again. Errors
// are ErrorBody in JSON. Status 400 stands for ValidationError, 401 for a
// missing or unknown credential, 404 for NotFoundError, 409 for ConflictError,
// 413 for a body that is too large, and 503 for UnavailableError, with
// MayHaveApplied set when the call may have taken effect.
//
// Client makes the same errors of these answers, so that callers match them
// with errors.As.
package guavaoperator
