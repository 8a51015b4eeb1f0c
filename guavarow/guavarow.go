// Package guavarow encodes and decodes the rows in which an owner stores its shard.
//
// Assumed failure: a row grows with everything that has ever been done, until the store
// refuses it. The owner repeats the commit with all other rows in it, can't commit a
// heartbeat either, and the next owner loads the same row. So each row has a bound by
// construction, for all that the limits of submissions (guavalimit) allow:
//
//   - Progress grows with the tasks that are under way. Tasks that are done before all
//     others are a number, the rest is a bit or half a byte per task, and the details
//     that the store doesn't have to know fill what is left.
//   - A list of workers is split over several rows.
//   - An estimate that doesn't fit, of those that are least certain, is left out: a new
//     owner learns it again.
//
// Daemons of two versions run side by side during an update. A row has the form that the
// earlier version reads and writes while that form fits. If it doesn't, the earlier
// version could not have written it; the other form is one that it fails to decode, so
// that it gives up the shard instead of taking tasks that are done for tasks to start.
package guavarow

import (
	"encoding/json"
	"fmt"
	"strings"

	"guavascale.example"
)

type (
	// Submission is the content of a row "Submission/<id>", which never changes.
	Submission struct {
		Submission guavascale.Submission
		Epoch      uint64
		// AcceptedMs is a Unix time in milliseconds.
		AcceptedMs int64
	}

	// Range is a range of keys: those with a prefix that sort after After and, unless Until
	// is empty, not after Until.
	Range struct {
		Prefix, After, Until string
	}

	// SizeError reports a row that would be larger than MaxBytes.
	SizeError struct {
		Key   string
		Bytes int
	}
)

const (
	// MaxBytes bounds the value of a row, of which the platform accepts 64 KiB.
	MaxBytes = 60_000

	submissionPrefix = "Submission/"
	progressPrefix   = "Progress/"
	fleetPrefix      = "Fleet/"
	// KindsKey is the key of the row with the estimates of interference, and
	// MissingKey that of the row with the missing workers.
	KindsKey   = "Kinds/all"
	MissingKey = "Fleet/missing"
	// BindingsKey is the key of the row with the queues of accepted submissions.
	BindingsKey = "Bindings/all"
	// AccountsKey is the key of the row with the accounts that the catalog has removed.
	// Earlier versions read all rows with its prefix and ignore it.
	AccountsKey = "Bindings/accounts"
)

// Prefixes returns the key prefixes of all rows of a shard.
func Prefixes() []string {
	return []string{fleetPrefix, "Kinds/", "Bindings/", submissionPrefix, progressPrefix}
}

// rangeBounds divide the IDs of submissions, most of which are hexadecimal numbers.
var rangeBounds = []string{"4", "8", "c"}

// Ranges returns the ranges of keys of all rows of a shard, each key in one of them. The
// rows of the submissions, which are the most, are divided into several, so that they can be
// read concurrently.
func Ranges() []Range {
	var ranges []Range
	for _, prefix := range Prefixes() {
		r := Range{Prefix: prefix}
		if prefix == submissionPrefix || prefix == progressPrefix {
			for _, bound := range rangeBounds {
				r.Until = prefix + bound
				ranges = append(ranges, r)
				r.After, r.Until = r.Until, ""
			}
		}
		ranges = append(ranges, r)
	}
	return ranges
}

// SubmissionKey returns the key of the row of a submission.
func SubmissionKey(id string) string { return submissionPrefix + id }

// ProgressKey returns the key of the row with the progress of a submission.
func ProgressKey(id string) string { return progressPrefix + id }

// submissionOf returns the ID of the submission whose row has the key.
func submissionOf(key string) (id string, ok bool) { return strings.CutPrefix(key, submissionPrefix) }

// progressOf returns the ID of the submission whose progress has the key.
func progressOf(key string) (id string, ok bool) { return strings.CutPrefix(key, progressPrefix) }

func (e *SizeError) Error() string {
	return fmt.Sprintf("row %q would have %d bytes, more than %d", e.Key, e.Bytes, MaxBytes)
}

// Encode returns the value of a row. It fails with SizeError if the row is too large.
func Encode(key string, v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode row %q: %w", key, err)
	}
	if len(data) > MaxBytes {
		return nil, &SizeError{Key: key, Bytes: len(data)}
	}
	return data, nil
}

// Describe names the rows of a commit that failed, their sizes and the cause.
func Describe(rows []guavascale.Write, cause error) string {
	names := make([]string, len(rows))
	for i := range rows {
		names[i] = fmt.Sprintf("%s (%d bytes)", rows[i].Key, len(rows[i].Value))
	}
	return fmt.Sprintf("%s: %v", strings.Join(names, ", "), cause)
}

// Decode decodes the value of a row.
func Decode(row guavascale.Row, v any) error {
	if err := json.Unmarshal(row.Value, v); err != nil {
		return fmt.Errorf("decode row %q: %w", row.Key, err)
	}
	return nil
}
