package configuration

import (
	"crypto/sha256"
	"crypto/subtle"
)

// Allows reports whether a token grants one of the accesses to a team, or to the
// whole installation if team is empty. It compares the token with every hash of
// that team or installation in constant time, so that the response time reveals
// nothing about the hashes.
func (c *Configuration) Allows(token, team string, accesses ...string) bool {
	if token == "" {
		return false
	}
	hashes := c.tokens
	if team != "" {
		hashes = c.teams[team].tokenHashes
	}
	sum := sha256.Sum256([]byte(token))
	allowed := 0
	for _, h := range hashes {
		same := subtle.ConstantTimeCompare(h.sum[:], sum[:])
		for _, a := range accesses {
			if h.access == a {
				allowed |= same
			}
		}
	}
	return allowed == 1
}
