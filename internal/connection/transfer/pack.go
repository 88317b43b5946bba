package transfer

import (
	"bytes"
	"compress/flate"
	"io"
	"runtime"

	"github.com/pkg/errors"
)

const (
	// packLevel takes 3 ms of a processor for 280 KB; higher levels take several times as
	// long for a tenth less.
	packLevel = flate.BestSpeed
	// packBlock is how much is packed before other goroutines of a process with one
	// processor run.
	packBlock = 16 << 10
	// maxUnpackedBytes bounds what a packed configuration may unpack to.
	maxUnpackedBytes = 32 << 20
)

// ErrUnreadable reports a packed configuration that can't be unpacked.
var ErrUnreadable = errors.New("packed configuration can't be read")

// Pack compresses a stored configuration.
func Pack(body []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, packLevel)
	if err != nil {
		return nil, errors.Wrap(err, "pack configuration")
	}
	for len(body) > 0 {
		n := min(packBlock, len(body))
		if _, err := w.Write(body[:n]); err != nil {
			return nil, errors.Wrap(err, "pack configuration")
		}
		body = body[n:]
		runtime.Gosched()
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack configuration")
	}
	return out.Bytes(), nil
}

// Unpack returns the stored configuration that Pack packed. The error wraps
// ErrUnreadable.
func Unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	body, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, errors.Wrap(ErrUnreadable, err.Error())
	}
	if len(body) > maxUnpackedBytes {
		return nil, errors.Wrapf(ErrUnreadable, "more than %d bytes", maxUnpackedBytes)
	}
	return body, nil
}
