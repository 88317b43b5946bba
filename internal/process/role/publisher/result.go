package publisher

import "greengagedoor.example/greengagedoor/internal/version/configuration"

// State is how a change ended.
type State uint8

// The states of a change that ended.
const (
	Indeterminate State = iota // The change may have taken effect.
	Applied                    // The version became active.
	Stale                      // The head is not the base; nothing was changed.
	Invalid                    // The content contradicts itself; nothing was changed.
	Conflict                   // The key was used for a different content.
	NoVersion                  // There is no such version to roll back to.
	Failed                     // The store is unavailable or another change runs; nothing was changed.
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

// String returns the state's name in the audit log.
func (s State) String() string {
	if s >= stateCount {
		return "invalid_state"
	}
	return stateNames[s]
}

// ParseState returns the state with the given name; ok is false if there is none.
func ParseState(name string) (State, bool) {
	for s, n := range stateNames {
		if n == name {
			return State(s), true
		}
	}
	return 0, false
}

// Result is the answer to an operator.
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

// State returns how the change ended.
func (r Result) State() State {
	return r.state
}

// Version returns the number of the new version; 0 if it was not applied.
func (r Result) Version() uint64 {
	return r.version
}

// Base returns the version that the change was based on.
func (r Result) Base() uint64 {
	return r.base
}

// Current returns the active version that the publisher saw last.
func (r Result) Current() uint64 {
	return r.current
}

// Repeated reports whether an earlier request with the key applied the change.
func (r Result) Repeated() bool {
	return r.repeated
}

// Audited reports whether the audit log has a record of the change.
func (r Result) Audited() bool {
	return r.audited
}

// Detail returns an explanation of the state.
func (r Result) Detail() string {
	return r.detail
}

// Changes returns the differences between the base and the active version if the
// base is stale, or between the base and the new version if it was applied.
func (r Result) Changes() []configuration.Change {
	return r.changes
}

// Problems returns the contradictions of an invalid content.
func (r Result) Problems() configuration.Problems {
	return r.problems
}
