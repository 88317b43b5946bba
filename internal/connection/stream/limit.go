package stream

import (
	"net"
	"sync/atomic"

	"greengagedoor.example/greengagedoor/internal/process/intake"
)

// limitedListener closes connections beyond a limit at once. Processes that are refused
// try again, so nothing waits.
type limitedListener struct {
	net.Listener
	account *intake.Account
	refused func()
}

// Limit returns a listener that keeps to the number of connections of an account. It
// calls refused for each connection that it closes.
func Limit(l net.Listener, a *intake.Account, refused func()) net.Listener {
	return limitedListener{
		Listener: l,
		account:  a,
		refused:  refused,
	}
}

// Accept returns the next connection within the limit.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if n := l.account.Limits().Connections(); n > 0 && l.account.Connections() >= int64(n) {
			l.refused()
			_ = nc.Close()
			continue
		}
		l.account.Opened()
		return &limitedConnection{
			Conn:    nc,
			account: l.account,
		}, nil
	}
}

// limitedConnection counts its end.
type limitedConnection struct {
	net.Conn
	account *intake.Account
	ended   atomic.Bool
}

// Close closes the connection.
func (c *limitedConnection) Close() error {
	if c.ended.CompareAndSwap(false, true) {
		c.account.Ended()
	}
	return c.Conn.Close()
}
