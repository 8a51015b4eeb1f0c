package guavadaemon

import "sync"

// mailbox is an unbounded queue of functions for the control goroutine. Posting
// never blocks, so a goroutine of the log or of a pool cannot deadlock with the
// control goroutine. In practice the length is bounded by the number of
// concurrent calls: one for each worker, inbox scan and log.
type mailbox struct {
	mu    sync.Mutex
	queue []func()
	wake  chan struct{}
}

func newMailbox() *mailbox { return &mailbox{wake: make(chan struct{}, 1)} }

func (m *mailbox) post(f func()) {
	m.mu.Lock()
	m.queue = append(m.queue, f)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// drain empties the queue and returns its functions.
func (m *mailbox) drain() []func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	q := m.queue
	m.queue = nil
	return q
}
