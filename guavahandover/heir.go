package guavahandover

import "time"

// Daemon is a daemon that an owner may name as its heir.
type Daemon struct {
	Instance string
	Address  string
	// Strength is the processor time of the daemon, in cores.
	Strength float64
	// Uptime is the age of its process, or 0 if it is of a version that doesn't tell. Such
	// a daemon can't be told to prepare either.
	Uptime time.Duration
	// SeenAt is when it was last heard of.
	SeenAt time.Time
}

const (
	// YieldRatio is how many times as strong as its owner a daemon must be for the owner
	// to yield the shard to it. An heir is strong enough that it doesn't have to yield.
	YieldRatio = 1.5
	// MinUptime is the age of a process that has read the configuration and knows its
	// peers. A younger daemon is named only if there is no other.
	MinUptime = time.Second
)

// CanPrepare reports whether the daemon can be told to prepare.
func (d *Daemon) CanPrepare() bool { return d.Uptime > 0 && d.Address != "" }

// Heir returns the daemon that should own the shard next. It is the one that has started
// last: daemons are restarted one after the other, and the one that has been restarted is
// the one that stays longest. It returns false if there is none.
func Heir(daemons []Daemon) (Daemon, bool) {
	strongest := 0.0
	for i := range daemons {
		strongest = max(strongest, daemons[i].Strength)
	}
	var best *Daemon
	for i := range daemons {
		d := &daemons[i]
		if YieldRatio*d.Strength >= strongest && (best == nil || precedes(d, best)) {
			best = d
		}
	}
	if best == nil {
		return Daemon{}, false
	}
	return *best, true
}

// precedes reports whether a should be the heir rather than b.
func precedes(a, b *Daemon) bool {
	switch {
	case a.CanPrepare() != b.CanPrepare():
		return a.CanPrepare()
	case (a.Uptime >= MinUptime) != (b.Uptime >= MinUptime):
		return a.Uptime >= MinUptime
	case a.Uptime != b.Uptime:
		return a.Uptime < b.Uptime
	case a.Strength != b.Strength:
		return a.Strength > b.Strength
	default:
		return a.SeenAt.After(b.SeenAt)
	}
}
