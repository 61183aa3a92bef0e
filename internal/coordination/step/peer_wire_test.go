package step

import (
	"reflect"
	"testing"

	"tillerarch/internal/protocol"
)

// The conversion of a status to its wire form and back preserves the status. The wire form has the
// fields that every version in production knows.
func TestPeerStatusWire(t *testing.T) {
	status := PeerStatus{
		ControllerID:          "stall-1",
		StoreReachable:        true,
		Incarnation:           "stall-1#3",
		AcceptsShards:         true,
		MisdirectedHeartbeats: []MisdirectedHeartbeat{{Machine: "m-1", AgentEpoch: 2, Sequence: 9}},
		Revision:              12,
		CancelRequests:        []CancelRequest{{Job: "j-1", Revision: 11}},
		CancelAcks:            []protocol.JobID{"j-2"},
	}
	if got := status.Wire().Status(); !reflect.DeepEqual(got, status) {
		t.Errorf("status after conversion to the wire form and back is %+v, want %+v", got, status)
	}
	for _, test := range []struct {
		wire any
		want []string
	}{
		{wire: PeerStatusWire{}, want: []string{"Member", "StateOK", "Run", "Fit", "Seen", "Rev", "Intents", "Acks"}},
		{wire: misdirectedHeartbeatWire{}, want: []string{"Machine", "Session", "Tally"}},
		{wire: cancelIntentWire{}, want: []string{"Job", "Rev"}},
	} {
		wireType := reflect.TypeOf(test.wire)
		t.Run(wireType.Name(), func(t *testing.T) {
			var got []string
			for i := range wireType.NumField() {
				got = append(got, wireType.Field(i).Name)
			}
			if !reflect.DeepEqual(got, test.want) {
				t.Errorf("wire type has fields %v, want %v", got, test.want)
			}
		})
	}
}
