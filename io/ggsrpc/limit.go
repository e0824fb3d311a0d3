package ggsrpc

import "net"

const (
	// maxMessageBytes bounds a message. The longest ones are parts of a deployment's entries.
	maxMessageBytes = 32 << 20
	// gobMultiByte is the least first byte of a message's length that is encoded in several bytes, and maxLengthBytes their
	// greatest number.
	gobMultiByte   = 0x80
	maxLengthBytes = 8
)

// A limitedConn fails with a *MessageTooLongError before it passes on a message of encoding/gob that is too long. The decoder would
// read it to its end before it looked at it, and another process may have a VM's address.
type limitedConn struct {
	net.Conn
	// remaining is the number of bytes of the current message that weren't read yet. lengthBytes is the number of bytes of its length
	// that are still to be read into length.
	remaining   uint64
	lengthBytes int
	length      uint64
	// announce, if it is set, is called with the length of each message before that is passed on, because the decoder takes memory for
	// a message as soon as it knows its length. define is called with the length of a message that defines a type, once that is known.
	announce, define func(length uint64) error
	// idBytes is the number of bytes of the message's type that are still to be read, and startsID is set if it begins with the next.
	idBytes  int
	startsID bool
	// err is the error with which a message was refused. What follows it can't be told apart.
	err error
}

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(p)
	if c.err = c.scan(p[:n]); c.err != nil {
		return 0, c.err
	}
	return n, err
}

// scan follows the lengths of messages.
func (c *limitedConn) scan(b []byte) error {
	for len(b) > 0 {
		if c.remaining > 0 {
			if err := c.scanID(b); err != nil {
				return err
			}
			k := min(c.remaining, uint64(len(b)))
			c.remaining -= k
			b = b[k:]
			continue
		}
		if err := c.scanLength(b[0]); err != nil {
			return err
		}
		b = b[1:]
	}
	return nil
}

// scanLength reads a byte of a message's length: a small number itself, or the negated number of the bytes that follow, of which the
// first one is the most significant.
func (c *limitedConn) scanLength(b byte) error {
	switch {
	case c.lengthBytes > 0:
		c.length = c.length<<8 | uint64(b)
		c.lengthBytes--
	case b < gobMultiByte:
		c.length = uint64(b)
	default:
		c.length, c.lengthBytes = 0, followingBytes(b)
		if c.lengthBytes > maxLengthBytes {
			return &MessageTooLongError{Limit: maxMessageBytes}
		}
	}
	if c.lengthBytes > 0 {
		return nil
	}
	if c.length > maxMessageBytes {
		return &MessageTooLongError{Limit: maxMessageBytes}
	}
	c.remaining = c.length
	if c.announce == nil {
		return nil
	}
	c.startsID = true
	return c.announce(c.length)
}

// followingBytes returns the number of bytes that follow the first byte of a number in several bytes, which is that number negated.
func followingBytes(first byte) int { return -int(int8(first)) } //nolint:gosec // the encoding of encoding/gob

// scanID looks at the type of a message at its beginning. A type is a number whose lowest bit is its sign, and a negative one defines
// a type.
func (c *limitedConn) scanID(b []byte) error {
	if c.startsID {
		c.startsID = false
		c.idBytes = 1
		if b[0] >= gobMultiByte {
			c.idBytes += followingBytes(b[0])
		}
		if c.idBytes > 1+maxLengthBytes {
			// The decoder rejects the message.
			c.idBytes = 0
		}
	}
	if c.idBytes == 0 {
		return nil
	}
	if len(b) < c.idBytes {
		c.idBytes -= len(b)
		return nil
	}
	defines := b[c.idBytes-1]&1 == 1
	c.idBytes = 0
	if !defines {
		return nil
	}
	return c.define(c.length)
}
