package guavahandover

import (
	"encoding/binary"
	"encoding/hex"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"guavascale.example"
)

type (
	// Index holds the version of each row of a shard, and a digest of them. The zero value
	// is that of a shard without rows.
	Index struct {
		versions map[string]uint64
		sum      [2]uint64
	}

	// Changes are the rows that an owner has written since it told its heir to prepare.
	// The zero value holds none.
	Changes struct {
		// Rows are the rows by key, as the last commit has left them. A row without a
		// value was deleted. One with version 0 is of the release, whose version is not
		// known before it is applied.
		Rows map[string]guavascale.Row
		// Incomplete is set if there were too many, in which case Rows is empty.
		Incomplete bool

		bytes int
	}
)

// MaxChangeBytes bounds the keys and values that Changes holds.
const MaxChangeBytes = 4 << 20

// Set records the version of a row, and Delete that there is no such row.
func (x *Index) Set(key string, version uint64) {
	x.Delete(key)
	if x.versions == nil {
		x.versions = make(map[string]uint64)
	}
	x.versions[key] = version
	a, b := rowDigest(key, version)
	x.sum[0] += a
	x.sum[1] += b
}

// Delete records that there is no row with a key.
func (x *Index) Delete(key string) {
	version, ok := x.versions[key]
	if !ok {
		return
	}
	delete(x.versions, key)
	a, b := rowDigest(key, version)
	x.sum[0] -= a
	x.sum[1] -= b
}

// Apply records the writes of a commit, which has given the rows a version.
func (x *Index) Apply(writes []guavascale.Write, version uint64) {
	for i := range writes {
		if writes[i].Delete {
			x.Delete(writes[i].Key)
			continue
		}
		x.Set(writes[i].Key, version)
	}
}

// DigestAfter identifies all rows as they will be after a commit, by keys and versions. The
// store assigns a version to one commit only, so equal digests mean equal rows. The version
// of this commit is not known yet: its rows count with their values. The digest is never
// empty.
func (x *Index) DigestAfter(writes []guavascale.Write) string {
	sum, n := x.sum, len(x.versions)
	for i := range writes {
		key := writes[i].Key
		if version, ok := x.versions[key]; ok {
			a, b := rowDigest(key, version)
			sum[0], sum[1], n = sum[0]-a, sum[1]-b, n-1
		}
		if !writes[i].Delete {
			a, b := rowDigest(key, valueDigest(writes[i].Value))
			sum[0], sum[1], n = sum[0]+a, sum[1]+b, n+1
		}
	}
	text := binary.BigEndian.AppendUint64(nil, sum[0])
	text = binary.BigEndian.AppendUint64(text, sum[1])
	return strconv.Itoa(n) + "-" + hex.EncodeToString(text)
}

// valueDigest stands for the version of a row of the release.
func valueDigest(value []byte) uint64 { return xxhash.Sum64(value) | 1<<63 }

// rowDigest returns two hashes of a row, which are added up.
func rowDigest(key string, version uint64) (a, b uint64) {
	data := binary.BigEndian.AppendUint64(append(make([]byte, 0, 64), key...), version)
	a = xxhash.Sum64(data)
	return a, xxhash.Sum64(binary.BigEndian.AppendUint64(data, a))
}

// Record adds the writes of a commit, which has given the rows a version; 0 stands for that
// of the release.
func (c *Changes) Record(writes []guavascale.Write, version uint64) {
	if c.Rows == nil {
		c.Rows = make(map[string]guavascale.Row)
	}
	for i := range writes {
		w := &writes[i]
		row := guavascale.Row{Key: w.Key}
		if !w.Delete {
			row.Version, row.Value = version, w.Value
		}
		old, known := c.Rows[w.Key]
		c.bytes -= len(old.Value)
		if !known {
			c.bytes += len(w.Key)
		}
		c.bytes += len(row.Value)
		if c.bytes > MaxChangeBytes {
			c.Incomplete = true
		}
		if c.Incomplete {
			c.Rows = nil
			return
		}
		c.Rows[w.Key] = row
	}
}

// Merge returns the rows that an owner left behind: rows that were read while it still
// committed, with its changes since then. It returns false unless exactly these rows have
// the digest of the owner's last commit, whose version is given.
func Merge(read []guavascale.Row, c *Changes, digest string, version uint64) ([]guavascale.Row, bool) {
	if c.Incomplete {
		return nil, false
	}
	var x Index
	merged := make([]guavascale.Row, 0, len(read)+len(c.Rows))
	add := func(row guavascale.Row) {
		merged = append(merged, row)
		if row.Version == version {
			row.Version = valueDigest(row.Value)
		}
		x.Set(row.Key, row.Version)
	}
	for _, row := range read {
		if _, changed := c.Rows[row.Key]; !changed {
			add(row)
		}
	}
	for _, row := range c.Rows {
		if len(row.Value) == 0 {
			continue
		}
		if row.Version == 0 {
			row.Version = version
		}
		add(row)
	}
	return merged, x.DigestAfter(nil) == digest && len(x.versions) == len(merged)
}
