// Package quota accounts for the capacity that teams use and for retries.
//
// A team has a right to its share of the capacity that the owner observes. While
// a team is idle its share is lent to the others; nothing is refused for quota
// as long as there is room. When work has to be refused, a team above its share
// is refused first, so that a returning team gets its share back at once.
package quota

import (
	"math"
	"time"
)

// usageTime is the time constant with which used capacity is forgotten. It is
// some times the longest usual task, and short against a demand swing of a day.
const usageTimeConstant = 5 * time.Second

// account is the decayed use of one team, in seconds of run time.
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

// Usage is what each team used lately.
type Usage struct {
	teams map[string]*account
	total account
}

// NewUsage returns an empty account book.
func NewUsage() *Usage {
	return &Usage{
		teams: map[string]*account{},
	}
}

// Charge notes that a team was given capacity.
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

// OverShare tells whether a team used more than its share of what all used lately.
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
	// retryShare is the number of retries for each first start.
	retryRatio = 0.1
	// retryBurst bounds what is saved, so that a long quiet time does not pay for a
	// storm of retries.
	maxRetryTokens = 20.0
)

// RetryBudget is the budget from which retries are paid.
type RetryBudget struct {
	tokens float64
}

// NewRetryBudget returns a budget for one retry, so that a single failure after a
// start of the process can be retried.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{
		tokens: 1,
	}
}

// Deposit notes a first start.
func (r *RetryBudget) Deposit() {
	r.tokens = min(r.tokens+retryRatio, maxRetryTokens)
}

// TryWithdraw pays for one retry; it is false if the budget is used up.
func (r *RetryBudget) TryWithdraw() bool {
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
