package service

import (
	"bytes"
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/role/publisher"
)

// The store keys of the audit log: the open segment, and the prefix of the full
// segments, which the segment's number follows.
const (
	auditKey      = "config/audit/open"
	segmentPrefix = "config/audit/segment/"
)

func segmentKey(n uint64) string {
	return segmentPrefix + strconv.FormatUint(n, 10)
}

type auditDocument struct {
	Segment uint64           `json:"segment"`
	Pruned  uint64           `json:"pruned"`
	Records []recordDocument `json:"records"`
}

type recordDocument struct {
	Operator  string `json:"who"`
	EndedAtMS int64  `json:"when_ms"`
	Key       string `json:"key"`
	Base      uint64 `json:"base"`
	Version   uint64 `json:"version,omitempty"`
	Result    string `json:"result"`
}

func encodeAudit(a publisher.Audit) ([]byte, error) {
	d := auditDocument{
		Segment: a.Segment(),
		Pruned:  a.Pruned(),
	}
	for _, r := range a.Records() {
		d.Records = append(d.Records, recordDocument{
			Operator:  r.Operator(),
			EndedAtMS: r.EndedAt().UnixMilli(),
			Key:       r.Key(),
			Base:      r.Base(),
			Version:   r.Version(),
			Result:    r.State().String(),
		})
	}
	data, err := json.Marshal(d)
	return data, errors.Wrap(err, "encode audit log")
}

func decodeAudit(data []byte) (publisher.Audit, error) {
	var d auditDocument
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return publisher.Audit{}, errors.Wrap(err, "decode audit")
	}
	var records []publisher.Record
	for _, r := range d.Records {
		state, ok := publisher.ParseState(r.Result)
		if !ok {
			return publisher.Audit{}, errors.Errorf("audit has result %q, which is not known", r.Result)
		}
		records = append(records, publisher.NewRecord(r.Operator, time.UnixMilli(r.EndedAtMS), r.Key, r.Base, r.Version, state))
	}
	return publisher.NewAudit(d.Segment, d.Pruned, records), nil
}
