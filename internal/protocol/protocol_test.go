package protocol

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
)

// goodJob and goodHeartbeat are the examples of PROTOCOL.
const goodJob = `{"uid":"j-000412","lane":"train","desk":"vision","shape":"group","rank":"high","pieces":16,
"cores":8.0,"accelerators":1.0,"mem_gb":64.0,"bundle":"img-07","pull_gb":6.2,"builds":["g8"],"yard":null,
"together":true,"scatter":false,"loaners":true,"reckon_s":240.0,"bookmark_s":30.0,"stow_s":4.0,"due_s":900.0}`

const goodHeartbeat = `{"stall":"m-000231","addr":"10.1.0.232:9000","build":"g8","yard":"a","loaners":true,
"shift":1,"tally":88,"baton":41,"recall_s":null,"pieces":[{"piece":"j-000412/3","try":2,"stage":"running"}]}`

// replaced returns text with one part of it replaced; an empty old part changes nothing.
func replaced(t *testing.T, text, old, new string) string {
	t.Helper()
	if old == "" {
		return text
	}
	changed := strings.Replace(text, old, new, 1)
	if changed == text {
		t.Fatalf("replacing %q changes nothing", old)
	}
	return changed
}

// checkAccepted compares a parser's error with what is wanted of it.
func checkAccepted(t *testing.T, err error, accepted bool) {
	t.Helper()
	if (err == nil) != accepted {
		t.Errorf("error %v, want accepted: %v", err, accepted)
	}
	if err != nil && !errors.Is(err, ErrMalformed) {
		t.Errorf("error %v does not wrap ErrMalformed", err)
	}
}

func TestParseJob(t *testing.T) {
	for _, c := range []struct {
		name, old, new string
		accepted       bool
	}{
		{"as in PROTOCOL", "", "", true},
		{"unknown field", `"rank"`, `"new":[1],"rank"`, true},
		{"no machine types", `"builds":["g8"],`, "", true},
		{"no deadline", `,"due_s":900.0`, "", true},
		{"service", `"group"`, `"daemon"`, true},
		{"one task", `:16`, `:1`, true},
		{"most tasks", `:16`, `:100000`, true},
		{"too many tasks", `:16`, `:100001`, false},
		{"no tasks", `:16`, `:0`, false},
		{"fraction of a task", `:16`, `:1.5`, false},
		{"negative tasks", `:16`, `:-1`, false},
		{"tasks as text", `:16`, `:"16"`, false},
		{"no id", `"uid":"j-000412",`, "", false},
		{"id of another form", `j-000412`, `k-1`, false},
		{"id with a slash", `j-000412`, `j-1/2`, false},
		{"id without digits", `j-000412`, `j-`, false},
		{"id as number", `"j-000412"`, `412`, false},
		{"unknown kind", `"group"`, `"ring"`, false},
		{"unknown priority", `"high"`, `"top"`, false},
		{"negative cores", `"cores":8.0`, `"cores":-8`, false},
		{"NaN", `"cores":8.0`, `"cores":NaN`, false},
		{"infinite", `"mem_gb":64.0`, `"mem_gb":1e999`, false},
		{"no cores", `"cores":8.0,`, "", false},
		{"null cores", `"cores":8.0`, `"cores":null`, false},
		{"no zone spreading", `"scatter":false,`, "", false},
		{"no checkpoint interval", `"bookmark_s":30.0,`, "", false},
		{"no accelerators", `"accelerators":1.0,`, "", false},
		{"empty machine types", `["g8"]`, `[]`, false},
		{"machine types as text", `["g8"]`, `"g8"`, false},
		{"boolean as number", `"together":true`, `"together":1`, false},
		{"negative deadline", `900.0`, `-1`, false},
		{"an array", goodJob, `[]`, false},
		{"nothing", goodJob, ``, false},
		{"null", goodJob, `null`, false},
		{"two objects", goodJob, `{}{}`, false},
		{"cut off", goodJob, goodJob[:100], false},
	} {
		t.Run(c.name, func(t *testing.T) {
			job, err := ParseJob([]byte(replaced(t, goodJob, c.old, c.new)))
			checkAccepted(t, err, c.accepted)
			if err != nil {
				return
			}
			// Records hold jobs in the form of the wire.
			again, err := ParseJob(Encode(job))
			if err != nil || string(Encode(again)) != string(Encode(job)) {
				t.Errorf("error %v or a difference after a round trip", err)
			}
		})
	}
}

func TestRouteJobRequest(t *testing.T) {
	for _, c := range []struct {
		method, path  string
		requestType   RequestType
		id            JobID
		pathExists    bool
		methodAllowed bool
	}{
		{"POST", "/work", RequestSubmit, "", true, true},
		{"GET", "/work", RequestSubmit, "", true, false},
		{"GET", "/work/j-1", RequestQuery, "j-1", true, true},
		{"DELETE", "/work/j-1", RequestQuery, "j-1", true, false},
		{"POST", "/work/j-1/abort", RequestCancel, "j-1", true, true},
		{"GET", "/work/j-1/abort", RequestCancel, "j-1", true, false},
		{"GET", "/work/j-1/x", RequestQuery, "j-1/x", false, true},
		{"GET", "/workers", RequestUnknown, "", false, false},
		{"GET", "/", RequestUnknown, "", false, false},
	} {
		t.Run(c.method+" "+c.path, func(t *testing.T) {
			requestType, id, pathExists, methodAllowed := RouteJobRequest(c.method, c.path)
			if requestType != c.requestType || id != c.id || pathExists != c.pathExists || methodAllowed != c.methodAllowed {
				t.Errorf("got %v %q %v %v, want %+v", requestType, id, pathExists, methodAllowed, c)
			}
		})
	}
}

func TestParseHeartbeat(t *testing.T) {
	for _, c := range []struct {
		name, old, new string
		accepted       bool
	}{
		{"as in PROTOCOL", "", "", true},
		{"no tasks", `[{"piece":"j-000412/3","try":2,"stage":"running"}]`, `null`, true},
		{"preemption notice", `"recall_s":null`, `"recall_s":12.5`, true},
		{"negative preemption notice", `"recall_s":null`, `"recall_s":-1`, false},
		{"no agent epoch", `"shift":1`, `"shift":0`, false},
		{"negative agent epoch", `"shift":1`, `"shift":-1`, false},
		{"machine id of another form", `m-000231`, `x`, false},
		{"task without index", `j-000412/3`, `j-000412`, false},
		{"task index too large", `j-000412/3`, `j-000412/100000`, false},
		{"no machine type", `"build":"g8",`, ``, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseHeartbeat([]byte(replaced(t, goodHeartbeat, c.old, c.new)))
			checkAccepted(t, err, c.accepted)
		})
	}
}

// Messages must look as PROTOCOL writes them.
func TestWireForms(t *testing.T) {
	gracePeriodSeconds := 10.0
	taskCount := 3
	for _, c := range []struct {
		name    string
		message any
		want    string
	}{
		{
			"response to a heartbeat",
			&Commands{
				FencingToken: 41,
				Commands:     []Command{{Type: CommandStart, Task: Task{"j-000412", 4}, Attempt: 2}},
			},
			`{"baton":41,"orders":[{"verb":"start","piece":"j-000412/4","try":2}]}`,
		},
		{
			"direct command",
			&Commands{
				FencingToken: 41,
				AgentEpoch:   1,
				Commands: []Command{{
					Type:               CommandStop,
					Task:               Task{"j-000377", 1},
					Attempt:            1,
					GracePeriodSeconds: &gracePeriodSeconds,
				}},
			},
			`{"baton":41,"shift":1,"orders":[{"verb":"stop","piece":"j-000377/1","try":1,"wind_down_s":10}]}`,
		},
		{
			"redirect",
			Redirect{"stall-2"},
			`{"foreman":"stall-2"}`,
		},
		{
			"job status",
			JobStatus{ID: "j-1", State: JobRunning, DoneTasks: &taskCount, RunningTasks: &taskCount},
			`{"uid":"j-1","stage":"running","done":3,"running":3}`,
		},
		{
			"transaction",
			Transaction{
				Conditions: []Condition{{"a/b", 0}},
				Operations: []Operation{
					{PutKey: "a/b", Value: json.RawMessage(`{}`), Lease: 7},
					{DeleteKey: "c/d"},
				},
			},
			`{"when":[{"key":"a/b","stamp":0}],"then":[{"put":"a/b","data":{},"tenancy":7},{"delete":"c/d"}]}`,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := string(Encode(c.message)); got != c.want {
				t.Errorf("got %s\nwant %s", got, c.want)
			}
		})
	}
}

// Commands without any must be an empty list, and encoding leaves the message as it is.
func TestEncodeNoCommands(t *testing.T) {
	commands := &Commands{FencingToken: 41}
	const want = `{"baton":41,"orders":[]}`
	if got := string(commands.Encode()); got != want || commands.Commands != nil {
		t.Errorf("got %s, want %s; the message became %+v", got, want, commands)
	}
}

// What the cloud cannot mean is refused.
func TestParseMachineTypes(t *testing.T) {
	const good = `{"builds":[{"sku":"g8","cores":96,"accelerators":8,"mem_gb":768,"local_gb":200,"fetch_gb_per_s":1.0,
"rate":12.0,"low_price":4.5,"ready_s":45,"yards":["a","b"]}]}`
	for _, c := range []struct {
		name, old, new string
		accepted       bool
	}{
		{"as in PROTOCOL", "", "", true},
		{"unknown field", `"sku"`, `"new":1,"sku"`, true},
		{"none", good, `{"builds":[]}`, false},
		{"no name", `"g8"`, `""`, false},
		{"no zones", `["a","b"]`, `[]`, false},
		{"negative price", `"rate":12.0`, `"rate":-1`, false},
		{"boot time too large", `"ready_s":45`, `"ready_s":1e10`, false},
		{"not an object", good, `[]`, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseMachineTypes([]byte(replaced(t, good, c.old, c.new)))
			checkAccepted(t, err, c.accepted)
		})
	}
}
