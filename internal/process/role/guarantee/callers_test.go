package guarantee

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/role/entry"
	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/request/job"
)

// respond passes the answer of a pending attempt to the oracle.
func (c *cluster) respond(r entry.Respond) {
	a, ok := c.pending[r.Request()]
	if !ok {
		return
	}
	delete(c.pending, r.Request())
	var results []string
	for _, b := range r.Answer().Results() {
		results = append(results, string(b))
	}
	switch r.Answer().State() {
	case answer.Complete:
		c.completeAnswers++
	case answer.Running:
		c.runningAnswers++
	}
	c.oracle.answer(a.submission.String(), r.Answer().State().String(), r.Answer().NotRun(), results)
}

// newKey returns a UUIDv7 with the given time. A counter makes it unique.
func (c *cluster) newKey(at time.Time) uuid.UUID {
	c.lastKey++
	var k uuid.UUID
	binary.BigEndian.PutUint64(k[0:8], uint64(at.UnixMilli())<<16)
	binary.BigEndian.PutUint64(k[8:16], c.lastKey)
	k[6] = 0x70 | k[6]&0x0f
	k[8] = 0x80 | k[8]&0x3f
	return k
}

// submit sends an attempt to the entry at index e of the nodes.
func (c *cluster) submit(e int, a attempt) {
	c.lastRequest++
	c.pending[c.lastRequest] = a
	c.oracle.submit(a.submission.String(), a.width)
	n := c.nodes[e]
	n.inbox = append(n.inbox, entry.NewSubmit(c.lastRequest, a.order, c.now.Add(20*time.Second)))
}

// newJob returns the first attempt of a new job. Its key is skew ahead of the
// clock.
func (c *cluster) newJob(width int, skew time.Duration) attempt {
	s := must(identity.SubmissionOf("team", c.newKey(c.now.Add(skew))))
	payloads := make([][]byte, width)
	for i := range payloads {
		payloads[i] = []byte{byte(i)}
	}
	a := attempt{
		submission: s,
		width:      width,
		order:      must(job.NewOrder(s, "kind", time.Time{}, payloads)),
	}
	c.submitted = append(c.submitted, a)
	return a
}
