package wire_test

import (
	"bytes"
	"testing"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/ledger"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/process/role/wire"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func samples() []any {
	s := must(identity.NewSubmission("team", "01890000-0000-7000-8000-000000000001"))
	task := identity.NewTask(s, 3)
	grant := message.NewGrant(5, 7)
	grants := []message.Grant{grant}
	return []any{
		message.NewStart(task, grant, 9, "kind", []byte("payload"), time.UnixMilli(1)),
		message.NewFinished(task, outcome.Success([]byte("result"), time.Millisecond)),
		message.NewRejected(task, message.Withdrawn),
		message.NewInterest([]message.Demand{message.NewDemand("service", configuration.Low, true, 4, time.Second)}),
		message.NewOffer("service", 2, true),
		message.NewRevoke(grants, []identity.Submission{s}),
		message.NewRevoked([]identity.Submission{s}, []message.TaskState{message.NewTaskState(task, outcome.Failed)}),
		message.NewFence(grants),
		message.NewFenceReply(grants, []ledger.Record{ledger.NewRecord(task, 5, 7, outcome.Lost("x"))}, true, time.UnixMilli(2)),
		message.NewQuery(1, s, true),
		message.NewCancel(1, s),
	}
}

// FuzzDecode guards against bytes that crash a process, and against a message that
// changes when it is decoded and encoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range samples() {
		f.Add(must(wire.Encode(m)))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := wire.Decode(data)
		if err != nil {
			return
		}
		body, err := wire.Encode(m)
		if err != nil {
			t.Fatalf("encode the decoded message %#v: %v", m, err)
		}
		again, err := wire.Decode(body)
		if err != nil {
			t.Fatalf("decode the encoded message %#v: %v", m, err)
		}
		if second := must(wire.Encode(again)); !bytes.Equal(body, second) {
			t.Fatalf("message changed from %#v to %#v", m, again)
		}
	})
}

// FuzzDecodeCapacity guards against a capacity hint that crashes a process, has a speed
// that is no valid divisor, or is mistaken for a missing hint.
func FuzzDecodeCapacity(f *testing.F) {
	f.Add(wire.EncodeCapacity([]message.Capacity{message.NewCapacity("service", 7, 1, 4, 1.5)}))
	f.Fuzz(func(t *testing.T, data []byte) {
		capacity, err := wire.DecodeCapacity(data)
		if err != nil {
			return
		}
		for _, r := range capacity {
			if !(r.Speed() > 0 && r.Speed() < 1e6) {
				t.Fatalf("speed %g of service %q is not between 0 and 1e6", r.Speed(), r.Service())
			}
		}
		if capacity == nil {
			t.Fatal("an empty hint was decoded as nil, which means no hint")
		}
	})
}
