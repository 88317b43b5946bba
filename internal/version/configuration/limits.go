package configuration

import (
	"time"

	"github.com/pkg/errors"
)

// Limits bound what one job may be and how long its answer is kept, and hold the
// parameters of admission.
type Limits struct {
	maxTasks  int
	retention time.Duration
	regions   int
	admission Admission
}

// NewLimits checks the bounds. The limits have one region and the default
// admission.
func NewLimits(maxTasks int, retention time.Duration) (Limits, error) {
	if maxTasks < 1 || retention <= 0 {
		return Limits{}, errors.Errorf("limits: %d tasks and retention %v must be positive", maxTasks, retention)
	}
	return Limits{
		maxTasks:  maxTasks,
		retention: retention,
		regions:   1,
		admission: DefaultAdmission(),
	}, nil
}

// WithRegions sets the number of regions that teams can have as their home.
func (l Limits) WithRegions(n int) Limits {
	l.regions = n
	return l
}

// WithAdmission sets the parameters of admission.
func (l Limits) WithAdmission(a Admission) Limits {
	l.admission = a
	return l
}

// MaxTasks is the largest number of tasks of one job.
func (l Limits) MaxTasks() int {
	return l.maxTasks
}

// Retention is how long a submission is remembered after its first sending.
func (l Limits) Retention() time.Duration {
	return l.retention
}

// Regions is the number of regions that teams can have as their home.
func (l Limits) Regions() int {
	return l.regions
}

// Admission are the parameters of admission.
func (l Limits) Admission() Admission {
	return l.admission
}

// Admission says what is kept back and when work is refused under load.
type Admission struct {
	reservedSlots int
	longShare     float64
	retryBudget   float64
	maxWaiting    int
}

// The defaults of the design page, section 7. The bound on waiting tasks holds
// 18 jobs of 1,100 tasks, the widest at the two-year size.
const (
	defaultReservedSlots = 1
	defaultLongShare     = 0.5
	defaultRetryBudget   = 0.1
	defaultMaxWaiting    = 20_000
)

// DefaultAdmission are the parameters of the design page.
func DefaultAdmission() Admission {
	return Admission{
		reservedSlots: defaultReservedSlots,
		longShare:     defaultLongShare,
		retryBudget:   defaultRetryBudget,
		maxWaiting:    defaultMaxWaiting,
	}
}

// NewAdmission checks the parameters: slots of a target kept for the most urgent
// class, the share of slots that long work may hold, retries as a part of first
// starts, and the tasks that may wait at one owner.
func NewAdmission(reservedSlots int, longShare, retryBudget float64, maxWaiting int) (Admission, error) {
	if reservedSlots < 0 || maxWaiting < 1 {
		return Admission{}, errors.Errorf("admission: %d reserved slots and %d waiting tasks, allowed are at least 0 and 1", reservedSlots, maxWaiting)
	}
	if !(longShare > 0 && longShare <= 1) || !(retryBudget >= 0 && retryBudget <= 1) {
		return Admission{}, errors.Errorf("admission: share of long work %g and retry budget %g, allowed are 0 to 1", longShare, retryBudget)
	}
	return Admission{
		reservedSlots: reservedSlots,
		longShare:     longShare,
		retryBudget:   retryBudget,
		maxWaiting:    maxWaiting,
	}, nil
}

// ReservedSlots is how many slots of a target only the most urgent class gets.
func (a Admission) ReservedSlots() int {
	return a.reservedSlots
}

// LongShare is the share of a target's slots that long work may hold.
func (a Admission) LongShare() float64 {
	return a.longShare
}

// RetryBudget is the number of retries as a part of first starts.
func (a Admission) RetryBudget() float64 {
	return a.retryBudget
}

// MaxWaiting is the number of tasks that may wait at one owner.
func (a Admission) MaxWaiting() int {
	return a.maxWaiting
}

// WorkerClass is a size of worker that the platform has.
type WorkerClass struct {
	name      string
	resources Resources
}

// NewWorkerClass names a size of worker.
func NewWorkerClass(name string, r Resources) (WorkerClass, error) {
	if name == "" {
		return WorkerClass{}, errors.New("worker class needs a name")
	}
	return WorkerClass{
		name:      name,
		resources: r,
	}, nil
}

// Name is the name of the size.
func (w WorkerClass) Name() string {
	return w.name
}

// Resources is what such a worker has.
func (w WorkerClass) Resources() Resources {
	return w.resources
}
