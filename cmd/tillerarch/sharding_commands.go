package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"tillerarch/internal/admin"
	"tillerarch/internal/storage"
)

// newSharesCommand returns the command `tillerarch shares`, whose subcommands show and change which
// controller owns which machines.
func newSharesCommand() *cobra.Command {
	tool := &adminTool{}
	command := &cobra.Command{Use: "shares", Short: "Which controller owns which machines, and their moves"}
	flags := command.PersistentFlags()
	flags.StringVar(&tool.address, "admin", defaultAdminAddress,
		"admin service of a controller (admin.listen in its properties)")
	flags.BoolVar(&tool.asJSON, "json", false, "answer as JSON")
	command.AddCommand(
		tool.newListCommand(),
		tool.newPlanCommand(),
		tool.newHistoryCommand(),
		tool.newMoveCommand(),
		tool.newAbortCommand(),
		tool.newDrainCommand("drain", "Give all machines of a controller to the others, and none to it", true),
		tool.newDrainCommand("undrain", "Let a controller take machines again", false),
	)
	return command
}

// statusView selects the part of the sharding status that a command prints, as JSON or as a table.
type statusView struct {
	jsonValue  func(*admin.ShardingStatus) any
	printTable func(io.Writer, *admin.ShardingStatus)
}

// newStatusCommand returns a command that prints a part of the sharding status.
func (t *adminTool) newStatusCommand(use, short string, view statusView) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return t.withClient(command, func(ctx context.Context, client *admin.Client) error {
				status, err := client.GetShardingStatus(ctx)
				if err != nil {
					return err
				}
				warnIfStale(status)
				return t.printResult(command.OutOrStdout(), view.jsonValue(status), func(w io.Writer) { view.printTable(w, status) })
			})
		},
	}
}

// warnIfStale prints a warning to standard error if the status may be out of date.
func warnIfStale(status *admin.ShardingStatus) {
	if status.Stale {
		fmt.Fprintf(os.Stderr,
			"this controller does not reach the state service: as of revision %d, may be out of date\n", status.Revision)
	}
}

// newListCommand returns the command `list`, which prints the controllers and, on request, the
// shards.
func (t *adminTool) newListCommand() *cobra.Command {
	var showShards bool
	command := t.newStatusCommand("list", "Controllers and what they own", statusView{
		jsonValue: func(status *admin.ShardingStatus) any { return status },
		printTable: func(w io.Writer, status *admin.ShardingStatus) {
			fmt.Fprintf(w, "revision %d\n", status.Revision)
			printControllers(w, status.Controllers)
			if showShards {
				printShards(w, status.Shards)
			}
		},
	})
	command.Flags().BoolVar(&showShards, "pages", false, "each page, too")
	return command
}

// printControllers prints controllers as rows of a table.
func printControllers(w io.Writer, controllers []admin.Controller) {
	fmt.Fprint(w, "CONTROLLER\tRUN\tPAGES\tMACHINES\tMOVES\tDRAINING\n")
	for _, controller := range controllers {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%v\t%v\n",
			controller.ID, cmp.Or(controller.Incarnation, "-"), controller.Shards, controller.Machines,
			controller.SupportsTransfers, controller.Draining)
	}
}

// printShards prints shards as rows of a table.
func printShards(w io.Writer, shards []admin.Shard) {
	fmt.Fprint(w, "PAGE\tOWNER\tEPOCH\tMACHINES\tTASKS\n")
	for _, shard := range shards {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\n", shard.ID, shard.Owner, shard.Epoch, shard.Machines, shard.Tasks)
	}
}

// newPlanCommand returns the command `plan`, which prints the transfers that the controller would
// start now.
func (t *adminTool) newPlanCommand() *cobra.Command {
	return t.newStatusCommand("plan", "Moves that this controller would begin now", statusView{
		jsonValue: func(status *admin.ShardingStatus) any { return status.PlannedTransfers },
		printTable: func(w io.Writer, status *admin.ShardingStatus) {
			fmt.Fprint(w, "PAGE\tFROM\tTO\n")
			for _, planned := range status.PlannedTransfers {
				fmt.Fprintf(w, "%s\t%s\t%s\n", planned.Shard, planned.Source, planned.Target)
			}
		},
	})
}

// newHistoryCommand returns the command `history`, which prints the recorded transfers.
func (t *adminTool) newHistoryCommand() *cobra.Command {
	return t.newStatusCommand("history", "Moves on record, open and ended, newest first", statusView{
		jsonValue: func(status *admin.ShardingStatus) any { return sortNewestFirst(status.Transfers) },
		printTable: func(w io.Writer, status *admin.ShardingStatus) {
			printTransfers(w, sortNewestFirst(status.Transfers))
		},
	})
}

// sortNewestFirst sorts transfers in place, the last proposed one first, and returns them.
func sortNewestFirst(transfers []admin.Transfer) []admin.Transfer {
	slices.SortStableFunc(transfers, func(a, b admin.Transfer) int { return b.ProposedAt.Compare(a.ProposedAt) })
	return transfers
}

// printTransfers prints transfers as rows of a table.
func printTransfers(w io.Writer, transfers []admin.Transfer) {
	fmt.Fprint(w, "MOVE\tPAGE\tMACHINES\tFROM\tTO\tPHASE\tBEGUN\tHELD\tTOOK\tWHY\n")
	for _, transfer := range transfers {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
			transfer.Name, transfer.Shard, transfer.Machines, transfer.Source, transfer.Target, transfer.Phase,
			transfer.ProposedAt.Format(time.RFC3339),
			formatElapsed(transfer.PreparedAt, transfer.CommittedAt),
			formatElapsed(transfer.ProposedAt, transfer.EndedAt),
			cmp.Or(transfer.Reason, "-"))
	}
}

// formatElapsed returns the time between two moments, or "-" if one of them is zero.
func formatElapsed(from, to time.Time) string {
	if from.IsZero() || to.IsZero() {
		return "-"
	}
	return to.Sub(from).String()
}

// newMoveCommand returns the command `move`, which starts a transfer.
func (t *adminTool) newMoveCommand() *cobra.Command {
	var request admin.TransferRequest
	var wait time.Duration
	command := &cobra.Command{
		Use:   "move --to CONTROLLER (--page PAGE | --from CONTROLLER)",
		Short: "Move a page of machines to another controller",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if request.Target == "" || (request.Shard == "") == (request.Source == "") {
				return &commandError{code: exitUsage, message: "move: --to and one of --page and --from are needed"}
			}
			if request.Name == "" {
				request.Name = fmt.Sprintf("operator-%d", time.Now().UnixNano())
			}
			return t.startTransfer(command, &request, wait)
		},
	}
	flags := command.Flags()
	flags.StringVar(&request.Target, "to", "", "controller that takes the machines")
	flags.StringVar(&request.Shard, "page", "", "page to move")
	flags.StringVar(&request.Source, "from", "", "controller that gives its smallest page")
	flags.StringVar(&request.Name, "name", "", "name of the move; the same name again does nothing more")
	flags.DurationVar(&wait, "wait", 0, "wait so long for the move to end")
	return command
}

// startTransfer starts a transfer and, if wait is above zero, waits up to that time for its end.
func (t *adminTool) startTransfer(command *cobra.Command, request *admin.TransferRequest, wait time.Duration) error {
	return t.withClient(command, func(ctx context.Context, client *admin.Client) error {
		transfer, err := client.StartTransfer(ctx, request)
		if err == nil && wait > 0 {
			transfer, err = waitForTransferEnd(ctx, client, transfer, wait)
		}
		if err != nil {
			return err
		}
		return t.printTransferOutcome(command.OutOrStdout(), transfer)
	})
}

// printTransferOutcome prints a transfer. It returns an error if the transfer was aborted.
func (t *adminTool) printTransferOutcome(out io.Writer, transfer *admin.Transfer) error {
	if err := t.printTransfer(out, transfer); err != nil {
		return err
	}
	if storage.TransferPhase(transfer.Phase) == storage.TransferAborted {
		return &commandError{code: exitAborted, message: "the move was aborted: " + transfer.Reason}
	}
	return nil
}

// printTransfer prints a transfer.
func (t *adminTool) printTransfer(out io.Writer, transfer *admin.Transfer) error {
	return t.printResult(out, transfer, func(w io.Writer) { printTransfers(w, []admin.Transfer{*transfer}) })
}

// waitForTransferEnd waits until a transfer has ended, and returns its last known state.
func waitForTransferEnd(
	ctx context.Context, client *admin.Client, transfer *admin.Transfer, timeout time.Duration,
) (*admin.Transfer, error) {
	hasEnded := func(status *admin.ShardingStatus) (bool, error) {
		i := slices.IndexFunc(status.Transfers, func(other admin.Transfer) bool { return other.Name == transfer.Name })
		if i >= 0 {
			transfer = &status.Transfers[i]
		}
		return !storage.TransferPhase(transfer.Phase).IsOpen(), nil
	}
	err := pollShardingStatus(ctx, client, timeout, hasEnded, func() string {
		return fmt.Sprintf("move %s is %s; it goes on, ask `shares history`", transfer.Name, transfer.Phase)
	})
	return transfer, err
}

// newAbortCommand returns the command `abort`, which aborts a transfer.
func (t *adminTool) newAbortCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "abort MOVE",
		Short: "Abort a move that has not passed yet",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return t.withClient(command, func(ctx context.Context, client *admin.Client) error {
				transfer, err := client.AbortTransfer(ctx, &admin.AbortTransferRequest{Name: args[0]})
				if err != nil {
					return err
				}
				return t.printTransfer(command.OutOrStdout(), transfer)
			})
		},
	}
}

// newDrainCommand returns a command that starts or ends a controller's drain.
func (t *adminTool) newDrainCommand(name, short string, draining bool) *cobra.Command {
	var wait time.Duration
	command := &cobra.Command{
		Use:   name + " CONTROLLER",
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return t.setDraining(command, &admin.SetDrainingRequest{Controller: args[0], Draining: draining}, wait)
		},
	}
	if draining {
		command.Flags().DurationVar(&wait, "wait", 0, "wait so long until it has no machines")
	}
	return command
}

// setDraining starts or ends a drain and, if wait is above zero, waits up to that time until the
// controller owns no machines.
func (t *adminTool) setDraining(command *cobra.Command, request *admin.SetDrainingRequest, wait time.Duration) error {
	return t.withClient(command, func(ctx context.Context, client *admin.Client) error {
		controller, err := client.SetDraining(ctx, request)
		if err == nil && wait > 0 {
			controller, err = waitForDrain(ctx, client, controller, wait)
		}
		if err != nil {
			return err
		}
		return t.printResult(command.OutOrStdout(), controller, func(w io.Writer) {
			printControllers(w, []admin.Controller{*controller})
		})
	})
}

// waitForDrain waits until a controller owns no machines, and returns its last known status.
func waitForDrain(
	ctx context.Context, client *admin.Client, controller *admin.Controller, timeout time.Duration,
) (*admin.Controller, error) {
	isEmpty := func(status *admin.ShardingStatus) (bool, error) {
		i := slices.IndexFunc(status.Controllers, func(other admin.Controller) bool { return other.ID == controller.ID })
		if i < 0 {
			reason := fmt.Sprintf("%s has ended; others take its machines over", controller.ID)
			return false, &admin.RequestError{Reason: reason, Retryable: true}
		}
		controller = &status.Controllers[i]
		return controller.Machines == 0, nil
	}
	err := pollShardingStatus(ctx, client, timeout, isEmpty, func() string {
		return fmt.Sprintf("%s still owns %d machines; it goes on giving them away", controller.ID, controller.Machines)
	})
	return controller, err
}
