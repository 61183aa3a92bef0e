package simulation

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Controllers of the version in production are played by cores of this one that are told
// nothing of new limits, and whose records are stripped of what that version does not
// write. What they are given to read is checked against the formats of that version.

// oldPage and oldJob are the records as the version in production reads them.
type (
	oldPage struct {
		Owner    string            `json:"o"`
		Epoch    uint64            `json:"b"`
		Machines []string          `json:"m"`
		Done     map[string]string `json:"d"`
	}
	oldJob struct {
		Desc        json.RawMessage `json:"d"`
		Stage       string          `json:"s"`
		Claim       string          `json:"c"`
		Next        uint64          `json:"n"`
		Done        string          `json:"v"`
		Halt        uint64          `json:"h"`
		Room        []string        `json:"m"`
		Sent        int64           `json:"t"`
		Withdrawing bool            `json:"w"`
		OffAt       int64           `json:"o"`
		Count       int             `json:"k"`
	}
	oldMember struct {
		Run   string `json:"r"`
		Fence int    `json:"f"`
	}
)

// oldFormat reads a record as the version in production does, strictly: a field that it
// does not know would be lost when it writes the record again.
func oldFormat(key string, data json.RawMessage) error {
	strict := func(v any) error {
		d := json.NewDecoder(bytes.NewReader(data))
		d.DisallowUnknownFields()
		return d.Decode(v)
	}
	switch {
	case strings.HasPrefix(key, storage.ShardKey("")):
		var p oldPage
		if err := strict(&p); err != nil {
			return err
		}
		for _, line := range p.Machines {
			if len(strings.Split(line, " ")) < 7 {
				return fmt.Errorf("machine %q", line)
			}
		}
		for _, ranges := range p.Done {
			if strings.Trim(ranges, "0123456789,-") != "" {
				return fmt.Errorf("done tasks %q", ranges)
			}
		}
		return nil
	case strings.HasPrefix(key, storage.JobKey("")):
		var j oldJob
		if err := strict(&j); err != nil {
			return err
		}
		if strings.Trim(j.Done, "0123456789,-") != "" || j.Stage == "" && len(j.Desc) == 0 {
			return fmt.Errorf("job %s", data)
		}
		return nil
	}
	return nil
}

// asWritten is a transaction as the controller's version writes it.
func (n *Node) asWritten(m protocol.Transaction) protocol.Transaction {
	if !n.Old {
		return m
	}
	then := append([]protocol.Operation(nil), m.Operations...)
	for i := range then {
		if !strings.HasPrefix(then[i].PutKey, storage.ControllerKey("")) {
			continue
		}
		var old oldMember
		if err := json.Unmarshal(then[i].Value, &old); err != nil {
			panic(err)
		}
		then[i].Value = protocol.Encode(old)
	}
	m.Operations = then
	return m
}

// sees checks a record that a controller of the version in production is given, and
// tells whether that version takes it in.
func (n *Node) sees(key string, data json.RawMessage) bool {
	if !n.Old {
		return true
	}
	if err := oldFormat(key, data); err != nil {
		n.w.Rules.broken("unreadable", "%s for %s of the version in production: %v", key, n.Member, err)
		return false
	}
	return key != storage.FormatKey && !strings.HasPrefix(key, storage.TransferKey("")) && !strings.HasPrefix(key, storage.DrainKey(""))
}

// asRead is what the controller's version takes in of all records.
func (n *Node) asRead(items []protocol.Entry) (out []protocol.Entry) {
	for _, i := range items {
		if n.sees(i.Key, i.Value) {
			out = append(out, i)
		}
	}
	return out
}

// newsAsRead is what the controller's version takes in of changes.
func (n *Node) newsAsRead(news []protocol.Event) (out []protocol.Event) {
	for _, c := range news {
		if c.PutKey == "" || n.sees(c.PutKey, c.Value) {
			out = append(out, c)
		}
	}
	return out
}

// Upgrade ends the controller at a time and starts it again with the new version after
// a while.
func (n *Node) Upgrade(at, away time.Duration) {
	n.w.At(at, func() {
		n.Kill()
		n.Old = false
	})
	n.w.At(at+away, n.Start)
}
