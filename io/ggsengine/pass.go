package ggsengine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsevent"
)

// A forwarder numbers an answer's chunks and passes them to the sink.
type forwarder struct {
	sink ggscore.ChunkSink
	// first holds the fields that are set on the first chunk only.
	first ggscore.Chunk
	// model is set if the answer comes from a model engine, so that the first chunk
	// may name the adapter.
	model bool
	seq   int
}

// emit passes the next chunk to the sink.
func (p *forwarder) emit(data []byte, final bool) error {
	k := ggscore.Chunk{Seq: p.seq, Data: data, Final: final}
	if p.seq == 0 {
		k.Status = p.first.Status
		k.ContentType = p.first.ContentType
		k.Served = p.first.Served
	}
	p.seq++
	if err := p.sink(k); err != nil {
		return &SinkError{Cause: err}
	}
	return nil
}

// setServed sets the served adapter from the JSON text of the first chunk, if no header
// names it.
func (p *forwarder) setServed(text []byte) {
	if p.model && p.seq == 0 && p.first.Served.IsZero() {
		p.first.Served = servedOf(text)
	}
}

// forwardBody forwards a body. Each chunk is held until the next read, because only the
// end of the body shows which chunk is the last.
func (p *forwarder) forwardBody(r io.Reader) error {
	pending, ended, err := readChunk(r)
	if err != nil {
		return &TruncatedAnswerError{Cause: err}
	}
	p.setServed(pending)
	for !ended {
		var next []byte
		next, ended, err = readChunk(r)
		if err != nil {
			return &TruncatedAnswerError{Chunks: p.seq, Cause: err}
		}
		if len(next) == 0 {
			break
		}
		if err := p.emit(pending, false); err != nil {
			return err
		}
		pending = next
	}
	return p.emit(pending, true)
}

// forwardUnframed forwards a body that ends with its connection, if it is a JSON object or array:
// only their own end shows that the endpoint didn't break off.
func (p *forwarder) forwardUnframed(r io.Reader) error {
	b, err := io.ReadAll(io.LimitReader(r, maxUnframedBytes+1))
	if err != nil {
		return &TruncatedAnswerError{Cause: err}
	}
	text := bytes.TrimSpace(b)
	delimited := bytes.HasPrefix(text, []byte("{")) || bytes.HasPrefix(text, []byte("["))
	if len(b) > maxUnframedBytes || !delimited || !json.Valid(text) {
		return &UnframedError{}
	}
	p.setServed(b)
	return p.emit(b, true)
}

// forwardStream forwards a stream of events up to its end marker.
func (p *forwarder) forwardStream(r io.Reader) error {
	b := bufio.NewReader(r)
	for {
		raw, err := readEvent(b)
		if err != nil {
			return &TruncatedAnswerError{Chunks: p.seq, Cause: err}
		}
		data := eventData(raw)
		p.setServed(data)
		done := bytes.Equal(data, []byte(endMarker))
		if err := p.emit(raw, done); err != nil {
			return err
		}
		if done {
			return nil
		}
	}
}

// eventData returns the concatenated data lines of an event.
func eventData(raw []byte) []byte {
	var data []byte
	for _, line := range bytes.FieldsFunc(raw, isLineEnd) {
		rest, found := bytes.CutPrefix(line, []byte("data:"))
		if found {
			data = append(data, bytes.TrimSpace(rest)...)
		}
	}
	return data
}

func isLineEnd(r rune) bool { return r == '\r' || r == '\n' }

// readEvent reads one event, or a block of comments, including the blank line at its end. If the
// stream ends before that line, readEvent returns io.ErrUnexpectedEOF, also between two events: only
// the end marker ends a stream.
func readEvent(b *bufio.Reader) ([]byte, error) {
	var raw []byte
	var p ggsevent.Position
	for {
		if _, err := b.Peek(1); err != nil {
			if errors.Is(err, io.EOF) {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		text, err := b.Peek(b.Buffered())
		if err != nil {
			return nil, err
		}
		n, ended := p.Next(text)
		raw = append(raw, text[:n]...)
		if _, err := b.Discard(n); err != nil {
			return nil, err
		}
		if len(raw) > maxEventBytes {
			return nil, &EventTooLongError{LimitBytes: maxEventBytes}
		}
		if ended {
			return raw, nil
		}
	}
}

// readChunk reads until the chunk is full or the body has ended. A truncated body returns
// an error and never ended.
func readChunk(r io.Reader) (chunk []byte, ended bool, err error) {
	chunk = make([]byte, 0, chunkBytes)
	for len(chunk) < cap(chunk) {
		n, err := r.Read(chunk[len(chunk):cap(chunk)])
		chunk = chunk[:len(chunk)+n]
		if errors.Is(err, io.EOF) {
			return chunk, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return chunk, false, nil
}

// An activityReader calls onRead after each read that returned bytes.
type activityReader struct {
	r      io.Reader
	onRead func()
}

// Read implements io.Reader.
func (a *activityReader) Read(p []byte) (int, error) {
	n, err := a.r.Read(p)
	if n > 0 {
		a.onRead()
	}
	return n, err
}

const (
	// chunkBytes is the size of the chunks of answers that aren't streams.
	chunkBytes = 32 << 10
	// maxUnframedBytes bounds an answer that ends with its connection. It is kept in memory.
	maxUnframedBytes = 1 << 20
	// maxEventBytes bounds an event of a stream.
	maxEventBytes = 1 << 20
	// endMarker is the data of the event that ends a complete stream.
	endMarker = "[DONE]"
)
