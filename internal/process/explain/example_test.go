package explain_test

import (
	"fmt"
	"strings"

	"greengagedoor.example/greengagedoor/internal/process/explain"
)

func ExampleLog_Explain() {
	l := explain.New()
	err := l.Read(strings.NewReader(`
{"event":"run_refused","process":"agent_1","run":"5c0e.0.0.1#1","cause":"no_room","time":"2026-01-01T00:00:00.002Z"}
entry_1 | {"event":"job_accepted","process":"entry_1","job":"5c0e","trace":"t1","time":"2026-01-01T00:00:00.001Z"}
{"event":"job_accepted","process":"entry_1","job":"77aa","trace":"t2","time":"2026-01-01T00:00:00.001Z"}
not a line of ours
`))
	fmt.Println(err)
	for _, s := range l.Explain("t1") {
		fmt.Println(s)
	}
	// Output:
	// <nil>
	// 2026-01-01T00:00:00.001Z entry_1 job_accepted job=5c0e trace=t1
	// 2026-01-01T00:00:00.002Z agent_1 run_refused cause=no_room run=5c0e.0.0.1#1
}
