package guavacrash

import (
	"encoding/binary"
	"hash/fnv"

	"guavascale.example"
)

// Mark identifies the boot of a worker in MarkBytes bytes: a hash of the worker's ID, one of
// its address, and the last bits of its start time. Two boots may have the same mark.
type Mark string

const (
	MarkBytes    = 9
	idBytes      = 4
	addressBytes = 3
)

// MarkWorker returns the part of a mark that is the same for all boots of a worker.
func MarkWorker(id guavascale.WorkerID) Mark { return hash(string(id), idBytes) }

// MarkAddress returns the part of a mark that stands for an address.
func MarkAddress(address string) Mark { return hash(address, addressBytes) }

func hash(s string, n int) Mark {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return Mark(h.Sum(nil)[:n])
}

func markBorn(born int64) Mark {
	return Mark(binary.LittleEndian.AppendUint64(nil, uint64(born))[:MarkBytes-idBytes-addressBytes])
}

// Worker returns the part of the mark that MarkWorker returns.
func (m Mark) Worker() Mark { return m[:idBytes] }

func (m Mark) address() Mark { return m[idBytes : idBytes+addressBytes] }

func (m Mark) born() Mark { return m[idBytes+addressBytes:] }

// Short returns the start with a mark in place of the worker's address and boot.
func (s Start) Short() Start {
	if s.Mark != "" {
		return s
	}
	return Start{Worker: s.Worker, Evidence: s.Evidence, Mark: MarkWorker(s.Worker) + MarkAddress(s.Address) + markBorn(s.Born)}
}

// IsBoot reports whether the start was on the boot of its worker that began at born.
func (s Start) IsBoot(born int64) bool {
	if s.Mark != "" {
		return s.Mark.born() == markBorn(born)
	}
	return s.Born == born
}

// IsAt reports whether the start's worker had the address.
func (s Start) IsAt(address string) bool {
	if s.Mark != "" {
		return s.Mark.address() == MarkAddress(address)
	}
	return s.Address == address
}
