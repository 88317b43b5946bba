package message

// Cause is the reason for which an agent rejects a start.
type Cause uint8

// The causes. Whatever the cause, the back end was not called.
const (
	Busy           Cause = iota // No slot is free. A freed one is offered to owners that sent an Interest.
	StaleEpoch                  // A newer owner has fenced the shard.
	AlreadyStarted              // The agent has a start record of the task that rules out another start.
	StaleCredit                 // The start was sent too long ago, by the credit that it carries.
	NoLease                     // The agent has no valid membership lease.
	NoBackEnd                   // No back end of this agent offers the service.
	NeverFits                   // The task needs more resources than the worker has.
	Draining                    // The agent, or every target of the service, is draining.
	LedgerFull                  // The agent's start ledger is full.
	PastDeadline                // The task's deadline has passed.
	Withdrawn                   // The submission was revoked.
)

var causeNames = [...]string{
	Busy:           "busy",
	StaleEpoch:     "stale_epoch",
	AlreadyStarted: "already_started",
	StaleCredit:    "stale_credit",
	NoLease:        "no_lease",
	NoBackEnd:      "no_back_end",
	NeverFits:      "never_fits",
	Draining:       "draining",
	LedgerFull:     "ledger_full",
	PastDeadline:   "past_deadline",
	Withdrawn:      "withdrawn",
}

// String returns the cause as it appears in logs and dumps.
func (c Cause) String() string {
	if int(c) >= len(causeNames) {
		return "invalid"
	}
	return causeNames[c]
}
