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

// The request was handled by an old version: its entry knew of a newer one, whose frames
// waited behind others.
func ExampleLog_Explain_configuration() {
	l := explain.New()
	err := l.Read(strings.NewReader(`
{"event":"config_changed","process":"entry_1","version":10,"source":"store","bytes":24000,"time":"2026-01-01T00:00:00.001Z"}
{"event":"config_changed","process":"entry_2","version":12,"source":"store","bytes":24000,"time":"2026-01-01T00:01:00.100Z"}
{"event":"send_delayed","process":"entry_1","peer":"agent_1","age_ms":260,"time":"2026-01-01T00:01:01.000Z"}
{"event":"config_behind","process":"entry_1","version":10,"newest":12,"source":"entry_2","time":"2026-01-01T00:01:02.000Z"}
{"event":"job_accepted","process":"entry_1","job":"5c0e","trace":"t1","version":10,"time":"2026-01-01T00:01:02.500Z"}
{"event":"config_caught_up","process":"entry_1","version":12,"behind_ms":900,"time":"2026-01-01T00:01:02.900Z"}
`))
	fmt.Println(err)
	for _, s := range l.Explain("t1") {
		fmt.Println(s)
	}
	// Output:
	// <nil>
	// 2026-01-01T00:00:00.001Z entry_1 config_changed bytes=24000 source=store version=10
	// 2026-01-01T00:01:01.000Z entry_1 send_delayed age_ms=260 peer=agent_1
	// 2026-01-01T00:01:02.000Z entry_1 config_behind newest=12 source=entry_2 version=10
	// 2026-01-01T00:01:02.500Z entry_1 job_accepted job=5c0e trace=t1 version=10
}

// The task was placed on one target and started on the next one of the same agent, which
// has another label.
func ExampleLog_Explain_target() {
	l := explain.New()
	err := l.Read(strings.NewReader(`
{"event":"target_seen","process":"agent_1","target":"i-1@100","address":"10.0.0.1:1","labels":["a"],"time":"2026-01-01T00:00:00.001Z"}
{"event":"target_seen","process":"agent_1","target":"i-2@900","address":"10.0.0.1:1","labels":["c"],"time":"2026-01-01T00:01:00.001Z"}
{"event":"target_seen","process":"entry_1","agent":"agent_1","target":"i-2@900","time":"2026-01-01T00:01:00.004Z"}
{"event":"task_placed","process":"entry_1","job":"5c0e","run":"5c0e.0.0.0#1","agent":"agent_1","target":"i-1@100","time":"2026-01-01T00:01:00.000Z"}
{"event":"run_started","process":"agent_1","run":"5c0e.0.0.0#1","target":"i-2@900","time":"2026-01-01T00:01:00.003Z"}
`))
	fmt.Println(err)
	for _, s := range l.Explain("5c0e") {
		fmt.Println(s)
	}
	// Output:
	// <nil>
	// 2026-01-01T00:00:00.001Z agent_1 target_seen address=10.0.0.1:1 labels=[a] target=i-1@100
	// 2026-01-01T00:01:00.000Z entry_1 task_placed agent=agent_1 job=5c0e run=5c0e.0.0.0#1 target=i-1@100
	// 2026-01-01T00:01:00.001Z agent_1 target_seen address=10.0.0.1:1 labels=[c] target=i-2@900
	// 2026-01-01T00:01:00.003Z agent_1 run_started run=5c0e.0.0.0#1 target=i-2@900
}

// A start reached an agent whose availability zone was evacuated a minute before, and its
// entry placed the task again.
func ExampleLog_Explain_evacuation() {
	l := explain.New()
	err := l.Read(strings.NewReader(`
{"event":"evacuation_began","process":"agent_1","zone":"zone_b","time":"2026-01-01T00:00:00.001Z"}
{"event":"evacuation_ended","process":"agent_1","zone":"zone_b","time":"2026-01-01T00:00:09.001Z"}
{"event":"evacuation_began","process":"agent_1","zone":"zone_a","source":"entry_2","time":"2026-01-01T00:00:10.001Z"}
{"event":"task_placed","process":"entry_1","job":"5c0e","run":"5c0e.0.0.0#1","agent":"agent_1","time":"2026-01-01T00:01:00.000Z"}
{"event":"run_refused","process":"agent_1","run":"5c0e.0.0.0#1","cause":"evacuated","time":"2026-01-01T00:01:00.001Z"}
`))
	fmt.Println(err)
	for _, s := range l.Explain("5c0e") {
		fmt.Println(s)
	}
	// Output:
	// <nil>
	// 2026-01-01T00:00:10.001Z agent_1 evacuation_began source=entry_2 zone=zone_a
	// 2026-01-01T00:01:00.000Z entry_1 task_placed agent=agent_1 job=5c0e run=5c0e.0.0.0#1
	// 2026-01-01T00:01:00.001Z agent_1 run_refused cause=evacuated run=5c0e.0.0.0#1
}
