package publisher

import "greengagedoor.example/greengagedoor/internal/version/configuration"

// State is how a change ended.
type State uint8

// The ends of a change.
const (
	Indeterminate State = iota // The change may have taken effect.
	Applied                    // The version is in force.
	Stale                      // The head is not the base; nothing was changed.
	Invalid                    // The content contradicts itself; nothing was changed.
	Conflict                   // The key was used for another content.
	NoVersion                  // There is no such version to roll back to.
	Failed                     // The store is not available; nothing was changed.
	stateCount
)

var stateNames = [stateCount]string{
	Applied:       "applied",
	Stale:         "stale_base",
	Invalid:       "invalid",
	Conflict:      "key_conflict",
	NoVersion:     "no_such_version",
	Failed:        "store_unavailable",
	Indeterminate: "unknown",
}

// String is the state's name in the history.
func (s State) String() string {
	if s >= stateCount {
		return "invalid_state"
	}
	return stateNames[s]
}

// ParseState returns the state of a name.
func ParseState(name string) (State, bool) {
	for s, n := range stateNames {
		if n == name {
			return State(s), true
		}
	}
	return 0, false
}

// Result is what an operator is told.
type Result struct {
	state    State
	version  uint64
	base     uint64
	current  uint64
	repeated bool
	audited  bool
	detail   string
	changes  []configuration.Change
	problems configuration.Problems
}

// State is how the change ended.
func (r Result) State() State {
	return r.state
}

// Version is the version that the change became, 0 if it was not applied.
func (r Result) Version() uint64 {
	return r.version
}

// Base is the version that the change was meant to follow.
func (r Result) Base() uint64 {
	return r.base
}

// Current is the version in force as far as the publisher saw.
func (r Result) Current() uint64 {
	return r.current
}

// Repeated tells whether an earlier request with the key had applied the change.
func (r Result) Repeated() bool {
	return r.repeated
}

// Audited tells whether the audit has a record of the change.
func (r Result) Audited() bool {
	return r.audited
}

// Detail explains the state.
func (r Result) Detail() string {
	return r.detail
}

// Changes lists what changed from the base to the version in force, if the base
// is stale, and from the base to the new version, if it was applied.
func (r Result) Changes() []configuration.Change {
	return r.changes
}

// Problems lists the contradictions of an invalid content.
func (r Result) Problems() configuration.Problems {
	return r.problems
}
