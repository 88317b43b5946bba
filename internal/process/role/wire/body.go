package wire

import (
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/ledger"
	"greengagedoor.example/greengagedoor/internal/process/role/wire/wirepb"
	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/request/job"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

func encodeBody(m any) (*wirepb.Body, error) {
	switch m := m.(type) {
	case message.Submit:
		return encodeSubmit(m), nil
	case message.Query:
		return &wirepb.Body{
			Kind: &wirepb.Body_Query{
				Query: &wirepb.Query{
					Request:    m.Request(),
					Submission: encodeSubmission(m.Submission()),
					Wait:       m.Wait(),
				},
			},
		}, nil
	case message.Cancel:
		return &wirepb.Body{
			Kind: &wirepb.Body_Cancel{
				Cancel: &wirepb.Cancel{
					Request:    m.Request(),
					Submission: encodeSubmission(m.Submission()),
				},
			},
		}, nil
	case message.Reply:
		return encodeReply(m), nil
	case message.Start:
		return encodeStart(m), nil
	case message.Finished:
		return &wirepb.Body{
			Kind: &wirepb.Body_Finished{
				Finished: &wirepb.Finished{
					Submission: encodeSubmission(m.Task().Submission()),
					Index:      m.Task().Index(),
					Result:     encodeResult(m.Result()),
				},
			},
		}, nil
	case message.Rejected:
		return &wirepb.Body{
			Kind: &wirepb.Body_Rejected{
				Rejected: &wirepb.Rejected{
					Submission: encodeSubmission(m.Task().Submission()),
					Index:      m.Task().Index(),
					Cause:      uint32(m.Cause()),
				},
			},
		}, nil
	case message.Interest:
		return encodeInterest(m), nil
	case message.Offer:
		return &wirepb.Body{
			Kind: &wirepb.Body_Offer{
				Offer: &wirepb.Offer{
					Service: m.Service(),
					Slots:   m.Slots(),
					Urgent:  m.CriticalOnly(),
				},
			},
		}, nil
	case message.Revoke:
		return &wirepb.Body{
			Kind: &wirepb.Body_Revoke{
				Revoke: &wirepb.Revoke{
					Grants:      encodeGrants(m.Grants()),
					Submissions: encodeSubmissions(m.Submissions()),
				},
			},
		}, nil
	case message.Revoked:
		return encodeRevoked(m), nil
	case message.Fence:
		return &wirepb.Body{
			Kind: &wirepb.Body_Seal{
				Seal: &wirepb.Seal{
					Grants: encodeGrants(m.Grants()),
				},
			},
		}, nil
	case message.FenceReply:
		return encodeFenceReply(m), nil
	}
	return encodeMembershipBody(m)
}

func encodeSubmit(m message.Submit) *wirepb.Body {
	o := m.Order()
	return &wirepb.Body{
		Kind: &wirepb.Body_Submit{
			Submit: &wirepb.Submit{
				Request:    m.Request(),
				Submission: encodeSubmission(o.Submission()),
				Kind:       o.Kind(),
				DeadlineMs: unixMillis(o.Deadline()),
				Payloads:   o.Payloads(),
			},
		},
	}
}

func encodeReply(m message.Reply) *wirepb.Body {
	a := m.Answer()
	return &wirepb.Body{
		Kind: &wirepb.Body_Reply{
			Reply: &wirepb.Reply{
				Request:      m.Request(),
				State:        uint32(a.State()),
				Reason:       uint32(a.Reason()),
				Detail:       a.Detail(),
				Ran:          uint32(a.Ran()),
				Results:      a.Results(),
				RetryAfterMs: a.RetryAfter().Milliseconds(),
			},
		},
	}
}

func encodeStart(m message.Start) *wirepb.Body {
	return &wirepb.Body{
		Kind: &wirepb.Body_Start{
			Start: &wirepb.Start{
				Submission: encodeSubmission(m.Task().Submission()),
				Index:      m.Task().Index(),
				Grant:      encodeGrant(m.Grant()),
				Credit:     m.Credit(),
				Kind:       m.Kind(),
				Payload:    m.Payload(),
				DeadlineMs: unixMillis(m.Deadline()),
			},
		},
	}
}

func encodeInterest(m message.Interest) *wirepb.Body {
	p := &wirepb.Interest{}
	for _, d := range m.Demands() {
		p.Demands = append(p.Demands, &wirepb.Demand{
			Service:  d.Service(),
			Urgency:  uint32(d.Urgency()),
			Long:     d.Long(),
			Count:    d.Count(),
			OldestUs: d.Oldest().Microseconds(),
		})
	}
	return &wirepb.Body{
		Kind: &wirepb.Body_Interest{
			Interest: p,
		},
	}
}

func encodeRevoked(m message.Revoked) *wirepb.Body {
	p := &wirepb.Revoked{
		Submissions: encodeSubmissions(m.Submissions()),
	}
	for _, t := range m.Tasks() {
		p.Tasks = append(p.Tasks, &wirepb.TaskState{
			Submission: encodeSubmission(t.Task().Submission()),
			Index:      t.Task().Index(),
			State:      uint32(t.State()),
		})
	}
	return &wirepb.Body{
		Kind: &wirepb.Body_Revoked{
			Revoked: p,
		},
	}
}

func encodeFenceReply(m message.FenceReply) *wirepb.Body {
	p := &wirepb.Sealed{
		Grants:   encodeGrants(m.Grants()),
		Complete: m.Complete(),
		SinceMs:  unixMillis(m.Since()),
	}
	for _, r := range m.Records() {
		p.Records = append(p.Records, &wirepb.Record{
			Submission: encodeSubmission(r.Task().Submission()),
			Index:      r.Task().Index(),
			Grant:      encodeGrant(message.NewGrant(r.Shard(), r.Epoch())),
			Result:     encodeResult(r.Result()),
		})
	}
	return &wirepb.Body{
		Kind: &wirepb.Body_Sealed{
			Sealed: p,
		},
	}
}

func decodeBody(b *wirepb.Body) (any, error) {
	switch k := b.GetKind().(type) {
	case *wirepb.Body_Submit:
		return decodeSubmit(k.Submit)
	case *wirepb.Body_Query:
		s, err := decodeSubmission(k.Query.GetSubmission())
		return message.NewQuery(k.Query.GetRequest(), s, k.Query.GetWait()), err
	case *wirepb.Body_Cancel:
		s, err := decodeSubmission(k.Cancel.GetSubmission())
		return message.NewCancel(k.Cancel.GetRequest(), s), err
	case *wirepb.Body_Reply:
		return decodeReply(k.Reply), nil
	case *wirepb.Body_Start:
		return decodeStart(k.Start)
	case *wirepb.Body_Finished:
		return decodeFinished(k.Finished)
	case *wirepb.Body_Rejected:
		return decodeRejected(k.Rejected)
	case *wirepb.Body_Interest:
		return decodeInterest(k.Interest)
	case *wirepb.Body_Offer:
		return message.NewOffer(k.Offer.GetService(), k.Offer.GetSlots(), k.Offer.GetUrgent()), nil
	case *wirepb.Body_Revoke:
		s, err := decodeSubmissions(k.Revoke.GetSubmissions())
		return message.NewRevoke(decodeGrants(k.Revoke.GetGrants()), s), err
	case *wirepb.Body_Revoked:
		return decodeRevoked(k.Revoked)
	case *wirepb.Body_Seal:
		return message.NewFence(decodeGrants(k.Seal.GetGrants())), nil
	case *wirepb.Body_Sealed:
		return decodeFenceReply(k.Sealed)
	}
	return decodeMembershipBody(b)
}

func decodeSubmit(p *wirepb.Submit) (any, error) {
	s, err := decodeSubmission(p.GetSubmission())
	if err != nil {
		return nil, err
	}
	o, err := job.NewOrder(s, p.GetKind(), timeFromMillis(p.GetDeadlineMs()), p.GetPayloads())
	return message.NewSubmit(p.GetRequest(), o), err
}

func decodeReply(p *wirepb.Reply) any {
	a := answer.FromParts(answer.State(p.GetState()), answer.Reason(p.GetReason()), p.GetDetail(),
		answer.Ran(p.GetRan()), p.GetResults(), time.Duration(p.GetRetryAfterMs())*time.Millisecond)
	return message.NewReply(p.GetRequest(), a)
}

func decodeStart(p *wirepb.Start) (any, error) {
	t, err := decodeTask(p.GetSubmission(), p.GetIndex())
	return message.NewStart(t, decodeGrant(p.GetGrant()), p.GetCredit(), p.GetKind(), p.GetPayload(), timeFromMillis(p.GetDeadlineMs())), err
}

func decodeFinished(p *wirepb.Finished) (any, error) {
	t, err := decodeTask(p.GetSubmission(), p.GetIndex())
	if err != nil {
		return nil, err
	}
	r, err := decodeResult(p.GetResult())
	return message.NewFinished(t, r), err
}

func decodeRejected(p *wirepb.Rejected) (any, error) {
	t, err := decodeTask(p.GetSubmission(), p.GetIndex())
	if err == nil && p.GetCause() > uint32(message.Withdrawn) {
		err = errors.Errorf("unknown cause %d, the highest is %d", p.GetCause(), message.Withdrawn)
	}
	return message.NewRejected(t, message.Cause(p.GetCause())), err
}

func decodeInterest(p *wirepb.Interest) (any, error) {
	demands := make([]message.Demand, 0, len(p.GetDemands()))
	for _, d := range p.GetDemands() {
		if d.GetUrgency() >= configuration.Urgencies {
			return nil, errors.Errorf("unknown urgency %d, there are %d", d.GetUrgency(), configuration.Urgencies)
		}
		u := configuration.Urgency(d.GetUrgency())
		demands = append(demands, message.NewDemand(d.GetService(), u, d.GetLong(), d.GetCount(), time.Duration(d.GetOldestUs())*time.Microsecond))
	}
	return message.NewInterest(demands), nil
}

func decodeRevoked(p *wirepb.Revoked) (any, error) {
	submissions, err := decodeSubmissions(p.GetSubmissions())
	if err != nil {
		return nil, err
	}
	tasks := make([]message.TaskState, 0, len(p.GetTasks()))
	for _, t := range p.GetTasks() {
		id, err := decodeTask(t.GetSubmission(), t.GetIndex())
		if err != nil {
			return nil, err
		}
		state, err := decodeState(t.GetState())
		if err != nil {
			return nil, err
		}
		tasks = append(tasks, message.NewTaskState(id, state))
	}
	return message.NewRevoked(submissions, tasks), nil
}

func decodeFenceReply(p *wirepb.Sealed) (any, error) {
	records := make([]ledger.Record, 0, len(p.GetRecords()))
	for _, r := range p.GetRecords() {
		id, err := decodeTask(r.GetSubmission(), r.GetIndex())
		if err != nil {
			return nil, err
		}
		result, err := decodeResult(r.GetResult())
		if err != nil {
			return nil, err
		}
		g := r.GetGrant()
		records = append(records, ledger.NewRecord(id, identity.Shard(g.GetShard()), identity.Epoch(g.GetEpoch()), result))
	}
	return message.NewFenceReply(decodeGrants(p.GetGrants()), records, p.GetComplete(), timeFromMillis(p.GetSinceMs())), nil
}
