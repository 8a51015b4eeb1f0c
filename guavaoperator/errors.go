package guavaoperator

import (
	"errors"
	"fmt"
	"strings"

	"github.com/valyala/fasthttp"

	"guavascale.example"
	"guavascale.example/guavaconfig"
)

type (
	// ErrorBody is the JSON body of an error response. Fields that do not apply
	// are omitted.
	ErrorBody struct {
		// Error is the human-readable message.
		Error string
		// Kind is one of the Kind constants.
		Kind ErrorKind
		// Field, Value and Allowed are the fields of ValidationError.
		Field   string `json:",omitempty"`
		Value   string `json:",omitempty"`
		Allowed string `json:",omitempty"`
		// Based and InForce are the fields of ConflictError.
		Based   uint64 `json:",omitempty"`
		InForce uint64 `json:",omitempty"`
		// What and Name are the fields Kind and Name of NotFoundError.
		What string `json:",omitempty"`
		Name string `json:",omitempty"`
		// System and Op are the fields of UnavailableError.
		System string `json:",omitempty"`
		Op     string `json:",omitempty"`
		// MayHaveApplied reports that the call may have taken effect. It is
		// safe to repeat the call with the same ID.
		MayHaveApplied bool
	}

	// ErrorKind identifies the error type that an ErrorBody describes.
	ErrorKind string

	// StatusError reports that a daemon rejected a call for a reason that has
	// no dedicated error type.
	StatusError struct {
		// Status is the HTTP status code.
		Status  int
		Message string
	}

	// CredentialError reports that a credential is missing or unknown.
	CredentialError struct{}
)

const (
	KindValidation  ErrorKind = "Validation"
	KindCredential  ErrorKind = "Credential"
	KindNotFound    ErrorKind = "NotFound"
	KindConflict    ErrorKind = "Conflict"
	KindUnavailable ErrorKind = "Unavailable"
	KindRequest     ErrorKind = "Request"
	KindInternal    ErrorKind = "Internal"
)

func (e *StatusError) Error() string { return fmt.Sprintf("%s (status %d)", e.Message, e.Status) }

func (e *CredentialError) Error() string { return "the credential is missing or unknown" }

// ErrorResponse returns the HTTP status and the body for an error. A mutating
// call that failed with an error of unknown type may have taken effect.
func ErrorResponse(err error, mutating bool) (int, ErrorBody) {
	body := ErrorBody{Error: err.Error()}
	var (
		invalid     *guavascale.ValidationError
		conflict    *guavascale.ConflictError
		condition   *guavascale.ConditionError
		missing     *guavascale.NotFoundError
		unavailable *guavascale.UnavailableError
		credential  *CredentialError
		status      *StatusError
		lease       *guavascale.LeaseError
		revert      *guavaconfig.RevertError
	)
	// UnavailableError is matched first, since it may wrap another error.
	switch {
	case errors.As(err, &unavailable):
		body.Kind = KindUnavailable
		body.System, body.Op = unavailable.System, unavailable.Op
		body.MayHaveApplied = mutating && unavailable.MayHaveApplied
		return fasthttp.StatusServiceUnavailable, body
	case errors.As(err, &lease), errors.As(err, &revert):
		body.Kind = KindUnavailable
		body.System, body.Op = "daemon", "the call"
		return fasthttp.StatusServiceUnavailable, body
	case errors.As(err, &invalid):
		body.Kind = KindValidation
		body.Field, body.Value, body.Allowed = invalid.Field, invalid.Value, invalid.Allowed
		return fasthttp.StatusBadRequest, body
	case errors.As(err, &credential):
		body.Kind = KindCredential
		return fasthttp.StatusUnauthorized, body
	case errors.As(err, &missing):
		body.Kind = KindNotFound
		body.What, body.Name = missing.Kind, missing.Name
		return fasthttp.StatusNotFound, body
	case errors.As(err, &conflict):
		body.Kind = KindConflict
		body.Based, body.InForce = conflict.Based, conflict.InForce
		return fasthttp.StatusConflict, body
	case errors.As(err, &condition):
		body.Kind = KindConflict
		return fasthttp.StatusConflict, body
	case errors.As(err, &status):
		body.Kind = KindRequest
		return status.Status, body
	default:
		body.Kind = KindInternal
		body.System, body.Op = "daemon", "the call"
		body.MayHaveApplied = mutating
		return fasthttp.StatusInternalServerError, body
	}
}

// errorFromResponse is the inverse of ErrorResponse. It converts the status and
// body of a response to an error.
func errorFromResponse(status int, body ErrorBody) error {
	switch body.Kind {
	case KindValidation:
		return &guavascale.ValidationError{Field: body.Field, Value: body.Value, Allowed: body.Allowed}
	case KindCredential:
		return &CredentialError{}
	case KindNotFound:
		return &guavascale.NotFoundError{Kind: body.What, Name: body.Name}
	case KindConflict:
		if body.InForce > 0 {
			return &guavascale.ConflictError{Based: body.Based, InForce: body.InForce}
		}
	case KindUnavailable, KindInternal:
		out := &guavascale.UnavailableError{System: body.System, Op: body.Op, MayHaveApplied: body.MayHaveApplied}
		// The message of out adds the system and the operation again.
		prefix := fmt.Sprintf("%s did not answer %s: ", body.System, body.Op)
		out.Cause = &StatusError{Status: status, Message: strings.TrimPrefix(body.Error, prefix)}
		return out
	}
	return &StatusError{Status: status, Message: body.Error}
}
