// Package world holds small stand-ins of the platform of tillerarch: the state service, the cloud,
// the workers, the users with their load balancer, and the process control of the controllers. They
// do what PROTOCOL and DEPLOY say. Everything listens on loopback addresses with free ports.
package world

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Recorder writes record.txt, one line for each message or event, with the seconds since the start.
type Recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecorder creates the record file.
func NewRecorder(path string) (*Recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Recorder{file: file, start: time.Now()}, nil
}

// Printf writes one line.
func (r *Recorder) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes one line to the record and to standard output.
func (r *Recorder) Say(format string, args ...any) {
	r.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}
