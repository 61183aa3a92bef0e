package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
)

const validSettings = `
member = "stall-0"
area = "a"
listen = "127.0.0.1:8080"
back = "127.0.0.1:8081"
new_field = 3
[[members]]
member = "stall-1"
area = "b"
addr = "127.0.0.2:8081"
[outside]
cloud = "127.0.0.3:8443"
state = "127.0.0.3:2379"
[[params.teams]]
name = "core"
cpus = 0.0
cpus_max = 40.0
[params.workers]
report_s = 3.0
lease_s = 42.0
gang_wait_s = 40.0
gang_peer_s = 5.0
cancel_s = 72.0
[params.state]
rps = 100.0
write_rps = 40.0
value_kb = 8.0
txn_ops = 24
[params.cloud]
rps = 10.0
list_lag_s = 5.0
[params.resources]
memory_mb = 342.0
max_sockets = 4000
`

// writeFile writes a file in a temporary directory and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// The error of an invalid setting is one line that names the key.
func TestSettings(t *testing.T) {
	for _, test := range []struct{ name, old, new, wantKey string }{
		{"good", "", "", ""},
		{"no name", `member = "stall-0"`, ``, "member"},
		{"two controllers with one name", `"stall-1"`, `"stall-0"`, "members"},
		{"host name", `127.0.0.1:8080`, `localhost:8080`, "listen"},
		{"no port", `127.0.0.3:2379`, `127.0.0.3`, "outside.state"},
		{"no agent lease", `lease_s = 42.0`, ``, "params.workers.lease_s"},
		{"negative wait of gangs", `gang_wait_s = 40.0`, `gang_wait_s = -1.0`, "params.workers.gang_wait_s"},
		{"negative rate", `write_rps = 40.0`, `write_rps = -1.0`, "params.state.write_rps"},
		{"NaN", `list_lag_s = 5.0`, `list_lag_s = nan`, "params.cloud.list_lag_s"},
		{"wrong type", `txn_ops = 24`, `txn_ops = "24"`, "txn_ops"},
		{"negative team limit", `cpus_max = 40.0`, `cpus_max = -1.0`, "params.teams"},
		{
			"announced limit too small",
			`[params.cloud]`, "[params.state.next]\nvalue_kb = 0.5\n[params.cloud]", "params.state.next.value_kb",
		},
		{
			"announced limit of a wrong type",
			`[params.cloud]`, "[params.state.next]\ntxn_ops = 1.5\n[params.cloud]", "txn_ops",
		},
		{"not TOML", `[outside]`, `[outside`, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings, err := loadSettings(writeFile(t, "s.toml", strings.Replace(validSettings, test.old, test.new, 1)), "")
			if test.name == "good" {
				if err != nil || settings.core.Quotas["core"].MaxCores != 40 || len(settings.peerAddrs) != 1 ||
					settings.core.AgentLeaseTTL != 42*time.Second || settings.core.GangWaitTimeout != 40*time.Second {
					t.Errorf("settings %+v, error %v, want the values of the file and no error", settings, err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), test.wantKey) || strings.Contains(err.Error(), "\n") {
				t.Errorf("error %v, want one line that names %q", err, test.wantKey)
			}
		})
	}
}

// Valid properties replace the defaults, and the error of an invalid property names its key.
func TestProperties(t *testing.T) {
	settingsFile := writeFile(t, "s.toml", validSettings)
	for _, test := range []struct{ name, text, wantKey string }{
		{
			"good",
			"spot.window = 90s\nspot.cap=3\nwrite.share: 0.5\n# a comment\n" +
				"moves.recorded = true\nmoves.by-demand = 0.5\nadmin.listen = 127.0.0.1:8090\n",
			"",
		},
		{"duration without a unit", "spot.window = 90", "spot.window"},
		{"negative duration", "spot.window = -1s", "spot.window"},
		{"zero duration", "spot.window = 0s", "spot.window"},
		{"count that is no number", "spot.cap = many", "spot.cap"},
		{"negative count", "spot.cap = -1", "spot.cap"},
		{"number that is zero", "write.share = 0", "write.share"},
		{"number that is too large", "idle.factor = 101", "idle.factor"},
		{"unknown key", "spot.windw = 90s", "spot.windw"},
		{"boolean that is neither true nor false", "moves.recorded = perhaps", "moves.recorded"},
		{"fraction above one", "moves.by-demand = 1.5", "moves.by-demand"},
		{"address of all interfaces", "admin.listen = 0.0.0.0:8090", "admin.listen"},
		{"address without a host", "admin.listen = 8090", "admin.listen"},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings, err := loadSettings(settingsFile, writeFile(t, "p.properties", test.text))
			if test.wantKey == "" {
				if err != nil || settings.core.SpotPriceWindow != 90*time.Second ||
					settings.core.MaxSpotMachines != 3 || settings.core.WriteBudgetShare != 0.5 ||
					!settings.core.RecordTransfers || settings.core.RebalanceDemandWeight != 0.5 || settings.adminListen != "127.0.0.1:8090" {
					t.Errorf("settings %+v, error %v, want the values of the properties and no error", settings, err)
				}
			} else if err == nil || !strings.Contains(err.Error(), test.wantKey) {
				t.Errorf("%q: error %v, want one that names %q", test.text, err, test.wantKey)
			}
		})
	}
}

// Announced limits of the store are completed with the current limits. Without announced limits,
// AnnouncedLimits is nil.
func TestAnnouncedLimits(t *testing.T) {
	for _, test := range []struct {
		name, text string
		want       *step.WriteLimits
	}{
		{"no limits", "", nil},
		{"all limits and an unknown one", "[params.state.next]\nwrite_rps = 28.0\nvalue_kb = 2.0\ntxn_ops = 8\nlater = 1\n",
			&step.WriteLimits{WritesPerSecond: 28, TransactionOps: 8, ValueBytes: 2048}},
		{"one limit", "[params.state.next]\nvalue_kb = 2.0\n",
			&step.WriteLimits{WritesPerSecond: 40, TransactionOps: 24, ValueBytes: 2048}},
	} {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(validSettings, "[params.cloud]", test.text+"[params.cloud]", 1)
			settings, err := loadSettings(writeFile(t, "s.toml", text), "")
			if err != nil {
				t.Fatalf("%q: %v", test.text, err)
			}
			if got := settings.core.AnnouncedLimits; (got == nil) != (test.want == nil) || got != nil && *got != *test.want {
				t.Errorf("%q: announced limits %+v, want %+v", test.text, got, test.want)
			}
		})
	}
}
