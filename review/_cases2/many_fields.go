package main

import (
	"fmt"
	"net"
	"strings"
	"time"
)

const (
	// crowdConnections is the number of clients, openPause the pause between two of them.
	crowdConnections = 1100
	openPause        = time.Millisecond
	// headBytes is the size of their heads, below maxHeaderBytes.
	headBytes = 16_000
	// stayTime is how long the connections stay open.
	stayTime = 4 * time.Second
	// nameCharacters may stand in the name of a field; letters of the other case are the
	// same name.
	nameCharacters = "abcdefghijklmnopqrstuvwxyz0123456789!#$&'*+-.^_`|~"
)

// manyFields sends requests with heads of legal size and many fields, which stop just
// short of the end of their bodies and stay open.
var manyFields = scenario{
	size: size{
		entries:  2,
		agents:   3,
		memoryMB: 284,
		timeout:  deadline,
	},
	play: func(in *installation, trouble bool) (bool, error) {
		return judgeMemory(in, trouble, func(e *process, ended <-chan struct{}) {
			fields, n := manyNames()
			body := oneTask(20)
			in.rec.note("%d clients send %s a head of %d bytes with %d fields, of at most %d bytes, and a body that lacks its last byte",
				crowdConnections, e.name, headBytes, n, maxHeaderBytes)
			var open []net.Conn
			defer func() {
				for _, c := range open {
					_ = c.Close()
				}
			}()
			for i := range crowdConnections {
				pause(openPause)
				if isClosed(ended) {
					return
				}
				c, err := net.Dial("tcp", e.callers)
				if err != nil {
					return
				}
				open = append(open, c)
				head := headStart(fmt.Sprintf("f1e1d%011x", i), len(body)) + fields + "\r\n"
				if _, err := c.Write([]byte(head + body[:len(body)-1])); err != nil {
					return
				}
			}
			in.rec.note("%d connections to %s are open", len(open), e.name)
			select {
			case <-ended:
			case <-time.After(stayTime):
			}
		})
	},
}

func headStart(job string, bodyBytes int) string {
	return fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n", routePrefix, job, routeHost, bodyBytes)
}

// manyNames returns as many fields with different names as fit into a head, and their
// number.
func manyNames() (string, int) {
	room := headBytes - len(headStart(strings.Repeat("0", 16), 999)) - len("\r\n")
	var fields strings.Builder
	n := 0
	for _, end := range []string{"", "x"} {
		for _, a := range nameCharacters {
			for _, b := range nameCharacters {
				f := string(a) + string(b) + end + ":\r\n"
				if fields.Len()+len(f) > room {
					return fields.String(), n
				}
				fields.WriteString(f)
				n++
			}
		}
	}
	return fields.String(), n
}
