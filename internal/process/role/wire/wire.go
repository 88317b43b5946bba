// Package wire converts domain messages to and from protocol buffers, and the stored
// fleet to and from JSON.
//
// Domain types have no tags and do not depend on the encoding, so the conversion is
// written by hand, with a pair of functions for each message. Decoding validates what a
// constructor validates, since a peer of another version may send any value.
package wire

import (
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/process/role/wire/wirepb"
	"greengagedoor.example/greengagedoor/internal/request/message"
)

// ErrInvalidMessage is returned for bytes that are not a message of this version.
var ErrInvalidMessage = errors.New("message cannot be decoded")

// maxSpeed is the highest valid speed in a capacity hint. The speed must be positive,
// since it is used as a divisor.
const maxSpeed = 1000

// Encode returns the encoded message. It returns an error for a type that is not a
// message.
func Encode(m any) ([]byte, error) {
	b, err := encodeBody(m)
	if err != nil {
		return nil, err
	}
	data, err := proto.Marshal(b)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %T", m)
	}
	return data, nil
}

// Decode returns the decoded message, or an error that wraps ErrInvalidMessage.
func Decode(data []byte) (any, error) {
	var b wirepb.Body
	if err := proto.Unmarshal(data, &b); err != nil {
		return nil, errors.Wrap(ErrInvalidMessage, err.Error())
	}
	m, err := decodeBody(&b)
	if err != nil {
		return nil, errors.Wrap(ErrInvalidMessage, err.Error())
	}
	return m, nil
}

// EncodeCapacity returns an encoded capacity hint.
func EncodeCapacity(capacity []message.Capacity) []byte {
	h := &wirepb.Hint{}
	for _, r := range capacity {
		h.Rooms = append(h.Rooms, &wirepb.Room{
			Service:  r.Service(),
			Free:     r.Free(),
			Reserved: r.Reserved(),
			Long:     r.Long(),
			Speed:    r.Speed(),
		})
	}
	data, err := proto.Marshal(h)
	if err != nil {
		return nil
	}
	return data
}

// DecodeCapacity returns the decoded capacity hint, or an error that wraps
// ErrInvalidMessage. Without an error the hint is never nil, since nil means that a
// frame has no hint.
func DecodeCapacity(data []byte) ([]message.Capacity, error) {
	var h wirepb.Hint
	if err := proto.Unmarshal(data, &h); err != nil {
		return nil, errors.Wrap(ErrInvalidMessage, err.Error())
	}
	capacity := make([]message.Capacity, 0, len(h.GetRooms()))
	for _, r := range h.GetRooms() {
		if s := r.GetSpeed(); !(s > 0 && s <= maxSpeed) {
			return nil, errors.Wrapf(ErrInvalidMessage, "speed %g of service %q is not in (0, %d]", s, r.GetService(), maxSpeed)
		}
		capacity = append(capacity, message.NewCapacity(r.GetService(), r.GetFree(), r.GetReserved(), r.GetLong(), r.GetSpeed()))
	}
	return capacity, nil
}

func encodeSubmission(s identity.Submission) *wirepb.Submission {
	key := s.Key()
	return &wirepb.Submission{
		Team: s.Team(),
		Key:  key[:],
	}
}

func decodeSubmission(p *wirepb.Submission) (identity.Submission, error) {
	key, err := uuid.FromBytes(p.GetKey())
	if err != nil {
		return identity.Submission{}, errors.Wrap(err, "submission key")
	}
	return identity.SubmissionOf(p.GetTeam(), key)
}

func decodeSubmissions(list []*wirepb.Submission) ([]identity.Submission, error) {
	out := make([]identity.Submission, 0, len(list))
	for _, p := range list {
		s, err := decodeSubmission(p)
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}

func encodeSubmissions(list []identity.Submission) []*wirepb.Submission {
	out := make([]*wirepb.Submission, 0, len(list))
	for _, s := range list {
		out = append(out, encodeSubmission(s))
	}
	return out
}

func decodeTask(p *wirepb.Submission, index uint32) (identity.Task, error) {
	s, err := decodeSubmission(p)
	if err != nil {
		return identity.Task{}, err
	}
	return identity.NewTask(s, index), nil
}

func encodeGrant(g message.Grant) *wirepb.Grant {
	return &wirepb.Grant{
		Shard: uint32(g.Shard()),
		Epoch: uint64(g.Epoch()),
	}
}

func decodeGrant(p *wirepb.Grant) message.Grant {
	return message.NewGrant(identity.Shard(p.GetShard()), identity.Epoch(p.GetEpoch()))
}

func encodeGrants(list []message.Grant) []*wirepb.Grant {
	out := make([]*wirepb.Grant, 0, len(list))
	for _, g := range list {
		out = append(out, encodeGrant(g))
	}
	return out
}

func decodeGrants(list []*wirepb.Grant) []message.Grant {
	out := make([]message.Grant, 0, len(list))
	for _, p := range list {
		out = append(out, decodeGrant(p))
	}
	return out
}

func encodeResult(r outcome.Result) *wirepb.Result {
	return &wirepb.Result{
		State:     uint32(r.State()),
		Body:      r.Body(),
		Detail:    r.Detail(),
		RunTimeUs: r.RunTime().Microseconds(),
	}
}

func decodeResult(p *wirepb.Result) (outcome.Result, error) {
	state, err := decodeState(p.GetState())
	return outcome.Of(state, p.GetBody(), p.GetDetail(), time.Duration(p.GetRunTimeUs())*time.Microsecond), err
}

// decodeState returns an error for an unknown state of another version. Truncated to
// fewer bits, it could be mistaken for a state which says that nothing was started.
func decodeState(n uint32) (outcome.State, error) {
	if n > uint32(outcome.Revoked) {
		return 0, errors.Errorf("unknown state %d, the highest is %d", n, outcome.Revoked)
	}
	return outcome.State(n), nil
}

func unixMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func timeFromMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
