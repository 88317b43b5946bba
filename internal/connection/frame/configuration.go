package frame

import "hash/crc32"

// Config is a version of the operators' configuration in packed form, in which it is
// kept and passed on to other processes.
type Config struct {
	number   int64
	body     []byte
	checksum uint32
}

// NewConfig returns a version with its packed form.
func NewConfig(number int64, body []byte) Config {
	return Config{
		number:   number,
		body:     body,
		checksum: crc32.ChecksumIEEE(body),
	}
}

// Number returns the number of the version, 0 for none.
func (c Config) Number() int64 {
	return c.number
}

// Body returns the packed form.
func (c Config) Body() []byte {
	return c.body
}

// Checksum returns the CRC-32 of the packed form.
func (c Config) Checksum() uint32 {
	return c.checksum
}

// Piece returns the piece of at most n bytes at an offset.
func (c Config) Piece(offset, n int) ConfigPiece {
	offset = max(0, min(offset, len(c.body)))
	return ConfigPiece{
		number:   c.number,
		checksum: c.checksum,
		total:    len(c.body),
		offset:   offset,
		data:     c.body[offset:min(offset+n, len(c.body))],
	}
}

// ConfigRequest asks for the piece of a configuration at an offset.
type ConfigRequest struct {
	checksum uint32
	offset   int
}

// NewConfigRequest returns a request for the piece at an offset of the packed form with
// a checksum. A process that has another one sends the first piece of its own.
func NewConfigRequest(checksum uint32, offset int) ConfigRequest {
	return ConfigRequest{
		checksum: checksum,
		offset:   offset,
	}
}

// Checksum returns the CRC-32 of the packed form that the requester has a part of.
func (r ConfigRequest) Checksum() uint32 {
	return r.checksum
}

// Offset returns the bytes that the requester has.
func (r ConfigRequest) Offset() int {
	return r.offset
}

// ConfigPiece is a part of the packed form of a configuration.
type ConfigPiece struct {
	number   int64
	checksum uint32
	total    int
	offset   int
	data     []byte
}

// Number returns the number of the version.
func (p ConfigPiece) Number() int64 {
	return p.number
}

// Checksum returns the CRC-32 of the whole packed form.
func (p ConfigPiece) Checksum() uint32 {
	return p.checksum
}

// Total returns the bytes of the whole packed form.
func (p ConfigPiece) Total() int {
	return p.total
}

// Offset returns where the piece begins, in bytes.
func (p ConfigPiece) Offset() int {
	return p.offset
}

// Data returns the content of the piece.
func (p ConfigPiece) Data() []byte {
	return p.data
}

func (r ConfigRequest) encode(e *encoder) {
	e.varint(1, uint64(r.checksum))
	e.varint(2, uint64(r.offset))
}

func (p ConfigPiece) encode(e *encoder) {
	e.signed(1, p.number)
	e.varint(2, uint64(p.checksum))
	e.varint(3, uint64(p.total))
	e.varint(4, uint64(p.offset))
	e.bytes(5, p.data)
}

func (r *ConfigRequest) setField(x field) error {
	switch x.number {
	case 1:
		r.checksum = uint32(x.value)
	case 2:
		r.offset = x.count()
	}
	return nil
}

func (p *ConfigPiece) setField(x field) error {
	switch x.number {
	case 1:
		p.number = x.signed()
	case 2:
		p.checksum = uint32(x.value)
	case 3:
		p.total = x.count()
	case 4:
		p.offset = x.count()
	case 5:
		p.data = append([]byte(nil), x.bytes...)
	}
	return nil
}
