package guavapeer

import (
	"errors"

	"github.com/fxamacker/cbor/v2"

	"guavascale.example"
)

type (
	// method names a remote method.
	method string

	// envelope wraps every request and every response.
	envelope struct {
		Method method          `cbor:",omitempty"`
		Error  *wireError      `cbor:",omitempty"`
		Body   cbor.RawMessage `cbor:",omitempty"`
	}

	// wireError encodes an error. At most one of the pointers is set; it
	// preserves the error types that callers distinguish.
	wireError struct {
		Text        string
		AlreadyRun  *wireAlreadyRun  `cbor:",omitempty"`
		Lease       *wireLease       `cbor:",omitempty"`
		Unavailable *wireUnavailable `cbor:",omitempty"`
	}

	wireAlreadyRun struct {
		Key    string
		Answer *guavascale.Answer
	}

	wireLease struct {
		Partition guavascale.Partition
		Reason    string
	}

	wireUnavailable struct {
		System, Op     string
		MayHaveApplied bool
	}

	configOut struct {
		Config *guavascale.Config
	}

	claimIn struct {
		Key    string
		Token  guavascale.ClaimToken
		Answer guavascale.Answer
	}

	claimOut struct {
		Token guavascale.ClaimToken
	}

	workOut struct {
		Work guavascale.Work
	}
)

const (
	methodExchange method = "Exchange"
	methodNews     method = "News"
	methodConfig   method = "Config"
	methodClaim    method = "Claim"
	methodFinish   method = "Finish"
	methodRelease  method = "Release"
	methodWork     method = "Work"
)

func encodeError(err error) *wireError {
	w := &wireError{Text: err.Error()}
	var alreadyRun *guavascale.AlreadyRunError
	var lease *guavascale.LeaseError
	var unavailable *guavascale.UnavailableError
	switch {
	case errors.As(err, &alreadyRun):
		w.AlreadyRun = &wireAlreadyRun{alreadyRun.Key, alreadyRun.Answer}
	case errors.As(err, &lease):
		w.Lease = &wireLease{lease.Partition, lease.Reason}
	case errors.As(err, &unavailable):
		w.Unavailable = &wireUnavailable{unavailable.System, unavailable.Op, unavailable.MayHaveApplied}
	}
	return w
}

func (w *wireError) decode() error {
	switch {
	case w.AlreadyRun != nil:
		return &guavascale.AlreadyRunError{Key: w.AlreadyRun.Key, Answer: w.AlreadyRun.Answer}
	case w.Lease != nil:
		return &guavascale.LeaseError{Partition: w.Lease.Partition, Reason: w.Lease.Reason}
	case w.Unavailable != nil:
		u := w.Unavailable
		return &guavascale.UnavailableError{
			System: u.System, Op: u.Op, MayHaveApplied: u.MayHaveApplied, Cause: errors.New(w.Text),
		}
	default:
		return errors.New(w.Text)
	}
}
