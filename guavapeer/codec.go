package guavapeer

import (
	"bufio"
	"encoding/gob"
	"errors"
	"net"
	"net/rpc"
	"time"
)

type (
	// serverCodec is net/rpc's own codec with bounds on the size of a message
	// and on the time for it, which net/rpc leaves out.
	serverCodec struct {
		conn net.Conn
		in   *boundedReader
		dec  *gob.Decoder
		enc  *gob.Encoder
		out  *bufio.Writer
	}

	// boundedReader reads at most left bytes from a connection. It may read a
	// little of the next message ahead.
	boundedReader struct {
		conn net.Conn
		left int
	}
)

const (
	// maxMessageBytes bounds a message. The largest, a recorded answer with its
	// claim, has the size of an endpoint's answer.
	maxMessageBytes = 16 << 20
	// maxIdle closes a connection on which no message was complete in time. In
	// a large system two daemons may not talk for minutes.
	maxIdle = 10 * time.Minute
)

var errMessageTooLarge = errors.New("a message between daemons exceeds 16 MiB")

func newServerCodec(c net.Conn) *serverCodec {
	in, out := &boundedReader{conn: c}, bufio.NewWriter(c)
	return &serverCodec{conn: c, in: in, dec: gob.NewDecoder(in), enc: gob.NewEncoder(out), out: out}
}

// Read implements io.Reader.
func (r *boundedReader) Read(b []byte) (int, error) {
	if r.left <= 0 {
		return 0, errMessageTooLarge
	}
	n, err := r.conn.Read(b[:min(len(b), r.left)])
	r.left -= n
	return n, err
}

// ReadRequestHeader begins the next message.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.in.left = maxMessageBytes
	if err := c.conn.SetReadDeadline(time.Now().Add(maxIdle)); err != nil {
		return err
	}
	return c.dec.Decode(r)
}

// ReadRequestBody reads the rest of the message.
func (c *serverCodec) ReadRequestBody(body any) error { return c.dec.Decode(body) }

// WriteResponse sends an answer. A peer that does not take it loses the
// connection.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	if err := c.write(r, body); err != nil {
		_ = c.conn.Close()
		return err
	}
	return nil
}

func (c *serverCodec) write(r *rpc.Response, body any) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(handlerTimeout)); err != nil {
		return err
	}
	if err := c.enc.Encode(r); err != nil {
		return err
	}
	if err := c.enc.Encode(body); err != nil {
		return err
	}
	return c.out.Flush()
}

// Close closes the connection.
func (c *serverCodec) Close() error { return c.conn.Close() }
