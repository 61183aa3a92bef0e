package protocol

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
)

// validJob and validHeartbeat are the examples in the users' protocol document.
const validJob = `{"uid":"j-000412","lane":"train","desk":"vision","shape":"group","rank":"high","pieces":16,
"cores":8.0,"accelerators":1.0,"mem_gb":64.0,"bundle":"img-07","pull_gb":6.2,"builds":["g8"],"yard":null,
"together":true,"scatter":false,"loaners":true,"reckon_s":240.0,"bookmark_s":30.0,"stow_s":4.0,"due_s":900.0}`

const validHeartbeat = `{"stall":"m-000231","addr":"10.1.0.232:9000","build":"g8","yard":"a","loaners":true,
"shift":1,"tally":88,"baton":41,"recall_s":null,"pieces":[{"piece":"j-000412/3","try":2,"stage":"running"}]}`

// replaceOnce returns text with the first occurrence of old replaced by new. It returns text
// unchanged if old is empty, and fails the test if the replacement changes nothing.
func replaceOnce(t *testing.T, text, old, new string) string {
	t.Helper()
	if old == "" {
		return text
	}
	changed := strings.Replace(text, old, new, 1)
	if changed == text {
		t.Fatalf("replacing %q changes nothing, want a change", old)
	}
	return changed
}

// checkParseError checks that err is nil if the input is wanted to be accepted, and wraps
// ErrMalformed otherwise.
func checkParseError(t *testing.T, err error, wantAccepted bool) {
	t.Helper()
	if (err == nil) != wantAccepted {
		t.Errorf("got error %v, want the input to be accepted: %v", err, wantAccepted)
	}
	if err != nil && !errors.Is(err, ErrMalformed) {
		t.Errorf("got error %v, want one that wraps ErrMalformed", err)
	}
}

// A job must be rejected if a required field is missing or any field is malformed or out of range.
// Unknown fields must be ignored.
func TestParseJob(t *testing.T) {
	for _, test := range []struct {
		name, old, new string
		wantAccepted   bool
	}{
		{"valid", "", "", true},
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
		{"cores NaN", `"cores":8.0`, `"cores":NaN`, false},
		{"infinite memory", `"mem_gb":64.0`, `"mem_gb":1e999`, false},
		{"no cores", `"cores":8.0,`, "", false},
		{"null cores", `"cores":8.0`, `"cores":null`, false},
		{"no zone spreading", `"scatter":false,`, "", false},
		{"no checkpoint interval", `"bookmark_s":30.0,`, "", false},
		{"no accelerators", `"accelerators":1.0,`, "", false},
		{"empty machine types", `["g8"]`, `[]`, false},
		{"machine types as text", `["g8"]`, `"g8"`, false},
		{"boolean as number", `"together":true`, `"together":1`, false},
		{"negative deadline", `900.0`, `-1`, false},
		{"array in place of the object", validJob, `[]`, false},
		{"empty body", validJob, ``, false},
		{"null in place of the object", validJob, `null`, false},
		{"two objects", validJob, `{}{}`, false},
		{"truncated object", validJob, validJob[:100], false},
	} {
		t.Run(test.name, func(t *testing.T) {
			job, err := ParseJob([]byte(replaceOnce(t, validJob, test.old, test.new)))
			checkParseError(t, err, test.wantAccepted)
			if err != nil {
				return
			}
			// Records contain jobs in their wire form.
			reparsed, err := ParseJob(Encode(job))
			if err != nil || string(Encode(reparsed)) != string(Encode(job)) {
				t.Errorf("got error %v or a different job after a round trip, want the same job", err)
			}
		})
	}
}

// A path that does not exist must be distinguished from a method that the path does not allow.
func TestRouteJobRequest(t *testing.T) {
	for _, test := range []struct {
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
		t.Run(test.method+" "+test.path, func(t *testing.T) {
			requestType, id, pathExists, methodAllowed := RouteJobRequest(test.method, test.path)
			if requestType != test.requestType || id != test.id ||
				pathExists != test.pathExists || methodAllowed != test.methodAllowed {
				t.Errorf("got request type %v, ID %q, path exists %v, method allowed %v, want %+v",
					requestType, id, pathExists, methodAllowed, test)
			}
		})
	}
}

// A heartbeat must be rejected if its agent epoch, preemption notice, task or machine ID is impossible,
// or if it has no machine type.
func TestParseHeartbeat(t *testing.T) {
	for _, test := range []struct {
		name, old, new string
		wantAccepted   bool
	}{
		{"valid", "", "", true},
		{"no tasks", `[{"piece":"j-000412/3","try":2,"stage":"running"}]`, `null`, true},
		{"preemption notice", `"recall_s":null`, `"recall_s":12.5`, true},
		{"negative preemption notice", `"recall_s":null`, `"recall_s":-1`, false},
		{"agent epoch 0", `"shift":1`, `"shift":0`, false},
		{"negative agent epoch", `"shift":1`, `"shift":-1`, false},
		{"machine id of another form", `m-000231`, `x`, false},
		{"task without index", `j-000412/3`, `j-000412`, false},
		{"task index too large", `j-000412/3`, `j-000412/100000`, false},
		{"no machine type", `"build":"g8",`, ``, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := ParseHeartbeat([]byte(replaceOnce(t, validHeartbeat, test.old, test.new)))
			checkParseError(t, err, test.wantAccepted)
		})
	}
}

// Messages must have the wire form that the users' protocol document shows.
func TestWireForms(t *testing.T) {
	gracePeriodSeconds := 10.0
	taskCount := 3
	for _, test := range []struct {
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
			JobStatus{ID: "j-1", State: JobRunning, CompletedTasks: &taskCount, RunningTasks: &taskCount},
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
		t.Run(test.name, func(t *testing.T) {
			if got := string(Encode(test.message)); got != test.want {
				t.Errorf("got %s\nwant %s", got, test.want)
			}
		})
	}
}

// A nil list of commands must be encoded as an empty list, and encoding must not change the
// message.
func TestEncodeNoCommands(t *testing.T) {
	commands := &Commands{FencingToken: 41}
	const want = `{"baton":41,"orders":[]}`
	if got := string(commands.Encode()); got != want || commands.Commands != nil {
		t.Errorf("got %s, want %s; message after encoding: %+v, want nil Commands", got, want, commands)
	}
}

// A list with an impossible machine type must be rejected.
func TestParseMachineTypes(t *testing.T) {
	const validList = `{"builds":[{"sku":"g8","cores":96,"accelerators":8,"mem_gb":768,"local_gb":200,"fetch_gb_per_s":1.0,
"rate":12.0,"low_price":4.5,"ready_s":45,"yards":["a","b"]}]}`
	for _, test := range []struct {
		name, old, new string
		wantAccepted   bool
	}{
		{"valid", "", "", true},
		{"unknown field", `"sku"`, `"new":1,"sku"`, true},
		{"no machine types", validList, `{"builds":[]}`, false},
		{"no name", `"g8"`, `""`, false},
		{"no zones", `["a","b"]`, `[]`, false},
		{"negative price", `"rate":12.0`, `"rate":-1`, false},
		{"boot time too large", `"ready_s":45`, `"ready_s":1e10`, false},
		{"not an object", validList, `[]`, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := ParseMachineTypes([]byte(replaceOnce(t, validList, test.old, test.new)))
			checkParseError(t, err, test.wantAccepted)
		})
	}
}
