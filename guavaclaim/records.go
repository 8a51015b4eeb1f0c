package guavaclaim

import (
	"encoding/json"
	"fmt"
	"time"

	"guavascale.example"
)

type (
	// record is a logged change of a claim.
	record struct {
		Kind recordKind
		Key  string
		// ID is the ID of the claim token.
		ID string
	}

	recordKind string

	// snapshotKey is the entry of a key in a snapshot.
	snapshotKey struct {
		Key   string
		ID    string
		AgeMs int64
	}
)

const (
	recordClaim   recordKind = "Claim"
	recordFinish  recordKind = "Finish"
	recordRelease recordKind = "Release"
)

func encodeRecord(r record) json.RawMessage {
	b, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("encode claim record: %v", err))
	}
	return b
}

func decodeRecord(value json.RawMessage) (record, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return record{}, fmt.Errorf("claim record: %w", err)
	}
	switch r.Kind {
	case recordClaim, recordFinish, recordRelease:
		return r, nil
	default:
		return record{}, &guavascale.ValidationError{
			Field: "Kind", Value: string(r.Kind), Allowed: "Claim, Finish, Release",
		}
	}
}

func decodeSnapshot(value []byte) ([]snapshotKey, error) {
	if value == nil {
		return nil, nil
	}
	var keys []snapshotKey
	if err := json.Unmarshal(value, &keys); err != nil {
		return nil, fmt.Errorf("claim snapshot: %w", err)
	}
	return keys, nil
}

// replay applies a logged record to the recovered keys.
func (t *keyTable) replay(r record, now time.Time) {
	switch r.Kind {
	case recordClaim:
		t.restore(r.Key, r.ID, now)
	case recordRelease:
		if c := t.keys[r.Key]; c != nil && c.id == r.ID {
			t.remove(c)
		}
	case recordFinish:
		// An unfinished request may have run, so its key is refused like that
		// of a finished one.
	}
}
