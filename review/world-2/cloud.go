package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// MachineType is a machine type of the cloud, in the words of the wire.
type MachineType struct {
	Sku          string   `json:"sku"`
	Cores        float64  `json:"cores"`
	Accelerators float64  `json:"accelerators"`
	MemGB        float64  `json:"mem_gb"`
	LocalGB      float64  `json:"local_gb"`
	FetchGBps    float64  `json:"fetch_gb_per_s"`
	Rate         float64  `json:"rate"`
	LowPrice     float64  `json:"low_price"`
	ReadyS       float64  `json:"ready_s"`
	Yards        []string `json:"yards"`
}

type pool struct {
	sku, yard string
	spot      bool
}

// Machine is a machine of the cloud, with its worker once it is up.
type Machine struct {
	id, addr string
	typ      *MachineType
	pool     pool
	hired    time.Time
	upAt     time.Time // zero: never comes up
	goneAt   time.Time // deleted or taken
	diedAt   time.Time
	worker   *Worker
}

// Cloud is the stand-in of the cloud.
type Cloud struct {
	w        *World
	mu       sync.Mutex
	machines []*Machine
	byID     map[string]*Machine
	hires    map[string][]string
	capacity map[pool]int
	requests bucket
	boot     func(*Machine) time.Duration // nil: the type's ready_s
}

func newCloud(w *World) *Cloud {
	c := &Cloud{w: w, byID: map[string]*Machine{}, hires: map[string][]string{}, capacity: map[pool]int{}}
	c.requests = bucket{rate: w.cfg.CloudRPS, tokens: 2 * w.cfg.CloudRPS, at: time.Now()}
	return c
}

func (c *Cloud) typeOf(sku string) *MachineType {
	for i := range c.w.cfg.Types {
		if c.w.cfg.Types[i].Sku == sku {
			return &c.w.cfg.Types[i]
		}
	}
	return nil
}

// add rents a machine. The caller holds c.mu.
func (c *Cloud) add(p pool, bootTime time.Duration) *Machine {
	m := &Machine{id: fmt.Sprintf("m-%06d", len(c.machines)+1), typ: c.typeOf(p.sku), pool: p, hired: time.Now()}
	c.machines = append(c.machines, m)
	c.byID[m.id] = m
	m.worker = newWorker(c.w, m)
	if bootTime >= 0 {
		m.upAt = m.hired.Add(bootTime)
		time.AfterFunc(bootTime, func() {
			c.mu.Lock()
			alive := m.goneAt.IsZero() && m.diedAt.IsZero()
			c.mu.Unlock()
			if alive {
				c.w.log("machine %s (%s, %s) is up", m.id, p.sku, p.yard)
				m.worker.begin()
			}
		})
	}
	return m
}

// addUp adds a machine that is up at the start of the run.
func (c *Cloud) addUp(sku, yard string) *Machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.add(pool{sku, yard, false}, 0)
	m.hired = m.hired.Add(-10 * time.Minute)
	return m
}

func (c *Cloud) rented(p pool) int {
	n := 0
	for _, m := range c.machines {
		if m.pool == p && m.goneAt.IsZero() {
			n++
		}
	}
	return n
}

// die makes a machine stop with all that is on it.
func (c *Cloud) die(m *Machine) {
	c.mu.Lock()
	m.diedAt = time.Now()
	c.mu.Unlock()
	c.w.log("trouble: machine %s (%s) stops with all that is on it", m.id, m.pool.yard)
	m.worker.end("machine died")
}

func (c *Cloud) handler() http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(io.LimitReader(r.Body, 64<<10))
		time.Sleep(80 * time.Millisecond)
		c.mu.Lock()
		defer c.mu.Unlock()
		// bursts of two seconds' worth
		now := time.Now()
		c.requests.tokens = min(2*c.requests.rate, c.requests.tokens+c.requests.rate*now.Sub(c.requests.at).Seconds())
		c.requests.at = now
		if c.requests.tokens < 1 {
			reply(rw, 429, obj{})
			return
		}
		c.requests.tokens--
		switch {
		case r.Method == "GET" && r.URL.Path == "/flavors":
			reply(rw, 200, obj{"builds": c.w.cfg.Types})
		case r.Method == "POST" && r.URL.Path == "/hosts":
			c.hire(rw, body)
		case r.Method == "POST" && r.URL.Path == "/hosts/release":
			c.release(rw, body)
		case r.Method == "GET" && r.URL.Path == "/hosts":
			c.list(rw, r)
		default:
			reply(rw, 400, obj{})
		}
	})
}

func (c *Cloud) hire(rw http.ResponseWriter, body []byte) {
	var in struct {
		Hire    string `json:"hire"`
		Build   string `json:"build"`
		Yard    string `json:"yard"`
		Loaners bool   `json:"loaners"`
		Count   int    `json:"count"`
	}
	if json.Unmarshal(body, &in) != nil || in.Count < 1 || in.Count > 50 || c.typeOf(in.Build) == nil {
		reply(rw, 400, obj{})
		return
	}
	if ids, ok := c.hires[in.Hire]; ok {
		reply(rw, 200, obj{"stalls": ids})
		return
	}
	p := pool{in.Build, in.Yard, in.Loaners}
	n := min(in.Count, c.capacity[p]-c.rented(p))
	if n <= 0 {
		c.w.log("cloud: hire %s %d %s in %s: no capacity", in.Hire, in.Count, in.Build, in.Yard)
		reply(rw, 503, obj{"error": "no capacity"})
		return
	}
	var ids []string
	for range n {
		boot := time.Duration(c.typeOf(in.Build).ReadyS * float64(time.Second))
		if c.boot != nil {
			boot = c.boot(&Machine{typ: c.typeOf(in.Build), pool: p})
		}
		ids = append(ids, c.add(p, boot).id)
	}
	c.hires[in.Hire] = ids
	c.w.log("cloud: hire %s %d %s in %s (spot %v): %v", in.Hire, in.Count, in.Build, in.Yard, in.Loaners, ids)
	reply(rw, 200, obj{"stalls": ids})
}

func (c *Cloud) release(rw http.ResponseWriter, body []byte) {
	var in struct {
		Stalls []string `json:"stalls"`
	}
	if json.Unmarshal(body, &in) != nil || len(in.Stalls) > 100 {
		reply(rw, 400, obj{})
		return
	}
	for _, id := range in.Stalls {
		if m := c.byID[id]; m != nil && m.goneAt.IsZero() {
			m.goneAt = time.Now()
			m.worker.end("machine deleted")
		}
	}
	c.w.log("cloud: released %v", in.Stalls)
	reply(rw, 200, obj{})
}

// list answers with the machines as of list_lag_s ago.
func (c *Cloud) list(rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	page, err := strconv.Atoi(q.Get("page"))
	if err != nil || page < 1 || page > 500 {
		page = 500
	}
	view := time.Now().Add(-time.Duration(c.w.cfg.ListLagS * float64(time.Second)))
	items, more := []obj{}, false
	i := sort.Search(len(c.machines), func(i int) bool { return c.machines[i].id > q.Get("from") })
	for ; i < len(c.machines); i++ {
		m := c.machines[i]
		if m.hired.After(view) || !m.goneAt.IsZero() && m.goneAt.Before(view) {
			continue
		}
		if len(items) == page {
			more = true
			break
		}
		stage := "starting"
		if !m.upAt.IsZero() && m.upAt.Before(view) {
			stage = "running"
		}
		if !m.diedAt.IsZero() && m.diedAt.Add(30*time.Second).Before(view) {
			stage = "failed"
		}
		items = append(items, obj{"uid": m.id, "addr": m.addr, "build": m.pool.sku, "yard": m.pool.yard,
			"loaners": m.pool.spot, "stage": stage, "age_s": view.Sub(m.hired).Seconds()})
	}
	reply(rw, 200, obj{"stalls": items, "more": more})
}
