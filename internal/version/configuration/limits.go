package configuration

import (
	"time"

	"github.com/pkg/errors"
)

// Limits bounds the size of a job and the retention of its answer, and contains
// the admission parameters.
type Limits struct {
	maxTasks  int
	retention time.Duration
	regions   int
	admission Admission
}

// NewLimits returns limits with one region and the default admission parameters.
// Both arguments must be positive.
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

// WithRegions returns a copy with the number of regions that teams can have as
// their home.
func (l Limits) WithRegions(n int) Limits {
	l.regions = n
	return l
}

// WithAdmission returns a copy with other admission parameters.
func (l Limits) WithAdmission(a Admission) Limits {
	l.admission = a
	return l
}

// MaxTasks is the largest number of tasks in one job.
func (l Limits) MaxTasks() int {
	return l.maxTasks
}

// Retention is how long a submission is stored after it was first sent.
func (l Limits) Retention() time.Duration {
	return l.retention
}

// Regions is the number of regions that teams can have as their home.
func (l Limits) Regions() int {
	return l.regions
}

func (l Limits) Admission() Admission {
	return l.admission
}

// Admission contains the parameters of admission: the capacity reserved for urgent
// work and the bounds above which work is refused.
type Admission struct {
	reservedSlots int
	longShare     float64
	retryBudget   float64
	maxWaiting    int
}

// The defaults of the design page, section 7. The bound on waiting tasks admits
// 18 jobs of 1,100 tasks, the widest job at the load expected in two years.
const (
	defaultReservedSlots = 1
	defaultLongShare     = 0.5
	defaultRetryBudget   = 0.1
	defaultMaxWaiting    = 20_000
)

// DefaultAdmission returns the parameters of the design page.
func DefaultAdmission() Admission {
	return Admission{
		reservedSlots: defaultReservedSlots,
		longShare:     defaultLongShare,
		retryBudget:   defaultRetryBudget,
		maxWaiting:    defaultMaxWaiting,
	}
}

// NewAdmission returns admission parameters: the slots of each target reserved for
// the most urgent class, the fraction of a target's slots that long tasks may
// occupy, the retries as a fraction of first starts, and the number of tasks that
// may wait at one owner.
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

// ReservedSlots is the number of slots of each target that only the most urgent
// class gets.
func (a Admission) ReservedSlots() int {
	return a.reservedSlots
}

// LongShare is the fraction of a target's slots that long tasks may occupy.
func (a Admission) LongShare() float64 {
	return a.longShare
}

// RetryBudget is the number of retries as a fraction of first starts.
func (a Admission) RetryBudget() float64 {
	return a.retryBudget
}

// MaxWaiting is the number of tasks that may wait at one owner.
func (a Admission) MaxWaiting() int {
	return a.maxWaiting
}

// WorkerClass is a worker size of the platform.
type WorkerClass struct {
	name      string
	resources Resources
}

// NewWorkerClass returns a worker size. Its name must not be empty.
func NewWorkerClass(name string, r Resources) (WorkerClass, error) {
	if name == "" {
		return WorkerClass{}, errors.New("worker class needs a name")
	}
	return WorkerClass{
		name:      name,
		resources: r,
	}, nil
}

func (w WorkerClass) Name() string {
	return w.name
}

// Resources returns the amounts that one worker of this size has.
func (w WorkerClass) Resources() Resources {
	return w.resources
}
