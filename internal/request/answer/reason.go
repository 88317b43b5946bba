package answer

// Reason is the reason for which a job failed or was refused.
type Reason uint8

// The reasons. The table below has their names, HTTP status and meaning.
const (
	NoReason Reason = iota
	TaskFailed
	OutcomeUnknown
	DeadlinePassed
	Cancelled
	Overloaded
	QuotaExceeded
	KeyExpired
	KeyInFuture
	KeyConflict
	UnknownKey
	UnknownTeam
	UnknownKind
	InvalidRequest
	FitsNowhere
	Unavailable
	ShuttingDown
	NotAllowed
	ResultsTooLarge
)

// Entry is one row of the table of reasons.
type Entry struct {
	reason  Reason
	name    string
	status  int
	meaning string
}

func (e Entry) Reason() Reason {
	return e.reason
}

// Name returns the name of the reason in answers to callers.
func (e Entry) Name() string {
	return e.name
}

// Status returns the HTTP status of a response with this reason.
func (e Entry) Status() int {
	return e.status
}

// Meaning returns what happened and what the caller or operator can do.
func (e Entry) Meaning() string {
	return e.meaning
}

func row(reason Reason, name string, status int, meaning string) Entry {
	return Entry{
		reason:  reason,
		name:    name,
		status:  status,
		meaning: meaning,
	}
}

// table has a row for each reason, at the index of the reason.
var table = [...]Entry{
	NoReason:        row(NoReason, "", 200, "No reason: the job runs or is complete."),
	TaskFailed:      row(TaskFailed, "task_failed", 200, "A back end answered a task with an error, so the whole job failed and its other tasks were stopped."),
	OutcomeUnknown:  row(OutcomeUnknown, "outcome_unknown", 200, "A task may have run, but its record was lost with the hosts that held it. It will not start again under this key."),
	DeadlinePassed:  row(DeadlinePassed, "deadline_passed", 200, "The job's deadline passed before all its tasks ended."),
	Cancelled:       row(Cancelled, "cancelled", 200, "The caller cancelled the job."),
	Overloaded:      row(Overloaded, "overloaded", 503, "The expected wait exceeds the kind's commitment or the deadline. Retry with the same key after retry_after."),
	QuotaExceeded:   row(QuotaExceeded, "quota_exceeded", 429, "The team uses its whole share and no idle share is left to borrow."),
	KeyExpired:      row(KeyExpired, "key_expired", 410, "The key is older than the retention, so nothing is known about it. This does not say that it did not run."),
	KeyInFuture:     row(KeyInFuture, "key_in_future", 400, "The key's time lies further ahead than the permitted clock skew. Check the caller's clock."),
	KeyConflict:     row(KeyConflict, "key_conflict", 409, "The key was used before with another kind, deadline or payload."),
	UnknownKey:      row(UnknownKey, "unknown_key", 404, "No submission with this key is known."),
	UnknownTeam:     row(UnknownTeam, "unknown_team", 404, "The configuration in force has no such team."),
	UnknownKind:     row(UnknownKind, "unknown_kind", 404, "The team has no such request kind in the configuration in force."),
	InvalidRequest:  row(InvalidRequest, "invalid_request", 400, "The request is malformed; the detail names the field."),
	FitsNowhere:     row(FitsNowhere, "fits_nowhere", 422, "No known target or worker can ever run the job; the detail says why."),
	Unavailable:     row(Unavailable, "unavailable", 503, "The owner of the submission cannot be reached. An earlier attempt may have run; resubmit with the same key."),
	ShuttingDown:    row(ShuttingDown, "shutting_down", 503, "This process is stopping. Resubmit with the same key; another entry will answer."),
	NotAllowed:      row(NotAllowed, "not_allowed", 403, "The bearer token is missing (status 401) or does not give this access."),
	ResultsTooLarge: row(ResultsTooLarge, "results_too_large", 200, "The results of the job together exceed 8 MB, so the job failed and its other tasks were stopped. Split it into smaller jobs."),
}

// Reasons returns a copy of the table, for documentation and its test.
func Reasons() []Entry {
	return append([]Entry(nil), table[:]...)
}

// Entry returns the reason's row in the table, or the row of NoReason for an
// invalid value.
func (r Reason) Entry() Entry {
	if int(r) >= len(table) {
		return table[NoReason]
	}
	return table[r]
}

// String returns the name of the reason in answers to callers.
func (r Reason) String() string {
	return r.Entry().name
}
