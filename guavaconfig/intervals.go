package guavaconfig

import "time"

type (
	// Intervals holds the timing parameters of the protocols between daemons,
	// in seconds. They should be equal on all daemons.
	Intervals struct {
		// SessionRenewSeconds and SessionTTLSeconds are the renewal interval
		// and the TTL of a daemon's session. The daemon's authority ends
		// SessionMarginSeconds before the TTL, and a takeover happens that long
		// after it.
		SessionRenewSeconds  float64
		SessionTTLSeconds    float64
		SessionMarginSeconds float64
		// ConfigPollSeconds is the time between reads of the Config row.
		ConfigPollSeconds float64
		// StartAuthoritySeconds is how long after a read of the Config row
		// tasks may be started.
		StartAuthoritySeconds float64
		GossipSeconds         float64
		// GroupCommitSeconds is the longest time that a record is delayed so
		// that it can be written in one log row with others.
		GroupCommitSeconds float64
		// KeySeconds and AnswerSeconds are the retention of idempotency keys
		// and of recorded responses.
		KeySeconds    float64
		AnswerSeconds float64
		// ShutdownSeconds limits a graceful shutdown. It exceeds the 30 s that
		// a request may take.
		ShutdownSeconds float64
	}

	// rule is the default and the allowed range of a numeric field.
	rule[T int | float64] struct {
		field    string
		value    *T
		def      T
		min, max T
	}

	// lowerBound requires that the value of a field exceeds bound, which is
	// derived from other fields as boundName describes.
	lowerBound struct {
		field        string
		value, bound float64
		boundName    string
	}
)

// Seconds converts a field in seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (s *Settings) intRules() []rule[int] {
	l := &s.Limits
	return []rule[int]{
		// A shard has at most 64 workers: 8 racks of 8.
		{"RacksPerShard", &s.RacksPerShard, 1, 1, 8},
		{"Limits.BodyBytes", &l.BodyBytes, 1 << 20, 1 << 10, 64 << 20},
		{"Limits.HeaderBytes", &l.HeaderBytes, 16 << 10, 1 << 10, 1 << 20},
		{"Limits.Connections", &l.Connections, 4096, 1, 1 << 20},
	}
}

func (s *Settings) floatRules() []rule[float64] {
	i := &s.Intervals
	return []rule[float64]{
		{"Limits.ReadSeconds", &s.Limits.ReadSeconds, 10, 0.1, 300},
		{"Intervals.SessionRenewSeconds", &i.SessionRenewSeconds, 3, 0.1, 60},
		{"Intervals.SessionTTLSeconds", &i.SessionTTLSeconds, 10, 0.5, 300},
		{"Intervals.SessionMarginSeconds", &i.SessionMarginSeconds, 1, 0.05, 30},
		{"Intervals.ConfigPollSeconds", &i.ConfigPollSeconds, 1, 0.05, 1},
		// No task may start in a zone later than 3 s after it was taken out; 2 s
		// leave 1 s for the delivery of a start order.
		{"Intervals.StartAuthoritySeconds", &i.StartAuthoritySeconds, 2, 0.1, 2},
		{"Intervals.GossipSeconds", &i.GossipSeconds, 1, 0.05, 10},
		{"Intervals.GroupCommitSeconds", &i.GroupCommitSeconds, 0.2, 0.001, 5},
		{"Intervals.KeySeconds", &i.KeySeconds, 3600, 60, 86400},
		{"Intervals.AnswerSeconds", &i.AnswerSeconds, 600, 1, 3600},
		{"Intervals.ShutdownSeconds", &i.ShutdownSeconds, 35, 31, 300},
	}
}

func (i Intervals) lowerBounds() []lowerBound {
	return []lowerBound{
		{"SessionTTLSeconds", i.SessionTTLSeconds, 2*i.SessionRenewSeconds + i.SessionMarginSeconds, "twice SessionRenewSeconds plus SessionMarginSeconds"},
		{"StartAuthoritySeconds", i.StartAuthoritySeconds, i.ConfigPollSeconds, "ConfigPollSeconds"},
		{"KeySeconds", i.KeySeconds, i.AnswerSeconds, "AnswerSeconds"},
	}
}
