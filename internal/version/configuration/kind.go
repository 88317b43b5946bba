package configuration

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Urgency orders the kinds of all teams; the lowest value goes first.
type Urgency uint8

// The urgencies.
const (
	Critical Urgency = iota
	High
	Normal
	Low
)

// Urgencies is the number of urgencies.
const Urgencies = 4

var urgencyNames = [Urgencies]string{
	Critical: "critical",
	High:     "high",
	Normal:   "normal",
	Low:      "low",
}

// String is the urgency's name in settings and dumps.
func (u Urgency) String() string {
	if int(u) >= len(urgencyNames) {
		return "invalid"
	}
	return urgencyNames[u]
}

// ParseUrgency returns the urgency of a name.
func ParseUrgency(name string) (Urgency, error) {
	for u, n := range urgencyNames {
		if n == name {
			return Urgency(u), nil
		}
	}
	return 0, errors.Errorf("urgency is %q, allowed are critical, high, normal and low", name)
}

// BackEnd is the sort of back end that runs a kind.
type BackEnd uint8

// The sorts of back end.
const (
	Target BackEnd = iota
	Worker
)

// String is the name in settings and dumps.
func (b BackEnd) String() string {
	if b == Worker {
		return "worker"
	}
	return "target"
}

// Resources is what a task takes of a worker.
type Resources struct {
	milliCores   int64
	memoryBytes  int64
	accelerators int64
}

// NewResources checks the amounts.
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

// MilliCores is processor time in thousandths of a core.
func (r Resources) MilliCores() int64 {
	return r.milliCores
}

// MemoryBytes is memory in bytes.
func (r Resources) MemoryBytes() int64 {
	return r.memoryBytes
}

// Accelerators is the number of accelerators.
func (r Resources) Accelerators() int64 {
	return r.accelerators
}

// Fits tells whether r is at most what other has.
func (r Resources) Fits(other Resources) bool {
	return r.milliCores <= other.milliCores && r.memoryBytes <= other.memoryBytes && r.accelerators <= other.accelerators
}

// String lists the amounts for operators.
func (r Resources) String() string {
	return strconv.FormatFloat(float64(r.milliCores)/1000, 'g', -1, 64) + " cores, " +
		strconv.FormatInt(r.memoryBytes, 10) + " bytes and " + strconv.FormatInt(r.accelerators, 10) + " accelerators"
}

// Add returns the sum of both.
func (r Resources) Add(other Resources) Resources {
	return Resources{
		milliCores:   r.milliCores + other.milliCores,
		memoryBytes:  r.memoryBytes + other.memoryBytes,
		accelerators: r.accelerators + other.accelerators,
	}
}

// Sub returns what is left of r after other is taken.
func (r Resources) Sub(other Resources) Resources {
	return Resources{
		milliCores:   r.milliCores - other.milliCores,
		memoryBytes:  r.memoryBytes - other.memoryBytes,
		accelerators: r.accelerators - other.accelerators,
	}
}

// Kind is a request kind of one team. The With methods return a changed copy,
// so that a kind in use never changes.
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

// Preemption says what may be done to a running task of a kind when urgent work
// needs its place on a worker.
type Preemption uint8

// String lists the means, for operators.
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

// ParsePreemption returns the means of one name: checkpoint, throttle or stop.
func ParsePreemption(name string) (Preemption, error) {
	for i, n := range preemptionNames {
		if n == name {
			return 1 << i, nil
		}
	}
	return 0, errors.Errorf("preemption is %q, allowed are checkpoint, throttle and stop", name)
}

var preemptionNames = [...]string{"checkpoint", "throttle", "stop"}

// The means, in the order in which they are tried.
const (
	MayCheckpoint Preemption = 1 << iota
	MayThrottle
	MayStop
)

// Defaults of a kind.
const (
	defaultMaxStarts    = 1
	defaultPayloadBytes = 64 << 10
)

// NewKind returns a kind that starts each task once. Service names the back ends
// that run it; targets name the services that they offer when they announce
// themselves.
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

// WithWorker makes the kind run on workers and states what a task takes.
func (k Kind) WithWorker(r Resources, p Preemption) Kind {
	k.backEnd = Worker
	k.resources = r
	k.preemption = p
	return k
}

// WithSpread sets how many times longer than the run time the slowest of a
// hundred tasks takes.
func (k Kind) WithSpread(spread float64) Kind {
	k.spread = spread
	return k
}

// WithRepeatable marks a kind whose tasks can run again without harm.
func (k Kind) WithRepeatable(repeatable bool) Kind {
	k.repeatable = repeatable
	return k
}

// WithHarm sets the harm of refusing the kind; the lowest is refused first.
func (k Kind) WithHarm(harm int) Kind {
	k.harm = harm
	return k
}

// WithMaxStarts sets how often a task may start, the first start included.
func (k Kind) WithMaxStarts(n int) Kind {
	k.maxStarts = n
	return k
}

// WithPayloadBytes sets the largest payload of one task.
func (k Kind) WithPayloadBytes(n int) Kind {
	k.payloadBytes = n
	return k
}

// WithLong marks work that may hold only a share of a target's slots.
func (k Kind) WithLong(long bool) Kind {
	k.long = long
	return k
}

// Team is the team that the kind belongs to.
func (k Kind) Team() string {
	return k.team
}

// Name is the kind's name within its team.
func (k Kind) Name() string {
	return k.name
}

// BackEnd is the sort of back end that runs the kind.
func (k Kind) BackEnd() BackEnd {
	return k.backEnd
}

// Service names the back ends that run the kind.
func (k Kind) Service() string {
	return k.service
}

// Urgency is the kind's place among all kinds.
func (k Kind) Urgency() Urgency {
	return k.urgency
}

// Commitment is the response time that the team was promised.
func (k Kind) Commitment() time.Duration {
	return k.commitment
}

// RunTime is the declared run time of one task.
func (k Kind) RunTime() time.Duration {
	return k.runTime
}

// Spread is how many times longer than the run time the slowest of a hundred
// tasks takes.
func (k Kind) Spread() float64 {
	return k.spread
}

// Repeatable tells whether a task can run again without harm.
func (k Kind) Repeatable() bool {
	return k.repeatable
}

// Harm is the harm of refusing the kind.
func (k Kind) Harm() int {
	return k.harm
}

// MaxStarts is how often a task may start, the first start included.
func (k Kind) MaxStarts() int {
	return k.maxStarts
}

// PayloadBytes is the largest payload of one task.
func (k Kind) PayloadBytes() int {
	return k.payloadBytes
}

// Long marks work that may hold only a share of a target's slots.
func (k Kind) Long() bool {
	return k.long
}

// Resources is what a task takes of a worker.
func (k Kind) Resources() Resources {
	return k.resources
}

// Preemption says what may be done to a running task.
func (k Kind) Preemption() Preemption {
	return k.preemption
}
