package bookkeeping

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"tillerarch/internal/protocol"
)

// PageID names a page: "stall-0#7-3".
type PageID string

// Epoch counts the owners of a page. It is the high part of the tokens of all its
// machines, so that one change of the page fences off all earlier owners.
type Epoch uint64

// The low part of a token is the machine's own: a worker reports at once when
// its token rises, so a machine that is to start something soon gets a higher one.
const bumpBits = 20

// MaxBump is the most that the low part holds.
const MaxBump = 1<<bumpBits - 1

// FencingToken is the token of a machine in this epoch.
func (e Epoch) FencingToken(bump uint64) protocol.FencingToken {
	return protocol.FencingToken(uint64(e)<<bumpBits | bump)
}

// EpochOf is the epoch that a token belongs to.
func EpochOf(b protocol.FencingToken) Epoch { return Epoch(b >> bumpBits) }

// Machines are kept on pages, many to a key: where a thousand of them stand
// against 40 changes a second, a change for each would be the whole budget.
// One run owns all machines of a page, under one token, so that a takeover is
// one change however many machines there are.
type pageForm struct {
	Owner    Run      `json:"o"`
	Epoch    Epoch    `json:"b"`
	Machines []string `json:"m"` // a line each, see Line
	// Tasks that are done and that their jobs' records do not have yet: while
	// an array runs, its own record need not be written with every page.
	Done map[protocol.JobID]Ranges `json:"d,omitempty"`
}

// packedPageForm is a page in the packed encoding. Its machines are a string where the
// plain form has a list, so that a version which knows the plain form only reports an
// unreadable record instead of a page without machines.
type packedPageForm struct {
	Owner  Run    `json:"o"`
	Epoch  Epoch  `json:"b"`
	Packed string `json:"m"`
}

// EncodePage gives a page's plain written form.
func EncodePage(owner Run, epoch Epoch, lines []string, done map[protocol.JobID]Ranges) json.RawMessage {
	return JSON(pageForm{owner, epoch, lines, done})
}

// EncodePageAs gives a page's written form in a format.
func EncodePageAs(format Format, owner Run, epoch Epoch, lines []string, done map[protocol.JobID]Ranges) json.RawMessage {
	if format >= FormatPacked {
		return JSON(packedPageForm{owner, epoch, packPage(lines, done)})
	}
	return EncodePage(owner, epoch, lines, done)
}

// decodePage reads a page in any form.
func decodePage(data json.RawMessage) (f pageForm, format Format, err error) {
	var either struct {
		pageForm
		Machines json.RawMessage `json:"m"`
	}
	if err := json.Unmarshal(data, &either); err != nil {
		return f, FormatPlain, err
	}
	f = either.pageForm
	if len(either.Machines) > 0 && either.Machines[0] == '"' {
		var text string
		if err := json.Unmarshal(either.Machines, &text); err != nil {
			return f, FormatPacked, err
		}
		f.Machines, f.Done, err = unpackPage(text)
		return f, FormatPacked, err
	}
	if len(either.Machines) > 0 {
		err = json.Unmarshal(either.Machines, &f.Machines)
	}
	return f, FormatPlain, err
}

// Line gives a machine's written form: fields with a blank between them.
func (m *MachineRecord) Line(id protocol.MachineID) string {
	var b strings.Builder
	flags := ""
	for _, f := range []struct {
		on   bool
		name string
	}{{m.Spot, "l"}, {m.Releasing, "r"}, {m.Drain, "x"}} {
		if f.on {
			flags += f.name
		}
	}
	shift := strconv.FormatUint(uint64(m.Session), 10)
	if m.Bump > 0 {
		shift += "+" + strconv.FormatUint(m.Bump, 10)
	}
	b.WriteString(string(id))
	for _, s := range [...]string{url.QueryEscape(m.Addr), url.QueryEscape(string(m.Type)), url.QueryEscape(string(m.Zone)),
		strconv.FormatInt(int64(m.Since), 36), shift, flags} {
		b.WriteByte(' ')
		if s == "" {
			s = "-"
		}
		b.WriteString(s)
	}
	for i := range m.Assigned {
		a := &m.Assigned[i]
		fmt.Fprintf(&b, " %s.%d.%s", a.Job, a.Try, a.Tasks)
	}
	return b.String()
}

// parseLine reads a machine's written form.
func parseLine(line string) (id protocol.MachineID, m MachineRecord, err error) {
	f := strings.Split(line, " ")
	if len(f) < 7 {
		return "", m, fmt.Errorf("malformed machine %q", line)
	}
	var text [3]string
	for i := range text {
		if f[1+i] != "-" && err == nil {
			text[i], err = url.QueryUnescape(f[1+i])
		}
	}
	since, err1 := strconv.ParseInt(f[4], 36, 64)
	session, nth, bumped := strings.Cut(f[5], "+")
	shift, err2 := strconv.ParseUint(session, 10, 64)
	bump := uint64(0)
	if bumped && err2 == nil {
		bump, err2 = strconv.ParseUint(nth, 10, bumpBits)
	}
	id = protocol.MachineID(f[0])
	if err != nil || err1 != nil || err2 != nil || !id.Valid() {
		return "", m, fmt.Errorf("malformed machine %q", line)
	}
	m = MachineRecord{Addr: text[0], Type: protocol.Sku(text[1]), Zone: protocol.Zone(text[2]), Since: protocol.Millis(since), Session: protocol.Session(shift), Bump: bump,
		Spot: strings.Contains(f[6], "l"), Releasing: strings.Contains(f[6], "r"), Drain: strings.Contains(f[6], "x")}
	for _, s := range f[7:] {
		p := strings.Split(s, ".")
		if len(p) != 3 {
			return "", m, fmt.Errorf("malformed assignment %q", s)
		}
		try, err := strconv.ParseUint(p[1], 10, 64)
		a := Assigned{Job: protocol.JobID(p[0]), Try: protocol.Attempt(try)}
		if err != nil || !a.Job.Valid() || a.Tasks.UnmarshalText([]byte(p[2])) != nil || a.Tasks.IsZero() {
			return "", m, fmt.Errorf("malformed assignment %q", s)
		}
		m.Assigned = append(m.Assigned, a)
	}
	return id, m, nil
}
