package guavaaccount

import (
	"errors"
	"sync/atomic"
	"time"

	"guavascale.example"
)

type (
	// Status describes for operators what a Gate knows and has refused.
	Status struct {
		Version  uint64
		Accounts int
		Keys     int
		// ReadAgeMs is the age of the newest confirmed read of the configuration; at
		// MaxAgeMs and above, calls with keys are refused. MaxAgeMs 0 means no limit.
		ReadAgeMs int64
		MaxAgeMs  int64
		// Refused counts the calls that were refused since the process started, by cause.
		Refused map[string]int64 `json:",omitempty"`
	}

	// refusals counts refused calls by cause. It is safe for concurrent use.
	refusals [len(causes)]atomic.Int64
)

// causes holds the names and reasons of the causes of refusals.
var causes = [...]struct{ name, reason string }{
	{"NoKey", ReasonNoKey},
	{"SeveralHeaders", ReasonDuplicate},
	{"Malformed", ReasonMalformed},
	{"UnknownKey", ReasonUnknownKey},
	{"RemovedKey", ReasonRemovedKey},
	{"OldRead", reasonOldRead},
	{"NotChecked", reasonNotChecked},
	{"NotPublic", reasonNotPublic},
	{"AccountChanged", reasonAccountChanged},
}

// count counts a refusal, if err is one.
func (r *refusals) count(err error) {
	var (
		unauthorized *guavascale.UnauthorizedError
		rejected     *guavascale.RejectedError
		reason       string
	)
	switch {
	case errors.As(err, &unauthorized):
		reason = unauthorized.Reason
	case errors.As(err, &rejected):
		reason = rejected.Reason
	}
	for i := range causes {
		if causes[i].reason == reason {
			r[i].Add(1)
		}
	}
}

// Status returns what the gate knows, or nil if the operators declare no accounts.
func (g *Gate) Status(now time.Time) *Status {
	v := g.load()
	if v == nil {
		return nil
	}
	s := &Status{
		Version: v.version, Accounts: v.accounts, Keys: v.index.keys,
		ReadAgeMs: now.Sub(v.readAt).Milliseconds(), MaxAgeMs: g.MaxAge.Milliseconds(), Refused: make(map[string]int64),
	}
	for i := range causes {
		if n := g.refusals[i].Load(); n > 0 {
			s.Refused[causes[i].name] = n
		}
	}
	return s
}
