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
	// serverCodec is the gob codec of net/rpc with limits on the size of a
	// message and on the time to read or write it, which net/rpc lacks.
	serverCodec struct {
		conn net.Conn
		in   *boundedReader
		dec  *gob.Decoder
		enc  *gob.Encoder
		out  *bufio.Writer
	}

	// boundedReader reads at most remaining bytes from a connection. It may read
	// ahead into the next message.
	boundedReader struct {
		conn      net.Conn
		remaining int
	}
)

const (
	// maxMessageBytes limits the size of a message. The largest one carries a
	// claim with its recorded response, which is as large as the response of an
	// endpoint.
	maxMessageBytes = 16 << 20
	// idleTimeout is the time within which the next complete message must arrive
	// before the connection is closed. In a large system two daemons may not
	// communicate for minutes.
	idleTimeout = 10 * time.Minute
)

var errMessageTooLarge = errors.New("a message between daemons exceeds 16 MiB")

func newServerCodec(c net.Conn) *serverCodec {
	in, out := &boundedReader{conn: c}, bufio.NewWriter(c)
	return &serverCodec{conn: c, in: in, dec: gob.NewDecoder(in), enc: gob.NewEncoder(out), out: out}
}

// Read implements io.Reader.
func (r *boundedReader) Read(b []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errMessageTooLarge
	}
	n, err := r.conn.Read(b[:min(len(b), r.remaining)])
	r.remaining -= n
	return n, err
}

// ReadRequestHeader reads the header of the next message and resets the limits
// on size and time.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.in.remaining = maxMessageBytes
	if err := c.conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return err
	}
	return c.dec.Decode(r)
}

// ReadRequestBody reads the body of the message.
func (c *serverCodec) ReadRequestBody(body any) error { return c.dec.Decode(body) }

// WriteResponse sends a response. The connection is closed when the response
// cannot be written within handlerTimeout.
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
