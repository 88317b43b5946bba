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
	// oddIDBytes is the length of their ids; the heads are below maxHeaderBytes.
	oddIDBytes = 15_000
)

// oddIDs sends jobs whose ids are no ids.
var oddIDs = scenario{
	size: size{
		entries:  1,
		agents:   3,
		memoryMB: 284,
		timeout:  deadline,
	},
	play: func(in *installation, trouble bool) (bool, error) {
		return judgeMemory(in, trouble, func(e *process) error {
			in.rec.note("%d clients send up to %d jobs, one after the other, with ids of %d bytes", oddClients, oddRequests, oddIDBytes)
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
						id := fmt.Sprintf("%d.%d.%s", c, i, strings.Repeat("0", oddIDBytes))
						a := client.post(id, oneTask(20), deadline)
						counting.call(func() { answers[a.kind()]++ })
						if a.err != nil {
							return
						}
					}
				}()
			}
			clients.Wait()
			for text, n := range answers {
				in.rec.note("%d odd jobs: %s", n, text)
			}
			return nil
		})
	},
}
