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
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/simulation"
)

// Options holds the options of a cluster.
type Options struct {
	Seed            uint64
	ControllerCount int
	BinaryPath      string // path of the program under test
	WorkDir         string // directory of settings files and logs
	MachineTypes    []protocol.MachineType
	Teams           map[string]step.Quota
	Properties      string // properties of all controllers, without the admin service's address
}

// Cluster is a deployment whose controllers are processes.
type Cluster struct {
	SimulationServer
	Controllers []*Controller
	options     Options
}

// Controller is a controller that runs as a process of its own.
type Controller struct {
	ID         protocol.ControllerID
	AdminAddr  string // address of the admin service
	cluster    *Cluster
	index      int    // index in Cluster.Controllers
	listenAddr string // address for users and agents
	peerAddr   string // address for other controllers
	httpClient *http.Client
	process    *exec.Cmd // the current process, or the last one
	logFile    *os.File  // standard error of all the controller's processes
}

// Limits and times of the deployment, which the controllers' settings files contain.
const (
	heartbeatInterval = time.Second
	agentLeaseTTL     = 8 * time.Second
	cancelTimeout     = 30 * time.Second
	gangStartTimeout  = 20 * time.Second
	maxValueBytes     = 2560
	maxTransactionOps = 24
	writesPerSecond   = 150
	storeMaxEvents    = 10_000
)

// StartCluster starts the simulated systems and the controllers' processes.
func StartCluster(options Options) (*Cluster, error) {
	cluster := &Cluster{options: options}
	var remotes []simulation.RemoteController
	for i := range options.ControllerCount {
		controller := &Controller{cluster: cluster, index: i, ID: protocol.ControllerID(fmt.Sprintf("stall-%d", i))}
		for _, addr := range []*string{&controller.listenAddr, &controller.peerAddr, &controller.AdminAddr} {
			var err error
			if *addr, err = freeAddress(); err != nil {
				return nil, err
			}
		}
		controller.httpClient = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
		cluster.Controllers = append(cluster.Controllers, controller)
		remotes = append(remotes, controller)
	}
	world := simulation.NewRemoteWorld(options.Seed, remotes, options.MachineTypes, options.Teams)
	world.HeartbeatInterval = heartbeatInterval
	world.AgentLeaseTTL = agentLeaseTTL
	world.GangStartTimeout = gangStartTimeout
	world.Rules.CancelTimeout = cancelTimeout
	world.Store.SetMaxEvents(storeMaxEvents)
	world.Store.MaxValueBytes = maxValueBytes
	world.Store.MaxTransactionOperations = maxTransactionOps
	world.Store.WriteRate = writesPerSecond
	if err := cluster.serveWorld(world); err != nil {
		return nil, err
	}
	for _, controller := range cluster.Controllers {
		if err := controller.Start(); err != nil {
			return nil, err
		}
	}
	return cluster, nil
}

// freeAddress returns an unused TCP address on the loopback interface.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// Start writes the controller's settings and properties files and starts its process.
func (c *Controller) Start() error {
	settingsPath := filepath.Join(c.cluster.options.WorkDir, string(c.ID)+".toml")
	propertiesPath := filepath.Join(c.cluster.options.WorkDir, string(c.ID)+".properties")
	propertyText := c.cluster.options.Properties + "\nadmin.listen = " + c.AdminAddr + "\n"
	if err := os.WriteFile(settingsPath, []byte(c.settingsText()), 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(propertiesPath, []byte(propertyText), 0o600); err != nil {
		return err
	}
	var err error
	if c.logFile == nil {
		if c.logFile, err = os.Create(filepath.Join(c.cluster.options.WorkDir, string(c.ID)+".log")); err != nil {
			return err
		}
	}
	c.process = exec.Command(c.cluster.options.BinaryPath, "--properties", propertiesPath, "--config", settingsPath)
	c.process.Stderr = c.logFile
	return c.process.Start()
}

// settingsText returns the content of the controller's settings file.
func (c *Controller) settingsText() string {
	var text strings.Builder
	fmt.Fprintf(&text, "member = %q\narea = \"a\"\nlisten = %q\nback = %q\n", c.ID, c.listenAddr, c.peerAddr)
	for _, other := range c.cluster.Controllers {
		if other != c {
			fmt.Fprintf(&text, "[[members]]\nmember = %q\naddr = %q\n", other.ID, other.peerAddr)
		}
	}
	fmt.Fprintf(&text, "[outside]\ncloud = %q\nstate = %q\n", c.cluster.cloudAddr, c.cluster.storeAddrs[c.index])
	for name, team := range c.cluster.options.Teams {
		fmt.Fprintf(&text, "[[params.teams]]\nname = %q\ncpus_max = %f\n", name, team.MaxCores)
	}
	fmt.Fprintf(&text, "[params.workers]\nreport_s = %f\nlease_s = %f\ngang_wait_s = %f\ngang_peer_s = 4.0\ncancel_s = %f\n",
		heartbeatInterval.Seconds(), agentLeaseTTL.Seconds(), gangStartTimeout.Seconds(), cancelTimeout.Seconds())
	fmt.Fprintf(&text, "[params.state]\nrps = 500.0\nwrite_rps = %d\nvalue_kb = %f\ntxn_ops = %d\n", writesPerSecond, float64(maxValueBytes)/1024, maxTransactionOps)
	fmt.Fprint(&text, "[params.cloud]\nrps = 20.0\nlist_lag_s = 1.0\n[params.resources]\nmemory_mb = 400.0\nmax_sockets = 2000\n")
	return text.String()
}

// Kill kills the process and waits until it has exited.
func (c *Controller) Kill() {
	c.process.Process.Kill()
	c.process.Wait()
}

// Restart kills the process and starts a new one after the downtime.
func (c *Controller) Restart(downtime time.Duration) error {
	c.Kill()
	time.Sleep(downtime)
	return c.Start()
}

// Pause suspends the process for a duration. The clock that the process reads continues.
func (c *Controller) Pause(duration time.Duration) error {
	if err := c.process.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(duration)
	return c.process.Process.Signal(syscall.SIGCONT)
}

// DialAdmin connects to the controller's admin service.
func (c *Controller) DialAdmin() (*admin.Client, error) { return admin.Dial(c.AdminAddr) }

// Close kills all controllers, waits until they have exited, and closes the simulated systems.
func (c *Cluster) Close() {
	for _, controller := range c.Controllers {
		if controller.process != nil {
			controller.Kill()
		}
		if controller.logFile != nil {
			controller.logFile.Close()
		}
	}
	c.SimulationServer.Close()
}

// DeliverHeartbeat sends an agent's heartbeat to the controller. It calls reply with the status and
// the body of the response.
func (c *Controller) DeliverHeartbeat(heartbeat []byte, reply func(int, []byte)) {
	c.sendAsync("POST", protocol.PathHeartbeat, heartbeat, reply)
}

// DeliverUserRequest sends a user's request to the controller. It calls reply with the status and
// the body of the response.
func (c *Controller) DeliverUserRequest(requestType protocol.RequestType, id protocol.JobID, job []byte, reply func(int, []byte)) {
	switch requestType {
	case protocol.RequestSubmit:
		c.sendAsync("POST", protocol.PathJobs, job, reply)
	case protocol.RequestQuery:
		c.sendAsync("GET", protocol.PathJobs+"/"+string(id), nil, reply)
	case protocol.RequestCancel:
		c.sendAsync("POST", protocol.PathJobs+"/"+string(id)+"/abort", []byte("{}"), reply)
	}
}

// sendAsync sends a request in a goroutine and calls reply with the response within WithWorld. Status
// 0 means that there is no response.
func (c *Controller) sendAsync(method, path string, body []byte, reply func(int, []byte)) {
	go func() {
		status, response := c.sendRequest(method, path, body)
		c.cluster.WithWorld(func(*simulation.World) { reply(status, response) })
	}()
}

// sendRequest sends a request to the controller and returns the response. It returns status 0 if
// there is no response.
func (c *Controller) sendRequest(method, path string, body []byte) (status int, reply []byte) {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+c.listenAddr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	if reply, err = io.ReadAll(response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, reply
}
