package guavafake

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"guavascale.example"
)

type (
	// StoreFaults are the faults of a Table or of Objects.
	StoreFaults struct {
		// Down makes every call fail without effect.
		Down bool
		// DelayMs delays every call before it takes effect, in milliseconds.
		DelayMs int64
		// LoseAnswers is the number of writes, from the next one on, that take
		// effect but whose responses are lost.
		LoseAnswers int
		// LoseProbability is the probability, 0 to 1, that the response to any
		// other write is lost. The random source is seeded with Seed when the
		// faults are set.
		LoseProbability float64
		Seed            uint64
	}

	// StoreCounts counts the calls of a Table or of Objects.
	StoreCounts struct {
		// Reads and Writes count the calls that reached the store, including
		// those that failed.
		Reads  int64
		Writes int64
		// Unavailable counts the calls that failed because the store was down,
		// Lost the writes whose responses were lost.
		Unavailable int64
		Lost        int64
	}

	// faultyStore applies faults and counts calls.
	faultyStore struct {
		mu     sync.Mutex
		faults StoreFaults
		counts StoreCounts
		random *rand.Rand
	}
)

var (
	errDown         = errors.New("the system is down")
	errLostResponse = errors.New("the answer was lost")
)

// SetFaults replaces the active faults.
func (s *faultyStore) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.random = rand.New(rand.NewPCG(f.Seed, f.Seed))
}

// Faults returns the active faults. LoseAnswers is the remaining number.
func (s *faultyStore) Faults() StoreFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the numbers of calls so far.
func (s *faultyStore) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// beginCall waits for the injected delay and locks the store. The caller unlocks
// it unless an error is returned.
func (s *faultyStore) beginCall(ctx context.Context, system, op string, write bool) error {
	if err := sleep(ctx, s.Faults().DelayMs); err != nil {
		return &guavascale.UnavailableError{System: system, Op: op, Cause: err}
	}
	s.mu.Lock()
	if write {
		s.counts.Writes++
	} else {
		s.counts.Reads++
	}
	if s.faults.Down {
		s.counts.Unavailable++
		s.mu.Unlock()
		return &guavascale.UnavailableError{System: system, Op: op, Cause: errDown}
	}
	return nil
}

// maybeLoseResponse returns an error if the faults lose the response to a write
// that took effect. The caller holds the lock.
func (s *faultyStore) maybeLoseResponse(system, op string) error {
	switch {
	case s.faults.LoseAnswers > 0:
		s.faults.LoseAnswers--
	case s.random != nil && s.random.Float64() < s.faults.LoseProbability:
	default:
		return nil
	}
	s.counts.Lost++
	return &guavascale.UnavailableError{System: system, Op: op, MayHaveApplied: true, Cause: errLostResponse}
}

// sleep waits for a delay in milliseconds, or until ctx ends.
func sleep(ctx context.Context, delayMs int64) error {
	if err := ctx.Err(); err != nil || delayMs <= 0 {
		return err
	}
	t := time.NewTimer(time.Duration(delayMs) * time.Millisecond)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
