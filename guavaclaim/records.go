package guavaclaim

import (
	"encoding/json"
	"fmt"
	"time"

	"guavascale.example"
)

type (
	// record is one change of a claim table, as logged.
	record struct {
		Kind recordKind
		Key  string
		// ID is that of the claim's token.
		ID string
	}

	recordKind string

	// snapshotKey is one key of a snapshot.
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
		panic(fmt.Sprintf("a record of plain fields must encode: %v", err))
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

// replay applies a logged record to recovered keys.
func (t *table) replay(r record, now time.Time) {
	switch r.Kind {
	case recordClaim:
		t.restore(r.Key, r.ID, now)
	case recordRelease:
		if c := t.keys[r.Key]; c != nil && c.id == r.ID {
			t.remove(c)
		}
	case recordFinish:
		// A claim without an end counts as one that may have run, and both
		// are refused alike.
	}
}
