// Package address reads the addresses of processes, which other writers may have
// left.
package address

import (
	"net/netip"
	"strconv"

	"github.com/pkg/errors"
)

// ErrInvalid reports a text that is no address of a process.
var ErrInvalid = errors.New("address is invalid")

// maxQuoted bounds what an error quotes of a text.
const maxQuoted = 40

// Parse returns an address in its one spelling, ip:port. The error wraps ErrInvalid.
func Parse(text string) (string, error) {
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Addr().Zone() != "" {
		return "", errors.Wrapf(ErrInvalid, "%s of %d bytes, want ip:port", strconv.Quote(text[:min(len(text), maxQuoted)]), len(text))
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()).String(), nil
}
