package configuration

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Urgency orders the waiting work of all teams. The lowest value goes first.
type Urgency uint8

// Urgencies, the most urgent first.
const (
	Critical Urgency = iota
	High
	Normal
	Low
)

// Urgencies is the number of Urgency values.
const Urgencies = 4

var urgencyNames = [Urgencies]string{
	Critical: "critical",
	High:     "high",
	Normal:   "normal",
	Low:      "low",
}

// String returns the name of the urgency in settings and dumps.
func (u Urgency) String() string {
	if int(u) >= len(urgencyNames) {
		return "invalid"
	}
	return urgencyNames[u]
}

// ParseUrgency returns the urgency with a name.
func ParseUrgency(name string) (Urgency, error) {
	for u, n := range urgencyNames {
		if n == name {
			return Urgency(u), nil
		}
	}
	return 0, errors.Errorf("urgency is %q, allowed are critical, high, normal and low", name)
}

// BackEnd is the type of back end that runs a kind.
type BackEnd uint8

// Types of back end.
const (
	Target BackEnd = iota
	Worker
)

// String returns the name of the type in settings and dumps.
func (b BackEnd) String() string {
	if b == Worker {
		return "worker"
	}
	return "target"
}

// Resources contains amounts of a worker's resources: those that a worker has or
// those that a task needs.
type Resources struct {
	milliCores   int64
	memoryBytes  int64
	accelerators int64
}

// NewResources returns amounts of resources, none of which may be negative.
func NewResources(milliCores, memoryBytes, accelerators int64) (Resources, error) {
	if milliCores < 0 || memoryBytes < 0 || accelerators < 0 {
		return Resources{}, errors.Errorf("resources %d millicores, %d bytes, %d accelerators: none may be negative", milliCores, memoryBytes, accelerators)
	}
	return Resources{
		milliCores:   milliCores,
		memoryBytes:  memoryBytes,
		accelerators: accelerators,
	}, nil
}

// MilliCores is the number of processor cores in thousandths.
func (r Resources) MilliCores() int64 {
	return r.milliCores
}

func (r Resources) MemoryBytes() int64 {
	return r.memoryBytes
}

func (r Resources) Accelerators() int64 {
	return r.accelerators
}

// Fits reports whether no amount of r exceeds that of other.
func (r Resources) Fits(other Resources) bool {
	return r.milliCores <= other.milliCores && r.memoryBytes <= other.memoryBytes && r.accelerators <= other.accelerators
}

// String returns the amounts with their units.
func (r Resources) String() string {
	return strconv.FormatFloat(float64(r.milliCores)/1000, 'g', -1, 64) + " cores, " +
		strconv.FormatInt(r.memoryBytes, 10) + " bytes and " + strconv.FormatInt(r.accelerators, 10) + " accelerators"
}

func (r Resources) Add(other Resources) Resources {
	return Resources{
		milliCores:   r.milliCores + other.milliCores,
		memoryBytes:  r.memoryBytes + other.memoryBytes,
		accelerators: r.accelerators + other.accelerators,
	}
}

// Sub returns r less other. Amounts of the result may be negative.
func (r Resources) Sub(other Resources) Resources {
	return Resources{
		milliCores:   r.milliCores - other.milliCores,
		memoryBytes:  r.memoryBytes - other.memoryBytes,
		accelerators: r.accelerators - other.accelerators,
	}
}

// Kind is a request kind of one team. The With methods return a changed copy, so
// that a kind that is in use never changes.
type Kind struct {
	team         string
	name         string
	backEnd      BackEnd
	service      string
	urgency      Urgency
	commitment   time.Duration
	runTime      time.Duration
	spread       float64
	repeatable   bool
	harm         int
	maxStarts    int
	payloadBytes int
	long         bool
	resources    Resources
	preemption   Preemption
}

// Preemption is the set of measures that may be applied to a running task when
// more urgent work needs its resources on a worker.
type Preemption uint8

// String returns the names of the measures, separated by commas, or none.
func (p Preemption) String() string {
	var names []string
	for i, n := range preemptionNames {
		if p&(1<<i) != 0 {
			names = append(names, n)
		}
	}
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

// ParsePreemption returns the measure with a name: checkpoint, throttle or stop.
func ParsePreemption(name string) (Preemption, error) {
	for i, n := range preemptionNames {
		if n == name {
			return 1 << i, nil
		}
	}
	return 0, errors.Errorf("preemption is %q, want checkpoint, throttle or stop", name)
}

var preemptionNames = [...]string{"checkpoint", "throttle", "stop"}

// Preemption measures, in the order in which they are tried.
const (
	MayCheckpoint Preemption = 1 << iota
	MayThrottle
	MayStop
)

// Defaults of a kind. The payload bound is in bytes.
const (
	defaultMaxStarts    = 1
	defaultPayloadBytes = 64 << 10
)

// NewKind returns a kind that runs on targets and starts each task once. Service
// selects the back ends that run the kind: targets list the services that they
// offer when they announce themselves. Commitment and run time must be positive.
func NewKind(team, name, service string, urgency Urgency, commitment, runTime time.Duration) (Kind, error) {
	if team == "" || name == "" || service == "" {
		return Kind{}, errors.Errorf("kind %q of team %q with service %q: none may be empty", name, team, service)
	}
	if urgency >= Urgencies {
		return Kind{}, errors.Errorf("kind %s of team %s: urgency %d is not known", name, team, urgency)
	}
	if commitment <= 0 || runTime <= 0 {
		return Kind{}, errors.Errorf("kind %s of team %s: commitment %v and run time %v must be positive", name, team, commitment, runTime)
	}
	return Kind{
		team:         team,
		name:         name,
		service:      service,
		urgency:      urgency,
		commitment:   commitment,
		runTime:      runTime,
		spread:       1,
		maxStarts:    defaultMaxStarts,
		payloadBytes: defaultPayloadBytes,
	}, nil
}

// WithWorker returns a copy that runs on workers. Each task needs the resources r.
func (k Kind) WithWorker(r Resources, p Preemption) Kind {
	k.backEnd = Worker
	k.resources = r
	k.preemption = p
	return k
}

// WithSpread sets the ratio of the 99th percentile of the run time to the declared
// run time.
func (k Kind) WithSpread(spread float64) Kind {
	k.spread = spread
	return k
}

// WithRepeatable sets whether a task may safely run again.
func (k Kind) WithRepeatable(repeatable bool) Kind {
	k.repeatable = repeatable
	return k
}

// WithHarm sets the cost of refusing the kind. Kinds with the lowest cost are
// refused first.
func (k Kind) WithHarm(harm int) Kind {
	k.harm = harm
	return k
}

// WithMaxStarts sets how often a task may start, including the first start.
func (k Kind) WithMaxStarts(n int) Kind {
	k.maxStarts = n
	return k
}

// WithPayloadBytes sets the largest payload of one task, in bytes.
func (k Kind) WithPayloadBytes(n int) Kind {
	k.payloadBytes = n
	return k
}

// WithLong sets whether the tasks may occupy only a share of a target's slots.
func (k Kind) WithLong(long bool) Kind {
	k.long = long
	return k
}

func (k Kind) Team() string {
	return k.team
}

// Name is the kind's name, unique within its team.
func (k Kind) Name() string {
	return k.name
}

func (k Kind) BackEnd() BackEnd {
	return k.backEnd
}

// Service selects the back ends that run the kind.
func (k Kind) Service() string {
	return k.service
}

func (k Kind) Urgency() Urgency {
	return k.urgency
}

// Commitment is the response time guaranteed to the team.
func (k Kind) Commitment() time.Duration {
	return k.commitment
}

// RunTime is the declared run time of one task, the estimate until run times have
// been observed.
func (k Kind) RunTime() time.Duration {
	return k.runTime
}

// Spread is the ratio of the 99th percentile of the run time to the declared run
// time, at least 1.
func (k Kind) Spread() float64 {
	return k.spread
}

// Repeatable reports whether a task may safely run again.
func (k Kind) Repeatable() bool {
	return k.repeatable
}

// Harm is the cost of refusing the kind. Kinds with the lowest cost are refused
// first.
func (k Kind) Harm() int {
	return k.harm
}

// MaxStarts is how often a task may start, including the first start.
func (k Kind) MaxStarts() int {
	return k.maxStarts
}

// PayloadBytes is the largest payload of one task, in bytes.
func (k Kind) PayloadBytes() int {
	return k.payloadBytes
}

// Long reports whether the tasks may occupy only a share of a target's slots.
func (k Kind) Long() bool {
	return k.long
}

// Resources returns the amounts of a worker that one task needs.
func (k Kind) Resources() Resources {
	return k.resources
}

// Preemption returns the measures that may be applied to a running task.
func (k Kind) Preemption() Preemption {
	return k.preemption
}
