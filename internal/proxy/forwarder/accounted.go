package forwarder

import (
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/kernel/accountant"
	"github.com/tamarackscale/tamarackscale/internal/proxy/coder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/fencer"
)

const (
	// fieldBytes is what a field of a call costs beyond its bytes in a message.
	fieldBytes = 96
	// messageBytes is what handling a message costs: its goroutine, stack and contexts.
	messageBytes = 8 << 10
	// growth is the factor by which the memory of a message that is being read may exceed what has arrived.
	growth = 2
)

// UseAccount makes messages of other nodes reserve memory from the account. It must be called before Serve.
func (r *Receiver) UseAccount(a *accountant.Account) {
	r.account = a
	r.offers.account = a
}

// newCodec returns the codec of the server side of a connection.
func (r *Receiver) newCodec(conn net.Conn) rpc.ServerCodec {
	counted, ok := conn.(*accountant.Conn)
	if !ok || r.account == nil {
		return coder.NewServerCodec(&boundedConn{Conn: conn, timeout: replyWriteTimeout}, &r.pending)
	}
	c := &accountedCodec{account: r.account, conn: counted, messages: map[uint64]*message{}}
	c.current = r.account.Open(counted)
	bounded := &boundedConn{Conn: &accountedConn{Conn: counted, codec: c}, timeout: replyWriteTimeout}
	c.ServerCodec = coder.NewServerCodec(bounded, &r.pending)
	return c
}

// accountedConn reserves memory for what is read of a message.
type accountedConn struct {
	*accountant.Conn
	codec *accountedCodec
	// full is set when there was no memory for a message. The connection ends with it.
	full bool
}

// Read implements net.Conn. If there is no memory for the message, it returns accountant.ErrFull and nothing
// of what was read, then and afterwards: a buffered reader may drop an error that comes with data.
func (c *accountedConn) Read(b []byte) (int, error) {
	if c.full {
		return 0, accountant.ErrFull
	}
	n, err := c.Conn.Read(b)
	if c.full = !c.codec.grow(int64(n)); c.full {
		return 0, accountant.ErrFull
	}
	return n, err
}

// accountedCodec is the codec of a connection whose messages reserve memory until their reply is written.
// The bytes of small messages, such as those of the members, cost nothing beyond their connection.
type accountedCodec struct {
	rpc.ServerCodec
	account *accountant.Account
	conn    *accountant.Conn
	// current is what the message being read holds, size its bytes so far and reserved those of them for which
	// it holds growth times as much.
	current        accountant.Reservation
	size, reserved int64

	// mu guards messages, those without a reply by sequence number.
	mu       sync.Mutex
	messages map[uint64]*message
	sequence uint64
}

// message is what the messages with a sequence number hold. A faulty sender may use one more than once.
type message struct {
	memory accountant.Reservation
	count  int
}

// grow reserves memory for n more bytes of the message being read.
func (c *accountedCodec) grow(n int64) bool {
	c.size += n
	if c.size <= accountant.SmallBytes {
		return true
	}
	c.reserved += n
	return c.current.Grow(accountant.Messages, growth*n)
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *accountedCodec) ReadRequestHeader(r *rpc.Request) error {
	c.size, c.reserved = 0, 0
	err := c.ServerCodec.ReadRequestHeader(r)
	c.sequence = r.Seq
	if err != nil {
		c.current.Release()
	}
	return err
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *accountedCodec) ReadRequestBody(body any) error {
	err := c.ServerCodec.ReadRequestBody(body)
	c.current.Shrink(accountant.Messages, (growth-1)*c.reserved)
	if err == nil {
		// The connection goes on after this error, which the sender gets as a reply.
		if _, ok := c.current.GrowFrom(accountant.SmallMessages, accountant.Messages, messageBytes); !ok {
			err = accountant.ErrFull
		}
	}
	if err == nil {
		c.current.Take(accountant.Messages, fieldBytes*int64(fieldsOf(body)))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn.AddBusy(1)
	m := c.messages[c.sequence]
	if m == nil {
		m = &message{memory: c.account.Open(c.conn)}
		c.messages[c.sequence] = m
	}
	m.count++
	m.memory.Absorb(&c.current)
	return err
}

// WriteResponse implements rpc.ServerCodec. net/rpc calls it once for each header that was read.
func (c *accountedCodec) WriteResponse(r *rpc.Response, body any) error {
	err := c.ServerCodec.WriteResponse(r, body)
	if answer := answerOf(body); len(answer) > accountant.SmallBytes {
		size := int64(cap(answer))
		c.account.Take(accountant.Answers, size)
		// The fencer keeps the answer for a sender that sends the attempt again.
		time.AfterFunc(fencer.AnswerRetention, func() { c.account.Release(accountant.Answers, size) })
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.messages[r.Seq]
	if m == nil {
		return err
	}
	c.conn.AddBusy(-1)
	if m.count--; m.count == 0 {
		delete(c.messages, r.Seq)
		m.memory.Release()
	}
	return err
}

// fieldsOf returns the number of header fields of the call in a message.
func fieldsOf(body any) int {
	switch args := body.(type) {
	case *RunArgs:
		return len(args.Job.Call.Fields)
	case *AttemptArgs:
		return len(args.Job.Call.Fields)
	case *OfferArgs:
		return len(args.Attempt.Job.Call.Fields)
	}
	return 0
}

// answerOf returns the body of the answer in a reply; nil if there is none.
func answerOf(body any) []byte {
	switch reply := body.(type) {
	case *RunReply:
		return reply.Result.Answer.Body
	case *AttemptReply:
		return reply.Run.Result.Answer.Body
	case *OfferReply:
		return reply.Attempt.Run.Result.Answer.Body
	}
	return nil
}
