// Package configuration holds one version of the operators' configuration for the
// processes of the commands agent and entry: the limits, the teams, the request
// kinds and the worker sizes. The processes of the command platform have another
// configuration, which package route holds.
//
// A version is built once, checked as a whole and immutable afterwards. A process
// that reads a newer version replaces the value. Code that decides on a request
// receives the value and may keep it, so that one version applies to the request
// from start to end.
package configuration

import (
	"sort"

	"github.com/pkg/errors"
)

// Team is a client account with its share of the capacity.
type Team struct {
	name        string
	share       float64
	homeRegion  int
	tokenHashes []TokenHash
}

// NewTeam returns a team. Share is its fraction of the capacity, from 0 to 1.
func NewTeam(name string, share float64, homeRegion int) (Team, error) {
	if name == "" {
		return Team{}, errors.New("team needs a name")
	}
	if !(share >= 0 && share <= 1) {
		return Team{}, errors.Errorf("team %s: share is %g, allowed are 0 to 1", name, share)
	}
	if homeRegion < 0 {
		return Team{}, errors.Errorf("team %s: home region is %d", name, homeRegion)
	}
	return Team{
		name:       name,
		share:      share,
		homeRegion: homeRegion,
	}, nil
}

// WithTokens returns a copy of the team with the hashes of its access tokens.
func (t Team) WithTokens(hashes []TokenHash) Team {
	t.tokenHashes = append([]TokenHash(nil), hashes...)
	return t
}

func (t Team) Name() string {
	return t.name
}

// Share is the team's fraction of the capacity, from 0 to 1.
func (t Team) Share() float64 {
	return t.share
}

// HomeRegion is the index of the region whose owners store the team's
// submissions.
func (t Team) HomeRegion() int {
	return t.homeRegion
}

// TokenHashes returns the hashes of the tokens that give access to the team.
func (t Team) TokenHashes() []TokenHash {
	return t.tokenHashes
}

// TokenHash is the hash of an access token with the access that it grants. The
// token itself is never stored.
type TokenHash struct {
	access string
	sum    [32]byte
}

// NewTokenHash returns the hash of a token with its access: caller, operator or
// reader.
func NewTokenHash(access string, sum [32]byte) (TokenHash, error) {
	switch access {
	case "caller", "operator", "reader":
	default:
		return TokenHash{}, errors.Errorf("access is %q, allowed are caller, operator and reader", access)
	}
	return TokenHash{
		access: access,
		sum:    sum,
	}, nil
}

// Access is caller, operator or reader.
func (h TokenHash) Access() string {
	return h.access
}

// Sum is the SHA-256 of the token.
func (h TokenHash) Sum() [32]byte {
	return h.sum
}

// Configuration is one version of the operators' configuration.
type Configuration struct {
	version uint64
	limits  Limits
	teams   map[string]Team
	kinds   map[kindKey]Kind
	workers []WorkerClass
	tokens  []TokenHash
	drained []string
}

type kindKey struct {
	team string
	name string
}

// New returns a configuration. It fails if a team or a kind is listed twice or a
// kind belongs to a team that is not listed. Check reports all other
// contradictions.
func New(version uint64, limits Limits, teams []Team, kinds []Kind) (*Configuration, error) {
	c := &Configuration{
		version: version,
		limits:  limits,
		teams:   make(map[string]Team, len(teams)),
		kinds:   make(map[kindKey]Kind, len(kinds)),
	}
	for _, t := range teams {
		if _, ok := c.teams[t.name]; ok {
			return nil, errors.Errorf("team %s is listed twice", t.name)
		}
		c.teams[t.name] = t
	}
	for _, k := range kinds {
		key := kindKey{
			team: k.team,
			name: k.name,
		}
		if _, ok := c.teams[k.team]; !ok {
			return nil, errors.Errorf("kind %s: team %s is not listed", k.name, k.team)
		}
		if _, ok := c.kinds[key]; ok {
			return nil, errors.Errorf("kind %s of team %s is listed twice", k.name, k.team)
		}
		c.kinds[key] = k
	}
	return c, nil
}

// Version is the number of the version. Numbers of applied versions increase.
func (c *Configuration) Version() uint64 {
	return c.version
}

// WithVersion returns a copy with another version number, for a rollback.
func (c *Configuration) WithVersion(version uint64) *Configuration {
	n := *c
	n.version = version
	return &n
}

// WithWorkers returns a copy with the worker sizes of the platform. A kind that
// runs on workers must fit one of them.
func (c *Configuration) WithWorkers(workers []WorkerClass) *Configuration {
	n := *c
	n.workers = append([]WorkerClass(nil), workers...)
	sort.SliceStable(n.workers, func(i, j int) bool { return n.workers[i].name < n.workers[j].name })
	return &n
}

// WithTokens returns a copy with the hashes of the tokens that give access to the
// whole installation.
func (c *Configuration) WithTokens(hashes []TokenHash) *Configuration {
	n := *c
	n.tokens = append([]TokenHash(nil), hashes...)
	return &n
}

// Workers returns the worker sizes, sorted by name.
func (c *Configuration) Workers() []WorkerClass {
	return c.workers
}

// TokenHashes returns the hashes of the tokens that give access to the whole
// installation.
func (c *Configuration) TokenHashes() []TokenHash {
	return c.tokens
}

// WithDrained returns a copy in which the named targets get no new work.
func (c *Configuration) WithDrained(targets []string) *Configuration {
	n := *c
	n.drained = append([]string(nil), targets...)
	sort.Strings(n.drained)
	return &n
}

// Drained returns the names of the targets that get no new work, sorted.
func (c *Configuration) Drained() []string {
	return c.drained
}

// IsDrained reports whether a target gets no new work.
func (c *Configuration) IsDrained(target string) bool {
	i := sort.SearchStrings(c.drained, target)
	return i < len(c.drained) && c.drained[i] == target
}

// Limits returns the bounds of one job and the admission parameters.
func (c *Configuration) Limits() Limits {
	return c.limits
}

// Team returns the team with a name.
func (c *Configuration) Team(name string) (Team, bool) {
	t, ok := c.teams[name]
	return t, ok
}

// Kind returns the request kind of a team with a name.
func (c *Configuration) Kind(team, name string) (Kind, bool) {
	k, ok := c.kinds[kindKey{
		team: team,
		name: name,
	}]
	return k, ok
}

// Teams returns the teams, sorted by name.
func (c *Configuration) Teams() []Team {
	teams := make([]Team, 0, len(c.teams))
	for _, t := range c.teams {
		teams = append(teams, t)
	}
	sort.Slice(teams, func(i, j int) bool { return teams[i].name < teams[j].name })
	return teams
}

// Kinds returns the kinds, sorted by team and name.
func (c *Configuration) Kinds() []Kind {
	kinds := make([]Kind, 0, len(c.kinds))
	for _, k := range c.kinds {
		kinds = append(kinds, k)
	}
	sort.Slice(kinds, func(i, j int) bool {
		if kinds[i].team != kinds[j].team {
			return kinds[i].team < kinds[j].team
		}
		return kinds[i].name < kinds[j].name
	})
	return kinds
}
