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
	exitUsage       = 1 // the command line or the settings are invalid
	exitRejected    = 2 // the request cannot be carried out as it is
	exitUnavailable = 3 // the request may be retried
	exitAborted     = 4 // the transfer was started and was aborted
)

// defaultAdminAddress is the default address of a controller's admin service.
const defaultAdminAddress = "127.0.0.1:8090"

// tableColumnGap is the number of spaces between two columns.
const tableColumnGap = 2

// pollInterval is the pause between two requests for the status that a command waits for.
const pollInterval = 300 * time.Millisecond

// commandError is an error with the exit code of the program.
type commandError struct {
	code    int
	message string
}

func (e *commandError) Error() string { return e.message }

// exitCode returns the exit code of an error. It is exitUsage unless the error is a *commandError.
func exitCode(err error) int {
	var commandErr *commandError
	if errors.As(err, &commandErr) {
		return commandErr.code
	}
	return exitUsage
}

// adminTool holds the flags that all operators' commands share.
type adminTool struct {
	address string // of a controller's admin service, IP:PORT
	asJSON  bool   // print JSON instead of a table
}

// withClient calls operation with a client of a controller's admin service. It turns the service's
// refusal of a request into a *commandError with the matching exit code.
func (t *adminTool) withClient(command *cobra.Command, operation func(context.Context, *admin.Client) error) error {
	if _, _, err := net.SplitHostPort(t.address); err != nil {
		message := fmt.Sprintf("--admin: %q is no address of the form IP:PORT", t.address)
		return &commandError{code: exitUsage, message: message}
	}
	client, err := admin.Dial(t.address)
	if err != nil {
		return &commandError{code: exitUsage, message: err.Error()}
	}
	defer client.Close()
	err = operation(command.Context(), client)
	var requestErr *admin.RequestError
	switch {
	case errors.As(err, &requestErr) && requestErr.Retryable:
		return &commandError{code: exitUnavailable, message: requestErr.Reason}
	case errors.As(err, &requestErr):
		return &commandError{code: exitRejected, message: requestErr.Reason}
	}
	return err
}

// printResult writes a result as JSON or, with printTable, as a table.
func (t *adminTool) printResult(out io.Writer, result any, printTable func(io.Writer)) error {
	if t.asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	tableWriter := tabwriter.NewWriter(out, 0, 8, tableColumnGap, ' ', 0)
	printTable(tableWriter)
	return tableWriter.Flush()
}

// pollShardingStatus requests the sharding status repeatedly until isDone returns true or an error.
// After the timeout it returns a retryable error with the reason that timeoutReason returns.
func pollShardingStatus(
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
