package integration

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"tillerarch/internal/admin"
	"tillerarch/internal/coordination"
	"tillerarch/internal/protocol"
	"tillerarch/internal/simulation"
)

// Options of a fleet.
type Options struct {
	Seed        uint64
	Controllers int
	Program     string // the program that was built
	Dir         string // for settings and logs
	Flavors     []protocol.MachineType
	Teams       map[string]coordination.Quota
	Properties  string // the controllers' own settings, besides the admin service's address
}

// Fleet is a deployment on loopback.
type Fleet struct {
	Front
	Controllers []*Controller
	options     Options
}

// Controller is a controller process.
type Controller struct {
	Member  protocol.ControllerID
	Admin   string // address of its admin service
	fleet   *Fleet
	number  int
	listen  string
	back    string
	client  *http.Client
	process *exec.Cmd
	log     *os.File
}

// Limits and times of the deployment that the controllers are told.
const (
	reportTime = time.Second
	leaseTime  = 8 * time.Second
	cancelTime = 30 * time.Second
	gangWait   = 20 * time.Second
	valueBytes = 2560
	txnOps     = 24
	writeRPS   = 150
)

// Start brings a fleet up.
func Start(o Options) (*Fleet, error) {
	f := &Fleet{options: o}
	var remotes []simulation.Remote
	for i := range o.Controllers {
		c := &Controller{fleet: f, number: i, Member: protocol.ControllerID(fmt.Sprintf("stall-%d", i))}
		for _, addr := range []*string{&c.listen, &c.back, &c.Admin} {
			var err error
			if *addr, err = freeAddress(); err != nil {
				return nil, err
			}
		}
		c.client = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
		f.Controllers = append(f.Controllers, c)
		remotes = append(remotes, c)
	}
	w := simulation.NewRemoteWorld(o.Seed, remotes, o.Flavors, o.Teams)
	w.Report, w.Lease, w.GangWait, w.Rules.Cancel = reportTime, leaseTime, gangWait, cancelTime
	w.State.Keep(10_000)
	w.State.Value, w.State.Ops, w.State.Rate = valueBytes, txnOps, writeRPS
	if err := f.start(w); err != nil {
		return nil, err
	}
	for _, c := range f.Controllers {
		if err := c.Begin(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// freeAddress finds a loopback port that nobody listens on.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Begin starts the controller's process.
func (c *Controller) Begin() error {
	config := filepath.Join(c.fleet.options.Dir, string(c.Member)+".toml")
	properties := filepath.Join(c.fleet.options.Dir, string(c.Member)+".properties")
	own := c.fleet.options.Properties + "\nadmin.listen = " + c.Admin + "\n"
	if err := os.WriteFile(config, []byte(c.settings()), 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(properties, []byte(own), 0o600); err != nil {
		return err
	}
	var err error
	if c.log == nil {
		if c.log, err = os.Create(filepath.Join(c.fleet.options.Dir, string(c.Member)+".log")); err != nil {
			return err
		}
	}
	c.process = exec.Command(c.fleet.options.Program, "--properties", properties, "--config", config)
	c.process.Stderr = c.log
	return c.process.Start()
}

// settings is the platform's settings file.
func (c *Controller) settings() string {
	var b strings.Builder
	fmt.Fprintf(&b, "member = %q\narea = \"a\"\nlisten = %q\nback = %q\n", c.Member, c.listen, c.back)
	for _, o := range c.fleet.Controllers {
		if o != c {
			fmt.Fprintf(&b, "[[members]]\nmember = %q\naddr = %q\n", o.Member, o.back)
		}
	}
	fmt.Fprintf(&b, "[outside]\ncloud = %q\nstate = %q\n", c.fleet.cloud, c.fleet.state[c.number])
	for name, team := range c.fleet.options.Teams {
		fmt.Fprintf(&b, "[[params.teams]]\nname = %q\ncpus_max = %f\n", name, team.MaxCores)
	}
	fmt.Fprintf(&b, "[params.workers]\nreport_s = %f\nlease_s = %f\ngang_wait_s = %f\ngang_peer_s = 4.0\ncancel_s = %f\n",
		reportTime.Seconds(), leaseTime.Seconds(), gangWait.Seconds(), cancelTime.Seconds())
	fmt.Fprintf(&b, "[params.state]\nrps = 500.0\nwrite_rps = %d\nvalue_kb = %f\ntxn_ops = %d\n", writeRPS, float64(valueBytes)/1024, txnOps)
	fmt.Fprint(&b, "[params.cloud]\nrps = 20.0\nlist_lag_s = 1.0\n[params.resources]\nmemory_mb = 400.0\nmax_sockets = 2000\n")
	return b.String()
}

// Kill ends the process with no notice.
func (c *Controller) Kill() {
	c.process.Process.Kill()
	c.process.Wait()
}

// Restart ends the process and starts it again after a while.
func (c *Controller) Restart(away time.Duration) error {
	c.Kill()
	time.Sleep(away)
	return c.Begin()
}

// Freeze lets the process stand still for a while.
func (c *Controller) Freeze(d time.Duration) error {
	if err := c.process.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(d)
	return c.process.Process.Signal(syscall.SIGCONT)
}

// Tool is a client of the controller's admin service.
func (c *Controller) Tool() (*admin.Client, error) { return admin.Dial(c.Admin) }

// Close ends the fleet, and waits for its processes.
func (f *Fleet) Close() {
	for _, c := range f.Controllers {
		if c.process != nil {
			c.Kill()
		}
		if c.log != nil {
			c.log.Close()
		}
	}
	f.Front.Close()
}

// Report sends a worker's report to the controller.
func (c *Controller) Report(report []byte, back func(int, []byte)) {
	c.send("POST", protocol.PathHeartbeat, report, back)
}

// Ask sends a user's request to the controller.
func (c *Controller) Ask(verb protocol.RequestType, id protocol.JobID, job []byte, back func(int, []byte)) {
	switch verb {
	case protocol.RequestSubmit:
		c.send("POST", protocol.PathJobs, job, back)
	case protocol.RequestQuery:
		c.send("GET", protocol.PathJobs+"/"+string(id), nil, back)
	case protocol.RequestCancel:
		c.send("POST", protocol.PathJobs+"/"+string(id)+"/abort", []byte("{}"), back)
	}
}

// send makes a call and brings the answer into the world; status 0 if there is none.
func (c *Controller) send(method, path string, content []byte, back func(int, []byte)) {
	go func() {
		status, answer := c.call(method, path, content)
		c.fleet.Do(func(*simulation.World) { back(status, answer) })
	}()
}

func (c *Controller) call(method, path string, content []byte) (status int, answer []byte) {
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+c.listen+path, bytes.NewReader(content))
	if err != nil {
		return 0, nil
	}
	a, err := c.client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer a.Body.Close()
	if answer, err = io.ReadAll(a.Body); err != nil {
		return 0, nil
	}
	return a.StatusCode, answer
}
