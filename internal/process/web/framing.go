package web

import (
	"bytes"
	"strconv"
)

// maxKeptLine bounds the part of a header line that is kept to recognize the fields
// that give the length of a body.
const maxKeptLine = 256

var (
	carriageReturn   = []byte("\r")
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
)

type framingState int

const (
	inHeader framingState = iota
	inBody
	inChunkSize
	inChunk
	inTrailer
	// unframed is a connection whose bytes are no request; the server ends it.
	unframed
)

// framing finds where requests begin and end in the bytes of a connection.
type framing struct {
	state   framingState
	line    []byte
	started bool
	chunked bool
	length  int64
	// begun and whole are the numbers of requests of which the first and the last byte
	// have been read.
	begun int64
	whole int64
	// kept counts the bytes of heads and bodies, without the lengths of chunks. headBytes
	// are those of the present head, emptyBytes those of empty lines before it.
	kept       int64
	headBytes  int
	emptyBytes int
}

// read advances by the next bytes of the connection.
func (f *framing) read(p []byte) {
	for len(p) > 0 && f.state != unframed {
		switch f.state {
		case inBody, inChunk:
			n := min(f.length, int64(len(p)))
			p = p[n:]
			f.length -= n
			f.kept += n
			if f.length == 0 {
				f.dataEnded()
			}
		default:
			p = f.readLine(p)
		}
	}
}

func (f *framing) dataEnded() {
	if f.state == inChunk {
		f.state = inChunkSize
		return
	}
	f.requestEnded()
}

func (f *framing) requestEnded() {
	f.whole++
	f.started = false
	f.state = inHeader
}

// readLine takes bytes up to the end of a line and returns the rest.
func (f *framing) readLine(p []byte) []byte {
	if f.state == inHeader && !f.started {
		// A server ignores empty lines before a request.
		if p[0] == '\r' || p[0] == '\n' {
			f.emptyBytes++
			return p[1:]
		}
		f.started = true
		f.headBytes = 0
		f.emptyBytes = 0
		f.chunked = false
		f.length = 0
		f.begun++
	}
	n := bytes.IndexByte(p, '\n')
	part := p
	if n >= 0 {
		part = p[:n]
	}
	if f.state == inHeader {
		taken := min(len(part)+1, len(p))
		f.headBytes += taken
		f.kept += int64(taken)
	}
	if n >= 0 && len(f.line) == 0 {
		f.lineEnded(bytes.TrimSuffix(part, carriageReturn))
		return p[n+1:]
	}
	f.line = append(f.line, part[:min(len(part), maxKeptLine-len(f.line))]...)
	if n < 0 {
		return nil
	}
	f.lineEnded(bytes.TrimSuffix(f.line, carriageReturn))
	f.line = f.line[:0]
	return p[n+1:]
}

func (f *framing) lineEnded(line []byte) {
	switch {
	case f.state == inChunkSize:
		f.chunkSize(line)
	case f.state == inTrailer:
		if len(line) == 0 {
			f.requestEnded()
		}
	case len(line) > 0:
		f.field(line)
	case f.chunked:
		f.state = inChunkSize
	case f.length > 0:
		f.state = inBody
	default:
		f.requestEnded()
	}
}

func (f *framing) chunkSize(line []byte) {
	if len(line) == 0 {
		return
	}
	digits, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseInt(string(bytes.TrimSpace(digits)), 16, 64)
	switch {
	case err != nil || n < 0:
		f.state = unframed
	case n == 0:
		f.state = inTrailer
	default:
		f.length = n
		f.state = inChunk
	}
}

func (f *framing) field(line []byte) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		return
	}
	value = bytes.TrimSpace(value)
	switch {
	case bytes.EqualFold(name, contentLength):
		n, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil || n < 0 {
			f.state = unframed
			return
		}
		f.length = n
	case bytes.EqualFold(name, transferEncoding):
		f.chunked = bytes.EqualFold(value, []byte("chunked"))
	}
}
