package agent_test

import (
	"testing"
	"time"

	"github.com/google/uuid"

	"greengagedoor.example/greengagedoor/internal/connection/announcement"
	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/ledger"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/process/role/agent"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

var began = time.Unix(1_800_000_000, 0)

// The kinds of the tests. The declared run time of each is 100 ms.
const (
	normal   = "normal"
	critical = "critical"
	long     = "long"
	twice    = "twice"
	batch    = "batch"
	urgent   = "urgent"
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func kindOf(name string, u configuration.Urgency) configuration.Kind {
	return must(configuration.NewKind("team", name, "print", u, time.Second, 100*time.Millisecond))
}

func config() *configuration.Configuration {
	cores := must(configuration.NewResources(4000, 1<<30, 0))
	kinds := []configuration.Kind{
		kindOf(normal, configuration.Normal),
		kindOf(critical, configuration.Critical),
		kindOf(long, configuration.Normal).WithLong(true),
		kindOf(twice, configuration.Normal).WithMaxStarts(2),
		kindOf(batch, configuration.Low).WithWorker(cores, configuration.MayThrottle|configuration.MayStop),
		kindOf(urgent, configuration.Critical).WithWorker(cores, 0).WithHarm(9),
	}
	team := must(configuration.NewTeam("team", 1, 0))
	return must(configuration.New(1, must(configuration.NewLimits(100, 10*time.Minute)), []configuration.Team{team}, kinds))
}

func process(name string) identity.Process {
	return must(identity.NewProcess(name, 1))
}

var self, one, two = process("self"), process("one"), process("two")

func submission(n uint16) identity.Submission {
	id := uuid.MustParse("01890000-0000-7000-8000-000000000000")
	id[14], id[15] = byte(n>>8), byte(n)
	return must(identity.SubmissionOf("team", id))
}

func taskOf(n int) identity.Task {
	return identity.NewTask(submission(uint16(n/100)), uint32(n%100))
}

// bench is a test bench: an agent with a virtual clock and the capacity that it has
// published.
type bench struct {
	now        time.Time
	agent      *agent.Agent
	capacities map[string]message.Capacity
	next       int
}

func newBench(t testing.TB) *bench {
	t.Helper()
	l := must(ledger.New(began, time.Minute, 100_000, 1<<20))
	b := &bench{
		now:        began,
		next:       10_000,
		capacities: map[string]message.Capacity{},
	}
	b.agent = must(agent.New(self, l, b.credit))
	b.handle(config())
	b.handle(membership.NewLease(began.Add(24 * time.Hour)))
	return b
}

func (b *bench) credit(now time.Time) uint64 {
	return uint64(now.Sub(began).Milliseconds()) + 1
}

// handle returns a copy of the effects. It stores the published capacity and delivers
// messages of the agent to itself.
func (b *bench) handle(event any) []any {
	effects := append([]any(nil), b.agent.Handle(b.now, event)...)
	for _, e := range effects {
		switch e := e.(type) {
		case *agent.CapacityHint:
			clear(b.capacities)
			for _, r := range e.Capacities() {
				b.capacities[r.Service()] = r
			}
		case message.Send:
			if e.To() == self {
				effects = append(effects, b.receive(self, e.Body())...)
			}
		}
	}
	return effects
}

func (b *bench) receive(from identity.Process, body any) []any {
	return b.handle(message.NewReceived(from, 0, nil, body))
}

func (b *bench) advance(d time.Duration) []any {
	b.now = b.now.Add(d)
	return b.handle(message.Wake{})
}

func (b *bench) announce(name string, slots int, leaving bool) []any {
	return b.handle(must(announcement.New(name, "http://127.0.0.1:1/task", []string{"print"}, slots, 64, leaving)))
}

func (b *bench) start(owner identity.Process, task identity.Task, epoch identity.Epoch, kind string) []any {
	return b.receive(owner, message.NewStart(task, message.NewGrant(1, epoch), b.credit(b.now), kind, nil, time.Time{}))
}

// run starts a new task and returns it with the cause of its rejection, or "" if it
// started.
func (b *bench) run(owner identity.Process, kind string) (identity.Task, string) {
	b.next++
	task := taskOf(b.next)
	return task, answer(b.start(owner, task, 1, kind))
}

func answer(effects []any) string {
	for _, e := range effects {
		switch e := e.(type) {
		case agent.Call, agent.Place:
			return ""
		case message.Send:
			if r, ok := e.Body().(message.Rejected); ok {
				return r.Cause().String()
			}
		}
	}
	return "nothing"
}

func (b *bench) end(task identity.Task, r outcome.Result) []any {
	return b.handle(agent.NewEnded(task, r))
}

func success() outcome.Result {
	return outcome.Success([]byte("done"), 100*time.Millisecond)
}

func (b *bench) interest(owner identity.Process, demands ...message.Demand) []any {
	return b.receive(owner, message.NewInterest(demands))
}

func demandOf(u configuration.Urgency, isLong bool, count uint32, oldest time.Duration) message.Demand {
	return message.NewDemand("print", u, isLong, count, oldest)
}

// sent returns the bodies of type T that were sent to a process.
func sent[T any](effects []any, to identity.Process) []T {
	var list []T
	for _, e := range effects {
		if s, ok := e.(message.Send); ok && s.To() == to {
			if b, ok := s.Body().(T); ok {
				list = append(list, b)
			}
		}
	}
	return list
}

func effects[T any](list []any) []T {
	var out []T
	for _, e := range list {
		if v, ok := e.(T); ok {
			out = append(out, v)
		}
	}
	return out
}

func submissions(tasks ...int) []identity.Submission {
	var list []identity.Submission
	for _, n := range tasks {
		list = append(list, taskOf(n).Submission())
	}
	return list
}
