package guavaconfig

import "time"

type (
	// Intervals holds the times of the protocols between daemons, in seconds.
	// All daemons should have the same.
	Intervals struct {
		// SessionRenewSeconds and SessionTTLSeconds belong to a daemon's
		// session; authority ends SessionMarginSeconds before the TTL, and a
		// takeover happens that much after it.
		SessionRenewSeconds  float64
		SessionTTLSeconds    float64
		SessionMarginSeconds float64
		// ConfigPollSeconds is the time between reads of the Config row.
		ConfigPollSeconds float64
		// StartAuthoritySeconds is how long a read of the Config row allows
		// task starts.
		StartAuthoritySeconds float64
		GossipSeconds         float64
		// GroupCommitSeconds is the longest time that records wait for others
		// to share a log row.
		GroupCommitSeconds float64
		// KeySeconds is how long idempotency keys are kept, AnswerSeconds how
		// long recorded responses are.
		KeySeconds    float64
		AnswerSeconds float64
		// ShutdownSeconds is the longest graceful shutdown. It exceeds the 30 s
		// that a request may take.
		ShutdownSeconds float64
	}

	rule[T int | float64] struct {
		field    string
		v        *T
		def      T
		min, max T
	}

	// order is a requirement between two fields: a is greater than b.
	order struct {
		field  string
		a, b   float64
		bigger string
	}
)

// Seconds converts a field in seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (s *Settings) intRules() []rule[int] {
	l := &s.Limits
	return []rule[int]{
		// A shard has at most 64 workers, which is 8 racks of 8.
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
		// The promise for a zone taken out is 3 s; 2 s leave 1 s for the order.
		{"Intervals.StartAuthoritySeconds", &i.StartAuthoritySeconds, 2, 0.1, 2},
		{"Intervals.GossipSeconds", &i.GossipSeconds, 1, 0.05, 10},
		{"Intervals.GroupCommitSeconds", &i.GroupCommitSeconds, 0.2, 0.001, 5},
		{"Intervals.KeySeconds", &i.KeySeconds, 3600, 60, 86400},
		{"Intervals.AnswerSeconds", &i.AnswerSeconds, 600, 1, 3600},
		{"Intervals.ShutdownSeconds", &i.ShutdownSeconds, 35, 31, 300},
	}
}

func (i Intervals) orders() []order {
	return []order{
		{"SessionTTLSeconds", i.SessionTTLSeconds, 2*i.SessionRenewSeconds + i.SessionMarginSeconds, "twice SessionRenewSeconds plus SessionMarginSeconds"},
		{"StartAuthoritySeconds", i.StartAuthoritySeconds, i.ConfigPollSeconds, "ConfigPollSeconds"},
		{"KeySeconds", i.KeySeconds, i.AnswerSeconds, "AnswerSeconds"},
	}
}
