package ggsengine

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	ggscore "greengageslip/core"
)

// A passer numbers an answer's pieces and hands them to the sink.
type passer struct {
	sink ggscore.ChunkSink
	// first holds what stands on the first piece only.
	first ggscore.Chunk
	// model says to look for the adapter's name in the first piece.
	model bool
	seq   int
}

// give hands a piece to the sink.
func (p *passer) give(data []byte, final bool) error {
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

// name takes the adapter from the first piece where no header names it.
func (p *passer) name(text []byte) {
	if p.model && p.seq == 0 && p.first.Served.IsZero() {
		p.first.Served = servedOf(text)
	}
}

// passBody passes a body on. One piece is held back, as only the body's proper
// end shows which is the last.
func (p *passer) passBody(r io.Reader) error {
	held, ended, err := readPiece(r)
	if err != nil {
		return &CutError{Cause: err}
	}
	p.name(held)
	for !ended {
		var next []byte
		next, ended, err = readPiece(r)
		if err != nil {
			return &CutError{Pieces: p.seq, Cause: err}
		}
		if len(next) == 0 {
			break
		}
		if err := p.give(held, false); err != nil {
			return err
		}
		held = next
	}
	return p.give(held, true)
}

// passStream passes a stream of events on, until its end marker.
func (p *passer) passStream(r io.Reader) error {
	b := bufio.NewReader(r)
	for {
		raw, err := readEvent(b)
		if err != nil {
			return &CutError{Pieces: p.seq, Cause: err}
		}
		data := eventData(raw)
		p.name(data)
		done := bytes.Equal(data, []byte(endMarker))
		if err := p.give(raw, done); err != nil {
			return err
		}
		if done {
			return nil
		}
	}
}

func eventData(raw []byte) []byte {
	var data []byte
	for line := range bytes.Lines(raw) {
		rest, found := bytes.CutPrefix(line, []byte("data:"))
		if found {
			data = append(data, bytes.TrimSpace(rest)...)
		}
	}
	return data
}

// readEvent reads one event with the blank line that ends it. An end of the
// stream before that line is an error, also between events: only the end
// marker ends a stream.
func readEvent(b *bufio.Reader) ([]byte, error) {
	var raw []byte
	for {
		line, err := b.ReadSlice('\n')
		raw = append(raw, line...)
		if len(raw) > eventBytes {
			return nil, &LongEventError{LimitBytes: eventBytes}
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(bytes.TrimSpace(raw)) > 0 {
			return raw, nil
		}
	}
}

// readPiece reads until a piece is full or the body has ended. A body that is
// cut gives an error, never its end.
func readPiece(r io.Reader) (piece []byte, ended bool, err error) {
	piece = make([]byte, 0, pieceBytes)
	for len(piece) < cap(piece) {
		n, err := r.Read(piece[len(piece):cap(piece)])
		piece = piece[:len(piece)+n]
		if errors.Is(err, io.EOF) {
			return piece, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return piece, false, nil
}

// A heardReader calls heard whenever bytes came.
type heardReader struct {
	r     io.Reader
	heard func()
}

// Read implements io.Reader.
func (h *heardReader) Read(p []byte) (int, error) {
	n, err := h.r.Read(p)
	if n > 0 {
		h.heard()
	}
	return n, err
}

const (
	// pieceBytes is the size of the pieces of answers that aren't streams.
	pieceBytes = 32 << 10
	// eventBytes bounds an event of a stream.
	eventBytes = 1 << 20
	// endMarker is the data of the event that ends a whole stream.
	endMarker = "[DONE]"
)
