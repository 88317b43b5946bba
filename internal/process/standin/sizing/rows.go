package sizing

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/ledger"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/process/role/owner"
	"greengagedoor.example/greengagedoor/internal/process/role/wire"
	"greengagedoor.example/greengagedoor/internal/request/job"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// Sizes and durations that the rows are measured with. ledgerBytes is the byte limit
// of the ledger, which no measurement reaches.
const (
	payloadBytes = 256
	resultBytes  = 256
	retention    = 10 * time.Minute
	ledgerBytes  = 1 << 30
)

// Rows runs all measurements of this package.
func Rows() ([]Row, error) {
	measurements := []func() (Row, error){
		measureSubmission,
		measureTask,
		measureStartRecord,
		measureTeam,
		measureEncodedTeam,
		measureSubmit,
		measureStart,
		measureFenceReply,
	}
	var rows []Row
	for _, m := range measurements {
		r, err := m()
		if err != nil {
			return nil, err
		}
		rows = append(rows, r)
	}
	return rows, nil
}

// submissionKey returns a UUID of version 7 with the current time, distinct for each n.
func submissionKey(n int) uuid.UUID {
	var k uuid.UUID
	binary.BigEndian.PutUint64(k[0:8], uint64(time.Now().UnixMilli())<<16)
	binary.BigEndian.PutUint64(k[8:16], uint64(n))
	k[6] = 0x70 | k[6]&0x0f
	k[8] = 0x80 | k[8]&0x3f
	return k
}

// newOrder returns an order with width tasks. Orders of different n have different
// keys.
func newOrder(n, width int) (job.Order, error) {
	s, err := identity.SubmissionOf("team-000", submissionKey(n))
	if err != nil {
		return job.Order{}, err
	}
	payloads := make([][]byte, width)
	for i := range payloads {
		payloads[i] = make([]byte, payloadBytes)
	}
	return job.NewOrder(s, "kind-00", time.Time{}, payloads)
}

// Configuration returns a configuration with the given number of teams and 20 kinds
// per team.
func Configuration(teamCount int) (*configuration.Configuration, error) {
	const kindsPerTeam = 20
	limits, err := configuration.NewLimits(1100, retention)
	if err != nil {
		return nil, err
	}
	var teams []configuration.Team
	var kinds []configuration.Kind
	for i := range teamCount {
		t, err := configuration.NewTeam(fmt.Sprintf("team-%03d", i), 1/float64(teamCount), 0)
		if err != nil {
			return nil, err
		}
		teams = append(teams, t)
		for j := range kindsPerTeam {
			k, err := configuration.NewKind(t.Name(), fmt.Sprintf("kind-%02d", j), "service", configuration.Normal, time.Minute, 100*time.Millisecond)
			if err != nil {
				return nil, err
			}
			kinds = append(kinds, k)
		}
	}
	return configuration.New(1, limits, teams, kinds)
}

// newOwner returns an owner that has accepted n jobs of width tasks each. All jobs
// wait for an agent.
func newOwner(n, width int) (*owner.Owner, error) {
	self, err := identity.NewProcess("owner", 1)
	if err != nil {
		return nil, err
	}
	topology, err := owner.NewTopology(1, 1)
	if err != nil {
		return nil, err
	}
	o, err := owner.New(self, topology, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		return nil, err
	}
	cfg, err := Configuration(1)
	if err != nil {
		return nil, err
	}
	entry, err := identity.NewProcess("entry", 1)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	for _, e := range []any{cfg, membership.NewLease(now.Add(time.Hour)), membership.NewGranted(0, 1, nil)} {
		o.Handle(now, e)
	}
	for i := range n {
		ord, err := newOrder(i, width)
		if err != nil {
			return nil, err
		}
		o.Handle(now, message.NewReceived(entry, 0, nil, message.NewSubmit(uint64(i+1), ord)))
	}
	return o, nil
}

func measureSubmission() (Row, error) {
	return Measure("owner: live submission of one task", "B", []int{250, 500, 1000, 2000}, func(n int) (float64, error) {
		return heapGrowth(func() (any, error) { return newOwner(n, 1) })
	})
}

func measureTask() (Row, error) {
	return Measure("owner: one more task of a job", "B", []int{100, 300, 600, 1100}, func(n int) (float64, error) {
		return heapGrowth(func() (any, error) { return newOwner(1, n) })
	})
}

// newLedger returns a ledger with n start records, each with a result.
func newLedger(n int) (*ledger.Ledger, error) {
	now := time.Now()
	l, err := ledger.New(now, retention, n+1, ledgerBytes)
	if err != nil {
		return nil, err
	}
	for i := range n {
		s, err := identity.SubmissionOf("team-000", submissionKey(i))
		if err != nil {
			return nil, err
		}
		t := identity.NewTask(s, 0)
		if err := l.Begin(now, t, identity.Shard(i%16), 1, 1); err != nil {
			return nil, err
		}
		l.End(now, t, outcome.Success(make([]byte, resultBytes), time.Millisecond))
	}
	return l, nil
}

func measureStartRecord() (Row, error) {
	return Measure("agent: start record with a result of 256 B", "B", []int{5000, 10000, 20000, 40000}, func(n int) (float64, error) {
		return heapGrowth(func() (any, error) { return newLedger(n) })
	})
}

func measureTeam() (Row, error) {
	return Measure("process: team of 20 kinds", "B", []int{65, 130, 260}, func(n int) (float64, error) {
		return heapGrowth(func() (any, error) { return Configuration(n) })
	})
}

func measureEncodedTeam() (Row, error) {
	return Measure("store: encoded team of 20 kinds", "B", []int{65, 130, 260}, func(n int) (float64, error) {
		c, err := Configuration(n)
		if err != nil {
			return 0, err
		}
		data, err := configuration.Encode(c)
		return float64(len(data)), err
	})
}

func measureSubmit() (Row, error) {
	return Measure("message: submit, one more task of 256 B", "B", []int{1, 100, 1100}, func(n int) (float64, error) {
		o, err := newOrder(0, n)
		if err != nil {
			return 0, err
		}
		return encodedSize(message.NewSubmit(1, o))
	})
}

func measureStart() (Row, error) {
	return Measure("message: start, one more payload byte", "B", []int{0, 64, 256, 1024}, func(n int) (float64, error) {
		s, err := identity.SubmissionOf("team-000", submissionKey(1))
		if err != nil {
			return 0, err
		}
		return encodedSize(message.NewStart(identity.NewTask(s, 1099), message.NewGrant(1023, 7), 1_000_000, "kind-00",
			make([]byte, n), time.Now()))
	})
}

func measureFenceReply() (Row, error) {
	return Measure("message: sealed, one more record", "B", []int{10, 100, 1000}, func(n int) (float64, error) {
		var records []ledger.Record
		for i := range n {
			s, err := identity.SubmissionOf("team-000", submissionKey(i))
			if err != nil {
				return 0, err
			}
			records = append(records, ledger.NewRecord(identity.NewTask(s, 0), 1, 1, outcome.Success(make([]byte, resultBytes), time.Second)))
		}
		return encodedSize(message.NewFenceReply(nil, records, true, time.Time{}))
	})
}

// encodedSize returns the length of an encoded message in bytes.
func encodedSize(m any) (float64, error) {
	data, err := wire.Encode(m)
	return float64(len(data)), err
}
