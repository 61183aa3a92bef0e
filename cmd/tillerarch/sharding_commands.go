package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"tillerarch/internal/admin"
	"tillerarch/internal/storage"
)

// Exit codes of the operators' commands.
const (
	exitUsage       = 1 // the command line or the settings are wrong
	exitRejected    = 2 // it can't be done as it is
	exitUnavailable = 3 // it may be tried again
	exitAborted     = 4 // it was begun, and was aborted
)

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

// withClient calls f with a client of the daemon's admin service.
func (t *adminTool) withClient(f func(context.Context, *admin.Client) error) error {
	if _, _, err := net.SplitHostPort(t.address); err != nil {
		return &commandError{code: exitUsage, message: fmt.Sprintf("--admin: %q is no address of the form IP:PORT", t.address)}
	}
	client, err := admin.Dial(t.address)
	if err != nil {
		return &commandError{code: exitUsage, message: err.Error()}
	}
	defer client.Close()
	err = f(context.Background(), client)
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
func (t *adminTool) printResult(out io.Writer, v any, table func(io.Writer)) error {
	if t.asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// newSharesCommand is `tillerarch shares`: who owns which machines.
func newSharesCommand() *cobra.Command {
	t := &adminTool{}
	command := &cobra.Command{Use: "shares", Short: "Which controller owns which machines, and their moves"}
	command.PersistentFlags().StringVar(&t.address, "admin", "127.0.0.1:8090", "admin service of a controller (admin.listen in its properties)")
	command.PersistentFlags().BoolVar(&t.asJSON, "json", false, "answer as JSON")
	command.AddCommand(t.newListCommand(), t.newPlanCommand(), t.newHistoryCommand(), t.newMoveCommand(), t.newAbortCommand(),
		t.newDrainCommand("drain", "Give all machines of a controller to the others, and none to it", true),
		t.newDrainCommand("undrain", "Let a controller take machines again", false))
	return command
}

// newStatusCommand is a command that shows a part of the shares.
func (t *adminTool) newStatusCommand(use, short string, selectPart func(*admin.ShardingStatus) any, table func(io.Writer, *admin.ShardingStatus)) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(command *cobra.Command, _ []string) error {
		return t.withClient(func(ctx context.Context, client *admin.Client) error {
			status, err := client.GetShardingStatus(ctx)
			if err != nil {
				return err
			}
			if status.Stale {
				fmt.Fprintf(os.Stderr, "this controller does not reach the state service: as of revision %d, may be out of date\n", status.Revision)
			}
			return t.printResult(command.OutOrStdout(), selectPart(status), func(w io.Writer) { table(w, status) })
		})
	}}
}

func (t *adminTool) newListCommand() *cobra.Command {
	var showShards bool
	command := t.newStatusCommand("list", "Controllers and what they own", func(status *admin.ShardingStatus) any { return status }, func(w io.Writer, status *admin.ShardingStatus) {
		fmt.Fprintf(w, "revision %d\n", status.Revision)
		printControllers(w, status.Controllers)
		if showShards {
			fmt.Fprint(w, "PAGE\tOWNER\tEPOCH\tMACHINES\tTASKS\n")
			for _, shard := range status.Shards {
				fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\n", shard.ID, shard.Owner, shard.Epoch, shard.Machines, shard.Tasks)
			}
		}
	})
	command.Flags().BoolVar(&showShards, "pages", false, "each page, too")
	return command
}

func printControllers(w io.Writer, controllers []admin.Controller) {
	fmt.Fprint(w, "CONTROLLER\tRUN\tPAGES\tMACHINES\tMOVES\tDRAINING\n")
	for _, c := range controllers {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%v\t%v\n", c.ID, cmp.Or(c.Incarnation, "-"), c.Shards, c.Machines, c.SupportsTransfers, c.Draining)
	}
}

func (t *adminTool) newPlanCommand() *cobra.Command {
	return t.newStatusCommand("plan", "Moves that this controller would begin now", func(status *admin.ShardingStatus) any { return status.PlannedTransfers }, func(w io.Writer, status *admin.ShardingStatus) {
		fmt.Fprint(w, "PAGE\tFROM\tTO\n")
		for _, planned := range status.PlannedTransfers {
			fmt.Fprintf(w, "%s\t%s\t%s\n", planned.Shard, planned.Source, planned.Target)
		}
	})
}

func (t *adminTool) newHistoryCommand() *cobra.Command {
	return t.newStatusCommand("history", "Moves on record, open and ended, newest first", func(status *admin.ShardingStatus) any { return sortNewestFirst(status.Transfers) },
		func(w io.Writer, status *admin.ShardingStatus) { printTransfers(w, sortNewestFirst(status.Transfers)) })
}

func sortNewestFirst(transfers []admin.Transfer) []admin.Transfer {
	slices.SortStableFunc(transfers, func(a, z admin.Transfer) int { return z.ProposedAt.Compare(a.ProposedAt) })
	return transfers
}

func printTransfers(w io.Writer, transfers []admin.Transfer) {
	fmt.Fprint(w, "MOVE\tPAGE\tMACHINES\tFROM\tTO\tPHASE\tBEGUN\tHELD\tTOOK\tWHY\n")
	for _, transfer := range transfers {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", transfer.Name, transfer.Shard, transfer.Machines, transfer.Source, transfer.Target, transfer.Phase, transfer.ProposedAt.Format(time.RFC3339),
			formatElapsed(transfer.PreparedAt, transfer.CommittedAt), formatElapsed(transfer.ProposedAt, transfer.EndedAt), cmp.Or(transfer.Reason, "-"))
	}
}

// formatElapsed is the time from one moment to another, if there were both.
func formatElapsed(from, to time.Time) string {
	if from.IsZero() || to.IsZero() {
		return "-"
	}
	return to.Sub(from).String()
}

func (t *adminTool) newMoveCommand() *cobra.Command {
	var request admin.TransferRequest
	var wait time.Duration
	command := &cobra.Command{Use: "move --to CONTROLLER (--page PAGE | --from CONTROLLER)", Short: "Move a page of machines to another controller",
		Args: cobra.NoArgs, RunE: func(command *cobra.Command, _ []string) error {
			if request.Target == "" || (request.Shard == "") == (request.Source == "") {
				return &commandError{code: exitUsage, message: "move: --to and one of --page and --from are needed"}
			}
			if request.Name == "" {
				request.Name = fmt.Sprintf("operator-%d", time.Now().UnixNano())
			}
			return t.withClient(func(ctx context.Context, client *admin.Client) error {
				transfer, err := client.StartTransfer(ctx, &request)
				if err == nil && wait > 0 {
					transfer, err = waitForTransfer(ctx, client, transfer, wait)
				}
				if err != nil {
					return err
				}
				return t.printTransferOutcome(command.OutOrStdout(), transfer)
			})
		}}
	command.Flags().StringVar(&request.Target, "to", "", "controller that takes the machines")
	command.Flags().StringVar(&request.Shard, "page", "", "page to move")
	command.Flags().StringVar(&request.Source, "from", "", "controller that gives its smallest page")
	command.Flags().StringVar(&request.Name, "name", "", "name of the move; the same name again does nothing more")
	command.Flags().DurationVar(&wait, "wait", 0, "wait so long for the move to end")
	return command
}

// printTransferOutcome prints a move; one that was aborted is an error.
func (t *adminTool) printTransferOutcome(out io.Writer, transfer *admin.Transfer) error {
	if err := t.printResult(out, transfer, func(w io.Writer) { printTransfers(w, []admin.Transfer{*transfer}) }); err != nil {
		return err
	}
	if storage.TransferPhase(transfer.Phase) == storage.TransferAborted {
		return &commandError{code: exitAborted, message: "the move was aborted: " + transfer.Reason}
	}
	return nil
}

// pollInterval is the pause between two looks at what a command waits for.
const pollInterval = 300 * time.Millisecond

// pollStatus asks for the shares until look is content with them, or the time is over; late
// tells then what is still missing.
func pollStatus(ctx context.Context, client *admin.Client, wait time.Duration, isDone func(*admin.ShardingStatus) (done bool, err error), timeoutReason func() string) error {
	for deadline := time.Now().Add(wait); ; time.Sleep(pollInterval) {
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
	}
}

// waitForTransfer waits until a move has ended.
func waitForTransfer(ctx context.Context, client *admin.Client, transfer *admin.Transfer, wait time.Duration) (*admin.Transfer, error) {
	err := pollStatus(ctx, client, wait, func(status *admin.ShardingStatus) (bool, error) {
		if i := slices.IndexFunc(status.Transfers, func(m admin.Transfer) bool { return m.Name == transfer.Name }); i >= 0 {
			transfer = &status.Transfers[i]
		}
		return !storage.TransferPhase(transfer.Phase).IsOpen(), nil
	}, func() string {
		return fmt.Sprintf("move %s is %s; it goes on, ask `shares history`", transfer.Name, transfer.Phase)
	})
	return transfer, err
}

func (t *adminTool) newAbortCommand() *cobra.Command {
	return &cobra.Command{Use: "abort MOVE", Short: "Abort a move that has not passed yet", Args: cobra.ExactArgs(1), RunE: func(command *cobra.Command, args []string) error {
		return t.withClient(func(ctx context.Context, client *admin.Client) error {
			transfer, err := client.AbortTransfer(ctx, &admin.AbortTransferRequest{Name: args[0]})
			if err != nil {
				return err
			}
			return t.printResult(command.OutOrStdout(), transfer, func(w io.Writer) { printTransfers(w, []admin.Transfer{*transfer}) })
		})
	}}
}

// newDrainCommand is a command that begins or ends a controller's drain.
func (t *adminTool) newDrainCommand(name, short string, draining bool) *cobra.Command {
	var wait time.Duration
	command := &cobra.Command{Use: name + " CONTROLLER", Short: short, Args: cobra.ExactArgs(1), RunE: func(command *cobra.Command, args []string) error {
		return t.withClient(func(ctx context.Context, client *admin.Client) error {
			controller, err := client.SetDraining(ctx, &admin.SetDrainingRequest{Controller: args[0], Draining: draining})
			if err == nil && wait > 0 {
				controller, err = waitForDrain(ctx, client, controller, wait)
			}
			if err != nil {
				return err
			}
			return t.printResult(command.OutOrStdout(), controller, func(w io.Writer) { printControllers(w, []admin.Controller{*controller}) })
		})
	}}
	if draining {
		command.Flags().DurationVar(&wait, "wait", 0, "wait so long until it has no machines")
	}
	return command
}

// waitForDrain waits until a controller owns no machines.
func waitForDrain(ctx context.Context, client *admin.Client, controller *admin.Controller, wait time.Duration) (*admin.Controller, error) {
	err := pollStatus(ctx, client, wait, func(status *admin.ShardingStatus) (bool, error) {
		i := slices.IndexFunc(status.Controllers, func(o admin.Controller) bool { return o.ID == controller.ID })
		if i < 0 {
			return false, &admin.RequestError{Reason: fmt.Sprintf("%s has ended; others take its machines over", controller.ID), Retryable: true}
		}
		controller = &status.Controllers[i]
		return controller.Machines == 0, nil
	}, func() string {
		return fmt.Sprintf("%s still owns %d machines; it goes on giving them away", controller.ID, controller.Machines)
	})
	return controller, err
}
