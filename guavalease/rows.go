package guavalease

import (
	"encoding/json"
	"errors"
	"fmt"

	"guavascale.example"
)

// OwnerKey returns the key of the owner row of p.
func OwnerKey(p guavascale.Partition) string { return OwnerPrefix + string(p) }

// DecodeOwner decodes the value of an owner row.
func DecodeOwner(value []byte) (OwnerRow, error) {
	var r OwnerRow
	if err := json.Unmarshal(value, &r); err != nil {
		return OwnerRow{}, fmt.Errorf("owner row: %w", err)
	}
	return r, nil
}

// DecodeSession decodes the value of a session row.
func DecodeSession(value []byte) (SessionRow, error) {
	var r SessionRow
	if err := json.Unmarshal(value, &r); err != nil {
		return SessionRow{}, fmt.Errorf("session row: %w", err)
	}
	return r, nil
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode row: %v", err))
	}
	return b
}

func isConditionError(err error) bool {
	var e *guavascale.ConditionError
	return errors.As(err, &e)
}

func isNotFound(err error) bool {
	var e *guavascale.NotFoundError
	return errors.As(err, &e)
}

// notApplied reports whether err proves that a commit had no effect.
func notApplied(err error) bool {
	var e *guavascale.UnavailableError
	return isConditionError(err) || errors.As(err, &e) && !e.MayHaveApplied
}
