package message

// Cause is why an agent refused a start.
type Cause uint8

// The causes. None of them leaves a trace at a back end.
const (
	Busy           Cause = iota // No slot was free; the owner's interest is noted.
	StaleEpoch                  // A newer owner sealed the shard.
	AlreadyStarted              // The agent has a record of the task.
	StaleCredit                 // The start was sent too long ago.
	NoLease                     // The agent has no valid membership lease.
	NoBackEnd                   // No back end here offers the service.
	NeverFits                   // The task is larger than every worker here.
	Draining                    // The agent or its back end is leaving.
	LedgerFull                  // The agent has no room for another start record.
	PastDeadline                // The task's deadline has passed.
	Withdrawn                   // The submission was revoked before.
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

// String is the cause's name in logs and dumps.
func (c Cause) String() string {
	if int(c) >= len(causeNames) {
		return "invalid"
	}
	return causeNames[c]
}
