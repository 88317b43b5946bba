package web

import (
	"bytes"
	"strconv"
)

const (
	// MaxHeadFields bounds the fields of a head. Ordinary clients send up to some 30.
	MaxHeadFields = 128
	// fieldBytes is the charge for a field besides its bytes: a decoded one takes far more than
	// was read of it, and the budget has a multiple of the charge.
	fieldBytes = 32
)

// maxKeptLine bounds the part of a header line that is kept to recognize the fields
// that give the length of a body.
const maxKeptLine = 256

var (
	carriageReturn   = []byte("\r")
	http11           = []byte(" HTTP/1.1")
	chunkedEncoding  = []byte("chunked")
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
)

type framingState int

const (
	inHeader framingState = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	// unframed is a connection whose bytes are no request, or one whose end is not certain
	// to be where net/http finds it; the server ends the connection.
	unframed
)

// framing finds where requests begin and end in the bytes of a connection. It accepts no
// folded fields, no bare line feeds in chunked bodies and no chunks before HTTP/1.1, of
// which readers differ in their opinion.
type framing struct {
	state   framingState
	line    []byte
	started bool
	// first is set in the request line, version11 once it ends in HTTP/1.1.
	first     bool
	version11 bool
	chunked   bool
	length    int64
	// begun and whole are the numbers of requests of which the first and the last byte
	// have been read.
	begun int64
	whole int64
	// kept counts the bytes of heads and bodies, without the lengths of chunks, and the charge
	// for fields. headBytes are the bytes of the present head, headFields its fields, and
	// emptyBytes the bytes of empty lines before it.
	kept       int64
	headBytes  int
	headFields int
	emptyBytes int
	// rest is the number of bytes of the last call of read behind the last whole request.
	rest int
}

// read advances by the next bytes of the connection.
func (f *framing) read(p []byte) {
	f.rest = len(p)
	for len(p) > 0 && f.state != unframed {
		whole := f.whole
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
		if f.whole > whole {
			f.rest = len(p)
		}
	}
}

func (f *framing) dataEnded() {
	if f.state == inChunk {
		f.state = inChunkEnd
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
		f.first = true
		f.headBytes = 0
		f.headFields = 0
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
		f.lineEnded(part)
		return p[n+1:]
	}
	f.keep(part)
	if n < 0 {
		return nil
	}
	f.lineEnded(f.line)
	f.line = f.line[:0]
	return p[n+1:]
}

// keep adds a part of a line up to a limit: the beginning of a line with a field or a
// length, the end of the request line with the version.
func (f *framing) keep(part []byte) {
	if !f.first {
		f.line = append(f.line, part[:min(len(part), maxKeptLine-len(f.line))]...)
		return
	}
	f.line = append(f.line, part[max(0, len(part)-maxKeptLine):]...)
	if over := len(f.line) - maxKeptLine; over > 0 {
		f.line = append(f.line[:0], f.line[over:]...)
	}
}

// lineEnded takes a line without its line feed.
func (f *framing) lineEnded(raw []byte) {
	line := bytes.TrimSuffix(raw, carriageReturn)
	if f.state != inHeader {
		f.chunkLine(line, len(line) < len(raw))
		return
	}
	switch {
	case f.first:
		f.first = false
		f.version11 = bytes.HasSuffix(line, http11)
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

// chunkLine takes a line of a chunked body. A line that was kept in part has no end that
// is known, and no meaning beyond its beginning.
func (f *framing) chunkLine(line []byte, terminated bool) {
	switch {
	case !terminated && len(line) < maxKeptLine:
		f.state = unframed
	case f.state == inChunkSize:
		f.chunkSize(line)
	case f.state == inChunkEnd && len(line) > 0:
		f.state = unframed
	case f.state == inChunkEnd:
		f.state = inChunkSize
	case len(line) == 0:
		f.requestEnded()
	}
}

func (f *framing) chunkSize(line []byte) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 63)
	switch {
	case err != nil:
		f.state = unframed
	case n == 0:
		f.state = inTrailer
	default:
		f.length = int64(n)
		f.state = inChunk
	}
}

func (f *framing) field(line []byte) {
	f.headFields++
	f.kept += fieldBytes
	if f.headFields > MaxHeadFields {
		f.state = unframed
		return
	}
	if line[0] == ' ' || line[0] == '\t' {
		f.state = unframed
		return
	}
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
		f.chunked = true
		if !f.version11 || !bytes.EqualFold(value, chunkedEncoding) {
			f.state = unframed
		}
	}
}
