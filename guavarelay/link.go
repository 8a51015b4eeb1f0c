package guavarelay

import (
	"bufio"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"guavascale.example"
)

type (
	// Stream is the owner's end of a stream on which the relay has introduced
	// itself.
	Stream struct {
		hello   hello
		decoder *cbor.Decoder
	}

	// link is a connected relay. Unless noted otherwise, the fields may only be
	// accessed on the goroutine of the hub.
	link struct {
		hello hello
		token uint64
		clock guavascale.Clock
		// conn and decoder are used by write and read.
		conn    net.Conn
		decoder *cbor.Decoder
		// echo is the latest reading of the relay's clock. Any goroutine may access
		// it.
		echo atomic.Int64
		// batches holds the orders that write has to send.
		batches chan []numberedOrder
		// pending holds the orders without an outcome, queued those of them that
		// have not been passed to write.
		pending map[uint64]pendingOrder
		queued  []numberedOrder
		// workers is the number of assigned workers.
		workers    int
		flushedAt  time.Time
		receivedAt time.Time
		checkedAt  time.Time
		leaving    bool
		closed     bool
	}

	numberedOrder struct {
		number uint64
		pendingOrder
	}
)

const (
	// maxBatches bounds the batches that wait to be written to a relay. One that
	// does not read that many is as good as lost.
	maxBatches = 64
	// overdueInterval is the time between searches for orders without an outcome.
	overdueInterval = 500 * time.Millisecond
	// writeTimeout bounds the writing of a frame, helloTimeout the introduction.
	writeTimeout = 500 * time.Millisecond
	helloTimeout = 2 * time.Second
)

// ReadHello reads the introduction of a relay after the preamble.
func ReadHello(conn net.Conn, r *bufio.Reader) (*Stream, error) {
	s := &Stream{decoder: decoding.NewDecoder(r)}
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	if err := s.decoder.Decode(&s.hello); err != nil {
		return nil, fmt.Errorf("decode the introduction of a relay: %w", err)
	}
	if s.hello.Instance == "" {
		return nil, fmt.Errorf("relay at %s: the instance is missing", conn.RemoteAddr())
	}
	return s, nil
}

func newLink(conn net.Conn, s *Stream, token uint64, clock guavascale.Clock) *link {
	l := &link{
		hello: s.hello, token: token, clock: clock, conn: conn, decoder: s.decoder,
		batches: make(chan []numberedOrder, maxBatches), pending: make(map[uint64]pendingOrder), receivedAt: clock.Now(),
	}
	l.echo.Store(s.hello.Clock)
	return l
}

func (l *link) enqueue(number uint64, p pendingOrder) {
	l.pending[number] = p
	l.queued = append(l.queued, numberedOrder{number, p})
}

func (l *link) isQueued(number uint64) bool {
	for i := range l.queued {
		if l.queued[i].number == number {
			return true
		}
	}
	return false
}

// take removes and returns an order without an outcome.
func (l *link) take(number uint64) (pendingOrder, bool) {
	p, ok := l.pending[number]
	delete(l.pending, number)
	return p, ok
}

// takeOverdue removes and returns the orders whose outcome should have arrived.
func (l *link) takeOverdue(now time.Time) []pendingOrder {
	if now.Sub(l.checkedAt) < overdueInterval {
		return nil
	}
	l.checkedAt = now
	var overdue []pendingOrder
	for number, p := range l.pending {
		if now.Sub(p.order.Sent) > p.order.Timeout+outcomeMargin {
			delete(l.pending, number)
			overdue = append(overdue, p)
		}
	}
	return overdue
}

// flush passes the queued orders to write, or an empty batch if a heartbeat is due. It
// returns false if the relay does not read.
func (l *link) flush(now time.Time) bool {
	if len(l.queued) == 0 && now.Sub(l.flushedAt) < heartbeatInterval {
		return true
	}
	select {
	case l.batches <- l.queued:
		l.queued, l.flushedAt = nil, now
		return true
	default:
		return false
	}
}

func (l *link) close() {
	if !l.closed {
		l.closed = true
		close(l.batches)
		_ = l.conn.Close()
	}
}

// write sends batches until the link is closed. It runs on a goroutine of its own.
func (l *link) write() {
	w := bufio.NewWriter(l.conn)
	enc := encoding.NewEncoder(w)
	for batch := range l.batches {
		frame := orderFrame{Token: l.token, Echo: l.echo.Load(), Orders: make([]wireOrder, len(batch))}
		now := l.clock.Now()
		for i := range batch {
			frame.Orders[i] = toWireOrder(&batch[i].order, batch[i].number, batch[i].until.Sub(now))
		}
		if err := sendFrame(l.conn, w, enc, &frame); err != nil {
			// The reading end reports the error.
			_ = l.conn.Close()
		}
	}
}

// read passes the frames of the relay to receive until the stream ends. It runs on a
// goroutine of its own.
func (l *link) read(receive func(*outcomeFrame) bool, ended func(error)) {
	for {
		f := &outcomeFrame{}
		if err := l.decoder.Decode(f); err != nil {
			ended(err)
			return
		}
		l.echo.Store(f.Clock)
		if !receive(f) {
			return
		}
	}
}

func sendFrame(conn net.Conn, w *bufio.Writer, enc *cbor.Encoder, frame any) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if err := enc.Encode(frame); err != nil {
		return err
	}
	return w.Flush()
}
