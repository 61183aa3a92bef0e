package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"tillerarch/internal/admin"
)

// Exit codes of the operators' commands.
const (
	exitUsage       = 1 // the command line or the settings are wrong
	exitRejected    = 2 // it can't be done as it is
	exitUnavailable = 3 // it may be tried again
	exitAborted     = 4 // it was begun, and was aborted
)

// defaultAdminAddress is where the admin service of a controller is looked for.
const defaultAdminAddress = "127.0.0.1:8090"

// tableColumnGap is the number of spaces between two columns.
const tableColumnGap = 2

// pollInterval is the pause between two looks at what a command waits for.
const pollInterval = 300 * time.Millisecond

// commandError is an error with the exit code that it ends with.
type commandError struct {
	code    int
	message string
}

func (e *commandError) Error() string { return e.message }

// exitCode gives the exit code of an error.
func exitCode(err error) int {
	var command *commandError
	if errors.As(err, &command) {
		return command.code
	}
	return exitUsage
}

// adminTool is what all operators' commands share.
type adminTool struct {
	address string
	asJSON  bool
}

// withClient calls f with a client of a controller's admin service. What the service refuses
// gets its exit code.
func (t *adminTool) withClient(command *cobra.Command, f func(context.Context, *admin.Client) error) error {
	if _, _, err := net.SplitHostPort(t.address); err != nil {
		message := fmt.Sprintf("--admin: %q is no address of the form IP:PORT", t.address)
		return &commandError{code: exitUsage, message: message}
	}
	client, err := admin.Dial(t.address)
	if err != nil {
		return &commandError{code: exitUsage, message: err.Error()}
	}
	defer client.Close()
	err = f(command.Context(), client)
	var requestErr *admin.RequestError
	switch {
	case errors.As(err, &requestErr) && requestErr.Retryable:
		return &commandError{code: exitUnavailable, message: requestErr.Reason}
	case errors.As(err, &requestErr):
		return &commandError{code: exitRejected, message: requestErr.Reason}
	}
	return err
}

// printResult writes an answer as JSON or as a table.
func (t *adminTool) printResult(out io.Writer, result any, table func(io.Writer)) error {
	if t.asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	w := tabwriter.NewWriter(out, 0, 8, tableColumnGap, ' ', 0)
	table(w)
	return w.Flush()
}

// pollStatus asks for the sharding status until isDone says so, or the time is over; timeoutReason
// tells then what is still missing.
func pollStatus(
	ctx context.Context,
	client *admin.Client,
	timeout time.Duration,
	isDone func(*admin.ShardingStatus) (done bool, err error),
	timeoutReason func() string,
) error {
	deadline := time.Now().Add(timeout)
	for {
		status, err := client.GetShardingStatus(ctx)
		if err != nil {
			return err
		}
		if done, err := isDone(status); done || err != nil {
			return err
		}
		if time.Now().After(deadline) {
			return &admin.RequestError{Reason: timeoutReason(), Retryable: true}
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
