// Package event defines the log events of a process.
//
// State machines do not write logs. They return notes, and the process writes
// each note as one structured line. One table registers every event with its
// meaning; a test compares the table with the operators' page.
package event

import "sort"

// Name is the name of an event in the table.
type Name string

// The events.
const (
	ProcessStarted  Name = "process_started"
	ProcessStopping Name = "process_stopping"
	ProcessStopped  Name = "process_stopped"
	ServerEnding    Name = "server_ending"
	ServerCrowded   Name = "server_crowded"
	SettingsChanged Name = "settings_changed"

	JobAccepted  Name = "job_accepted"
	JobRefused   Name = "job_refused"
	JobEnded     Name = "job_ended"
	JobLeft      Name = "job_left"
	JobCancelled Name = "job_cancelled"
	TaskPlaced   Name = "task_placed"
	TaskRetried  Name = "task_retried"
	TaskOverdue  Name = "task_overdue"
	TaskUnsuited Name = "task_unsuited"
	TaskRescued  Name = "task_rescued"
	TaskWaited   Name = "task_waited"

	OverloadBegan Name = "overload_began"
	OverloadEnded Name = "overload_ended"

	RunStarted   Name = "run_started"
	RunEnded     Name = "run_ended"
	RunRefused   Name = "run_refused"
	RunStopping  Name = "run_stopping"
	RunUnclaimed Name = "run_unclaimed"
	RunUnsettled Name = "run_unsettled"
	StartFenced  Name = "start_fenced"

	LeaseWithheld Name = "lease_withheld"
	LeaseExtended Name = "lease_extended"

	SessionOpened Name = "session_opened"
	SessionLost   Name = "session_lost"
	TargetSeen    Name = "target_seen"
	TargetChanged Name = "target_changed"
	TargetLost    Name = "target_lost"
	TargetSuspect Name = "target_suspect"
	TargetTrusted Name = "target_trusted"

	ConfigChanged    Name = "config_changed"
	ConfigInvalid    Name = "config_invalid"
	ConfigBehind     Name = "config_behind"
	ConfigKept       Name = "config_kept"
	ConfigRefusing   Name = "config_refusing"
	ConfigCaughtUp   Name = "config_caught_up"
	EvacuationBegan  Name = "evacuation_began"
	EvacuationEnded  Name = "evacuation_ended"
	SendDelayed      Name = "send_delayed"
	SendResumed      Name = "send_resumed"
	EntriesChanged   Name = "entries_changed"
	LinksChosen      Name = "links_chosen"
	LinksResized     Name = "links_resized"
	ConnectionFailed Name = "connection_failed"
	StoreLost        Name = "store_lost"
	StoreRegained    Name = "store_regained"
	MessageInvalid   Name = "message_invalid"
	ValueInvalid     Name = "value_invalid"
	LinesDropped     Name = "lines_dropped"
)

// The values of fields that package explain looks for.
const (
	// CauseEvacuated is the cause of a start that an agent refuses, since the availability
	// zone of its target is evacuated.
	CauseEvacuated = "evacuated"
	// ReasonEvacuated is the reason of a job that an entry refuses, since its targets are all
	// in evacuated zones.
	ReasonEvacuated = "zones_evacuated"
)

var meanings = map[Name]string{
	ProcessStarted:   "The process is serving; the line has its settings and addresses.",
	ProcessStopping:  "The process received a stop signal and accepts no new work.",
	ProcessStopped:   "The process has stopped.",
	ServerEnding:     "A server is at a stage of its end; the line has its connections, the requests in flight, and the requests taken, refused and left without an answer since the stop signal.",
	ServerCrowded:    "A server closed connections that made too little progress, at most one line in 10 s; the line has the last reason, how many were closed since the line before, and what is open and held.",
	SettingsChanged:  "The settings file was reloaded.",
	JobAccepted:      "An entry accepted a job and determined its route, deadline and rank.",
	JobRefused:       "An entry refused a job before any run started; the line has the reason and the retry delay.",
	JobEnded:         "An entry answered a job.",
	JobLeft:          "All callers of a job disconnected; its runs are stopped.",
	JobCancelled:     "A caller cancelled a job.",
	TaskPlaced:       "An entry sent a task to an agent.",
	TaskRetried:      "A run ended without a result; the task is placed again.",
	TaskOverdue:      "A run cannot end while its caller still waits; it moves to a faster target, or its job is abandoned.",
	TaskUnsuited:     "The target of a run turned out to be of another kind than the task needs; the run is stopped and the task is placed again.",
	TaskRescued:      "A run is stopped since its target leaves before the run probably ends; the task is placed again. The line has the time until the target leaves and by how much the probability of an answer in time rises.",
	TaskWaited:       "A task waited for a place on the rack with its data while there was room elsewhere; the line has the expected and the real wait, its limit and its outcome.",
	OverloadBegan:    "Events wait too long for an entry that is short of processor time; it refuses new jobs.",
	OverloadEnded:    "Events no longer wait too long for the entry; it accepts jobs again.",
	RunStarted:       "A target accepted a run.",
	RunEnded:         "A run ended on a target.",
	RunRefused:       "An agent or its target refused a start; nothing ran.",
	RunStopping:      "An agent stops a run; the line has the cause.",
	RunUnsettled:     "A target started again while a run may be on either incarnation; the lists of the new one decide.",
	StartFenced:      "A target started again while a start for it was unanswered; from the agent's first call on, the new incarnation refuses it.",
	RunUnclaimed:     "A target has a run that no entry requested from this agent; the run is stopped.",
	LeaseWithheld:    "A target did not answer the stop of a run, so its lease is not extended, and all its runs end with it unless the stop is confirmed before.",
	LeaseExtended:    "All stops are confirmed or their runs have ended; the lease of the target is extended again.",
	SessionOpened:    "A connection between an entry and an agent is open.",
	SessionLost:      "A connection between an entry and an agent ended or timed out.",
	TargetSeen:       "A target announced itself for the first time or after a restart.",
	TargetChanged:    "A target changed state, for example to draining.",
	TargetLost:       "A target left, or stopped responding and its lease expired.",
	TargetSuspect:    "A target is ejected: it gets no work because its runs failed or made no progress.",
	TargetTrusted:    "An ejected target gets work again.",
	ConfigChanged:    "A configuration version became active in this process; the line has its source and size, and how long it was read, decoded and waiting.",
	ConfigBehind:     "This process learned of a newer configuration version than the one it has.",
	ConfigKept:       "An agent has a copy of the configuration for entries that can't reach the store; the line has its source and size.",
	ConfigRefusing:   "An entry refuses new jobs, or accepts them again, since a configuration that must be in force is not.",
	ConfigCaughtUp:   "This process has the newest configuration version that it knows of again; the line has how long it was behind.",
	EvacuationBegan:  "An availability zone is evacuated as far as this process knows, and gets no new work from it; the line has the source.",
	EvacuationEnded:  "The evacuation of an availability zone ended and the zone gets work again; the line has how long it lasted, and the starts there meanwhile, which must be 0.",
	SendDelayed:      "Frames to another process wait to be written; the line has the process and the age of the oldest.",
	SendResumed:      "Frames to other processes are written without delay again; the line has the highest age.",
	ConfigInvalid:    "A stored configuration is invalid; the previous one stays active.",
	EntriesChanged:   "The set of known entries changed.",
	LinksResized:     "An agent keeps connections to more or fewer entries, since those that it is connected to have few or many agents of its service.",
	LinksChosen:      "The process chose other entries to be connected to; the line has how many it knows and chose, and by how many entries it is chosen.",
	ConnectionFailed: "A connection to an entry could not be opened or was closed immediately; logged after 1, 2, 4 and so on consecutive failures.",
	StoreLost:        "The store does not respond to this process.",
	StoreRegained:    "The store responds to this process again.",
	MessageInvalid:   "A message from another process could not be decoded and was skipped.",
	ValueInvalid:     "A value in the store or in a target's lists can't be used and is left out; counted each time it is read, logged when it appears or changes.",
	LinesDropped:     "Log lines were dropped to limit the volume; the line has the count.",
}

// Meaning returns a one-sentence description for operators.
func (n Name) Meaning() string {
	return meanings[n]
}

// Names returns all events in alphabetical order.
func Names() []Name {
	var names []Name
	for n := range meanings {
		names = append(names, n)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// Field is a key-value pair of a note.
type Field struct {
	key   string
	value any
}

// F returns a field. The key is in snake case.
func F(key string, value any) Field {
	return Field{
		key:   key,
		value: value,
	}
}

func (f Field) Key() string {
	return f.key
}

func (f Field) Value() any {
	return f.value
}

// Note is one occurrence of an event with its fields.
type Note struct {
	name    Name
	subject string
	fields  []Field
}

func New(name Name, fields ...Field) Note {
	return Note{
		name:   name,
		fields: fields,
	}
}

func (n Note) Name() Name {
	return n.name
}

func (n Note) Fields() []Field {
	return n.fields
}

// About returns the note as the state of a subject, which may be observed again and
// again. It is counted each time, and logged when it appears or changes.
func (n Note) About(subject string) Note {
	n.subject = subject
	return n
}

// Subject returns what the note is the state of, empty if it is a single occurrence.
func (n Note) Subject() string {
	return n.subject
}
