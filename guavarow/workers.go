package guavarow

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"guavascale.example"
)

type (
	// Pair is the stored estimate of whether a filler kind disturbs a service kind:
	// Suspicion is its probability, Strikes its number of exclusions.
	Pair struct {
		Service   string
		Filler    string
		Suspicion float64
		Strikes   int `json:",omitempty"`
		// RetryAtMs is the Unix time in milliseconds up to which the pair is excluded;
		// 0 if it is not, or was written by an earlier version.
		RetryAtMs int64 `json:",omitempty"`
	}

	// Kinds is the content of the row KindsKey.
	Kinds struct {
		Pairs []Pair
	}

	// Missing is the content of the row MissingKey. It is valid for the owner that
	// follows the one with Token.
	Missing struct {
		Token uint64
		// WaitMs holds, by worker, the time from the commit of the row until the
		// worker's leases must have expired.
		WaitMs map[guavascale.WorkerID]int64 `json:",omitempty"`
	}

	// fleet decodes the workers that may hold runs. They are in the row "Fleet/all", or
	// if they don't fit, in other rows of which it holds the number. The zero value is
	// ready to use.
	fleet struct {
		parts   int
		workers map[string][]guavascale.WorkerID
	}

	// storedFleet is the content of the row "Fleet/all". Workers is a list, or a
	// fleetParts, which the earlier version fails to decode.
	storedFleet struct {
		Workers json.RawMessage
	}

	fleetParts struct{ Parts int }

	// fleetPart is the content of the other rows.
	fleetPart struct{ Workers []guavascale.WorkerID }
)

const (
	fleetKey = "Fleet/all"
	// maxFleetParts bounds the rows of the fleet, so that they fit into a commit.
	maxFleetParts = 7
)

// EncodeKinds returns the value of the row KindsKey. Pairs that don't fit are left out:
// those that are least suspicious.
func EncodeKinds(k Kinds) ([]byte, error) {
	data, err := json.Marshal(k)
	if err != nil || len(data) <= MaxBytes {
		return data, err
	}
	pairs := slices.Clone(k.Pairs)
	slices.SortStableFunc(pairs, func(a, b Pair) int {
		return cmp.Or(cmp.Compare(b.Suspicion, a.Suspicion), cmp.Compare(b.Strikes, a.Strikes))
	})
	var kept Kinds
	room := MaxBytes - len(`{"Pairs":[]}`)
	for _, p := range pairs {
		data, err := json.Marshal(p)
		if err != nil {
			return nil, err
		}
		if size := len(data) + len(`,`); size <= room {
			kept.Pairs, room = append(kept.Pairs, p), room-size
		}
	}
	return Encode(KindsKey, kept)
}

// EncodeMissing returns the value of the row MissingKey, and removes the workers from m
// that don't fit.
func EncodeMissing(m *Missing) ([]byte, error) {
	data, err := Encode(MissingKey, m)
	var large *SizeError
	if !errors.As(err, &large) {
		return data, err
	}
	room := MaxBytes - len(`{"Token":18446744073709551615,"WaitMs":{}}`)
	for _, id := range slices.Sorted(maps.Keys(m.WaitMs)) {
		if size := quotedSize(id) + len(`:`) + len(strconv.FormatInt(m.WaitMs[id], 10)) + len(`,`); size <= room {
			room -= size
		} else {
			delete(m.WaitMs, id)
		}
	}
	return Encode(MissingKey, m)
}

// quotedSize returns the size of an ID in JSON.
func quotedSize(id guavascale.WorkerID) int {
	data, err := json.Marshal(id)
	if err != nil {
		return MaxBytes
	}
	return len(data)
}

// EncodeFleet returns the rows of the workers that may hold runs, and the workers that are
// in them. Those that are held, since they may have runs already, come first.
func EncodeFleet(held, others []guavascale.WorkerID) ([]guavascale.Write, map[guavascale.WorkerID]bool, error) {
	slices.Sort(held)
	slices.Sort(others)
	workers := slices.Concat(held, others)
	fit := len(workers)
	data, err := json.Marshal(fleetPart{workers})
	if err != nil {
		return nil, nil, err
	}
	rows := []guavascale.Write{{Key: fleetKey, Value: data}}
	if len(data) > MaxBytes {
		var parts [][]guavascale.WorkerID
		parts, fit = splitFleet(workers)
		rows = rows[:0]
		count, err := json.Marshal(fleetParts{len(parts)})
		if err != nil {
			return nil, nil, err
		}
		if data, err = Encode(fleetKey, storedFleet{count}); err != nil {
			return nil, nil, err
		}
		rows = append(rows, guavascale.Write{Key: fleetKey, Value: data})
		for i, ids := range parts {
			key := fleetPartKey(i + 1)
			if data, err = Encode(key, fleetPart{ids}); err != nil {
				return nil, nil, err
			}
			rows = append(rows, guavascale.Write{Key: key, Value: data})
		}
	}
	in := make(map[guavascale.WorkerID]bool, fit)
	for _, id := range workers[:fit] {
		in[id] = true
	}
	return rows, in, nil
}

// splitFleet divides the workers into the parts of a fleet, and returns how many fit.
func splitFleet(workers []guavascale.WorkerID) (parts [][]guavascale.WorkerID, fit int) {
	for fit < len(workers) && len(parts) < maxFleetParts {
		first, room := fit, MaxBytes-len(`{"Workers":[]}`)
		for fit < len(workers) {
			size := quotedSize(workers[fit]) + len(`,`)
			if size > room {
				break
			}
			room -= size
			fit++
		}
		parts = append(parts, workers[first:fit])
	}
	return parts, fit
}

func fleetPartKey(n int) string { return fmt.Sprintf("%spart-%d", fleetPrefix, n) }

// add decodes a row if it is one of the fleet.
func (f *fleet) add(row guavascale.Row) error {
	if !strings.HasPrefix(row.Key, fleetPrefix) || row.Key == MissingKey {
		return nil
	}
	if f.workers == nil {
		f.workers = make(map[string][]guavascale.WorkerID)
	}
	var stored storedFleet
	if err := Decode(row, &stored); err != nil || len(stored.Workers) == 0 {
		return err
	}
	if row.Key == fleetKey && strings.HasPrefix(string(stored.Workers), "{") {
		var p fleetParts
		err := Decode(guavascale.Row{Key: row.Key, Value: stored.Workers}, &p)
		f.parts = min(p.Parts, maxFleetParts)
		return err
	}
	var ids []guavascale.WorkerID
	err := Decode(guavascale.Row{Key: row.Key, Value: stored.Workers}, &ids)
	f.workers[row.Key] = ids
	return err
}

// all returns the workers of the rows. It fails if one of the rows is missing.
func (f *fleet) all() (map[guavascale.WorkerID]bool, error) {
	keys := []string{fleetKey}
	for n := range f.parts {
		keys = append(keys, fleetPartKey(n+1))
	}
	all := make(map[guavascale.WorkerID]bool)
	for _, key := range keys {
		ids, ok := f.workers[key]
		if !ok && f.parts > 0 && key != fleetKey {
			return nil, &guavascale.NotFoundError{Kind: "row", Name: key}
		}
		for _, id := range ids {
			all[id] = true
		}
	}
	return all, nil
}
