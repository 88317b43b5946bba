package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
)

const (
	// oddRequests is the number of requests with an id that is none, sent by oddClients
	// one after the other.
	oddRequests = 40_000
	oddClients  = 8
	// oddIDCharacters is the length of their ids, of characters that take three bytes in a
	// path; the heads are below maxHeaderBytes.
	oddIDCharacters = 5_000
)

// oddIDs sends jobs whose ids are no ids.
var oddIDs = scenario{
	size: size{
		entries:  2,
		agents:   3,
		memoryMB: 284,
		timeout:  deadline,
	},
	play: func(in *installation, trouble bool) (bool, error) {
		return judgeMemory(in, trouble, func(e *process, _ <-chan struct{}) {
			in.rec.note("%d clients send %s up to %d jobs, one after the other, with ids of %d characters", oddClients, e.name, oddRequests, oddIDCharacters)
			answers := map[string]int{}
			counting := newOwner()
			var clients sync.WaitGroup
			for c := range oddClients {
				clients.Add(1)
				go func() {
					defer clients.Done()
					client := &process{
						callers: e.callers,
						client:  &http.Client{},
					}
					for i := range oddRequests / oddClients {
						id := fmt.Sprintf("%d.%d.", c, i) + strings.Repeat("%01", oddIDCharacters)
						a := client.post(id, oneTask(20), deadline)
						// The answers quote the ids.
						status, _, _ := strings.Cut(a.kind(), " {")
						counting.call(func() { answers[status]++ })
						if a.err != nil {
							return
						}
					}
				}()
			}
			clients.Wait()
			for text, n := range answers {
				in.rec.note("%d odd jobs at %s: %s", n, e.name, text)
			}
		})
	},
}
