package guavadaemon

import "sync"

// mailbox is an unbounded queue of functions for the control goroutine. Posting
// never blocks, so that a goroutine of the log or of a pool cannot deadlock with
// the control goroutine. Its length is bounded by the calls under way: one for
// each worker, inbox scan and log.
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

// take returns and empties the queue.
func (m *mailbox) drain() []func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	q := m.queue
	m.queue = nil
	return q
}
