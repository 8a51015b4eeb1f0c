package guavalog

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"guavascale.example"
)

// sequenceDigits is the width of the zero-padded sequence number in keys, which
// makes the order of keys equal to that of sequence numbers.
const sequenceDigits = 20

func logPrefix(p guavascale.Partition) string { return "Log/" + string(p) + "/" }

func logKey(p guavascale.Partition, sequence uint64) string {
	return fmt.Sprintf("%s%0*d", logPrefix(p), sequenceDigits, sequence)
}

func snapshotKey(p guavascale.Partition) string { return "Snap/" + string(p) }

func decodeBatch(p guavascale.Partition, row guavascale.Row) (Batch, error) {
	digits, ok := strings.CutPrefix(row.Key, logPrefix(p))
	sequence, err := strconv.ParseUint(digits, 10, 64)
	if !ok || err != nil || len(digits) != sequenceDigits {
		return Batch{}, &CorruptError{Key: row.Key, Reason: "the key has no sequence number of 20 digits"}
	}
	var r logRow
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Batch{}, &CorruptError{Key: row.Key, Reason: err.Error()}
	}
	return Batch{Sequence: sequence, Epoch: r.Epoch, Records: r.Records}, nil
}

func decodeSnapshotRow(row guavascale.Row) (snapRow, error) {
	var s snapRow
	if err := json.Unmarshal(row.Value, &s); err != nil {
		return snapRow{}, &CorruptError{Key: row.Key, Reason: err.Error()}
	}
	return s, nil
}

func asConditionError(err error) *guavascale.ConditionError {
	var e *guavascale.ConditionError
	if errors.As(err, &e) {
		return e
	}
	return nil
}

func isNotFound(err error) bool {
	var e *guavascale.NotFoundError
	return errors.As(err, &e)
}

// notApplied reports whether err guarantees that a commit did not take effect.
func notApplied(err error) bool {
	var e *guavascale.UnavailableError
	return errors.As(err, &e) && !e.MayHaveApplied
}
