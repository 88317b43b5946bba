package server

import (
	"fmt"

	"greengagedoor.example/greengagedoor/internal/process/dump"
	"greengagedoor.example/greengagedoor/internal/process/intake"
)

// namedAccount is what a listener holds, with the listener's name.
type namedAccount struct {
	name    string
	account *intake.Account
}

// account returns the account of a new listener.
func (b *base) account(name string, l intake.Limits) *intake.Account {
	a := intake.NewAccount(l)
	b.accounts = append(b.accounts, namedAccount{
		name:    name,
		account: a,
	})
	return a
}

// intakeSection returns the part of the dump on what listeners hold.
func (b *base) intakeSection() (dump.Section, error) {
	return dump.NewSection("intake", "The open connections of each listener and the bytes that it holds of requests, with their limits; 0 for none.", func() []string {
		var lines []string
		for _, x := range b.accounts {
			l := x.account.Limits()
			lines = append(lines, fmt.Sprintf("%s connections=%d max_connections=%d held_bytes=%d max_held_bytes=%d", x.name,
				x.account.Connections(), l.Connections(), x.account.Held(), l.Bytes()))
		}
		return lines
	})
}
