// Package quota accounts for the capacity that teams use and limits retries.
//
// Each team is entitled to its share of the capacity that the owner observes.
// While a team is idle, the other teams may use its share; no work is refused for
// quota while capacity is free. When work has to be refused, teams above their
// share are refused first, so that a returning team gets its share at once.
package quota

import (
	"math"
	"time"
)

// usageTimeConstant is the time constant of the exponential decay of used
// capacity. It is several times the longest usual task, and short compared with
// the daily swing of demand.
const usageTimeConstant = 5 * time.Second

// account is the decayed usage of one team, in seconds of run time.
type account struct {
	used      float64
	updatedAt time.Time
}

func (a *account) decay(now time.Time) {
	if a.used > 0 {
		a.used *= math.Exp(-now.Sub(a.updatedAt).Seconds() / usageTimeConstant.Seconds())
	}
	a.updatedAt = now
}

// Usage is the exponentially decayed capacity that each team has used.
type Usage struct {
	teams map[string]*account
	total account
}

// NewUsage returns a Usage without charges.
func NewUsage() *Usage {
	return &Usage{
		teams: map[string]*account{},
	}
}

// Charge adds the run time of a task to the usage of a team.
func (u *Usage) Charge(now time.Time, team string, cost time.Duration) {
	a, ok := u.teams[team]
	if !ok {
		a = &account{}
		u.teams[team] = a
	}
	a.decay(now)
	u.total.decay(now)
	a.used += cost.Seconds()
	u.total.used += cost.Seconds()
}

// OverShare reports whether a team's decayed usage exceeds its share of the total.
func (u *Usage) OverShare(now time.Time, team string, share float64) bool {
	a, ok := u.teams[team]
	if !ok {
		return false
	}
	a.decay(now)
	u.total.decay(now)
	return a.used > share*u.total.used
}

// The parameters of the retry budget.
const (
	// retryRatio is the number of retries permitted for each first start.
	retryRatio = 0.1
	// maxRetryTokens bounds the balance, so that a long period without failures
	// does not permit a burst of retries.
	maxRetryTokens = 20.0
)

// RetryBudget limits retries to a ratio of the first starts.
type RetryBudget struct {
	tokens float64
}

// NewRetryBudget returns a budget with one token, so that a single failure right
// after the start of the process can be retried.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{
		tokens: 1,
	}
}

// Deposit adds the tokens of one first start.
func (r *RetryBudget) Deposit() {
	r.tokens = min(r.tokens+retryRatio, maxRetryTokens)
}

// TryWithdraw takes the token of one retry. It returns false if the budget is
// exhausted.
func (r *RetryBudget) TryWithdraw() bool {
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
