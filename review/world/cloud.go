package world

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Flavor is a machine type.
type Flavor struct {
	Name     string   `json:"sku"`
	Cores    float64  `json:"cores"`
	Accel    float64  `json:"accelerators"`
	MemGB    float64  `json:"mem_gb"`
	LocalGB  float64  `json:"local_gb"`
	FetchGB  float64  `json:"fetch_gb_per_s"`
	Rate     float64  `json:"rate"`
	LowPrice float64  `json:"low_price"`
	ReadyS   float64  `json:"ready_s"`
	Yards    []string `json:"yards"`
}

type host struct {
	id, addr, flavor, yard string
	spot                   bool
	rentedAt               time.Time
	readyAt                time.Time
	worker                 *Worker
	goneAt                 time.Time // zero while rented
}

// Cloud rents machines.
type Cloud struct {
	world   *World
	mu      sync.Mutex
	flavors []Flavor
	hosts   map[string]*host
	order   []string
	hires   map[string][]string
	next    int
	lag     time.Duration
	tokens  float64
	rps     float64
	last    time.Time
	// Capacity is the number of ordinary machines of a flavor in a yard, key "flavor/yard"; spot
	// machines have none.
	Capacity map[string]int
}

func newCloud(world *World, flavors []Flavor, rps float64, lag time.Duration) *Cloud {
	return &Cloud{world: world, flavors: flavors, hosts: map[string]*host{}, hires: map[string][]string{},
		lag: lag, rps: rps, tokens: 2 * rps, last: time.Now(), Capacity: map[string]int{}}
}

func (c *Cloud) flavor(name string) *Flavor {
	for i := range c.flavors {
		if c.flavors[i].Name == name {
			return &c.flavors[i]
		}
	}
	return nil
}

// AddUp adds machines that are up at the start.
func (c *Cloud) AddUp(flavor, yard string, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range count {
		c.add(flavor, yard, false, time.Minute, 0)
	}
}

func (c *Cloud) add(flavor, yard string, spot bool, age, boot time.Duration) string {
	c.next++
	h := &host{id: fmt.Sprintf("m-%06d", c.next), flavor: flavor, yard: yard, spot: spot,
		rentedAt: time.Now().Add(-age), readyAt: time.Now().Add(boot)}
	c.hosts[h.id] = h
	c.order = append(c.order, h.id)
	h.worker = newWorker(c.world, h.id, *c.flavor(flavor), yard, spot)
	h.addr = h.worker.addr
	time.AfterFunc(boot, func() {
		c.mu.Lock()
		gone := !h.goneAt.IsZero()
		c.mu.Unlock()
		if !gone {
			h.worker.start()
		}
	})
	return h.id
}

func (c *Cloud) used(flavor, yard string) (n int) {
	for _, h := range c.hosts {
		if h.goneAt.IsZero() && h.flavor == flavor && h.yard == yard {
			n++
		}
	}
	return n
}

// Release ends machines.
func (c *Cloud) Release(ids []string, why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		if h := c.hosts[id]; h != nil && h.goneAt.IsZero() {
			h.goneAt = time.Now()
			h.worker.destroy()
			c.world.Rec.Printf("cloud: %s is gone (%s)", id, why)
		}
	}
}

func (c *Cloud) serve() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go http.Serve(listener, http.HandlerFunc(c.handle))
	return listener.Addr().String(), nil
}

func (c *Cloud) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(80 * time.Millisecond)
	c.mu.Lock()
	now := time.Now()
	c.tokens = min(c.tokens+now.Sub(c.last).Seconds()*c.rps, 2*c.rps)
	c.last = now
	if c.tokens < 1 {
		c.mu.Unlock()
		reply(w, 429, object{"error": "too many requests"})
		return
	}
	c.tokens--
	if r.Method == "POST" && r.URL.Path == "/hosts/release" {
		c.mu.Unlock()
		var request struct{ Stalls []string }
		if json.Unmarshal(body, &request) != nil || len(request.Stalls) > 100 {
			reply(w, 400, object{"error": "malformed"})
			return
		}
		c.Release(request.Stalls, "returned")
		reply(w, 200, object{})
		return
	}
	defer c.mu.Unlock()
	switch {
	case r.Method == "GET" && r.URL.Path == "/flavors":
		reply(w, 200, object{"builds": c.flavors})
	case r.Method == "GET" && r.URL.Path == "/hosts":
		c.list(w, r)
	case r.Method == "POST" && r.URL.Path == "/hosts":
		c.rent(w, body)
	default:
		reply(w, 400, object{"error": "malformed"})
	}
}

func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	asOf := time.Now().Add(-c.lag)
	page, _ := strconv.Atoi(r.URL.Query().Get("page"))
	if page <= 0 || page > 500 {
		page = 500
	}
	ids := append([]string(nil), c.order...)
	sort.Strings(ids)
	stalls, more := []object{}, false
	for _, id := range ids {
		h := c.hosts[id]
		if id <= r.URL.Query().Get("from") || h.rentedAt.After(asOf) || !h.goneAt.IsZero() && h.goneAt.Before(asOf) {
			continue
		}
		if len(stalls) >= page {
			more = true
			break
		}
		stage := "running"
		if h.readyAt.After(asOf) {
			stage = "starting"
		}
		stalls = append(stalls, object{"uid": id, "addr": h.addr, "build": h.flavor, "yard": h.yard, "loaners": h.spot,
			"stage": stage, "age_s": asOf.Sub(h.rentedAt).Seconds()})
	}
	reply(w, 200, object{"stalls": stalls, "more": more})
}

func (c *Cloud) rent(w http.ResponseWriter, body []byte) {
	var request struct {
		Hire, Build, Yard string
		Loaners           bool
		Count             int
	}
	if json.Unmarshal(body, &request) != nil || request.Hire == "" || c.flavor(request.Build) == nil || request.Count < 1 || request.Count > 50 {
		reply(w, 400, object{"error": "malformed"})
		return
	}
	if granted, ok := c.hires[request.Hire]; ok {
		reply(w, 200, object{"stalls": granted})
		return
	}
	free := c.Capacity[request.Build+"/"+request.Yard] - c.used(request.Build, request.Yard)
	if free <= 0 || request.Loaners {
		c.world.Rec.Printf("cloud: no capacity for %s", strings.TrimSpace(string(body)))
		reply(w, 503, object{"error": "no capacity"})
		return
	}
	granted := []string{}
	boot := time.Duration(c.flavor(request.Build).ReadyS * float64(time.Second))
	for range min(free, request.Count) {
		granted = append(granted, c.add(request.Build, request.Yard, false, 0, boot))
	}
	c.hires[request.Hire] = granted
	c.world.Rec.Printf("cloud: %s rents %v", request.Hire, granted)
	reply(w, 200, object{"stalls": granted})
}
