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
	bk "tillerarch/internal/bookkeeping"
)

// Exit codes of the operators' commands.
const (
	exitUsage       = 1 // the command line or the settings are wrong
	exitRefused     = 2 // it can't be done as it is
	exitUnavailable = 3 // it may be tried again
	exitAborted     = 4 // it was begun, and was aborted
)

// commandError is an error with the exit code that it ends with.
type commandError struct {
	code int
	text string
}

func (e *commandError) Error() string { return e.text }

// exitCode gives the exit code of an error.
func exitCode(err error) int {
	var command *commandError
	if errors.As(err, &command) {
		return command.code
	}
	return exitUsage
}

// tool is what all operators' commands share.
type tool struct {
	address string
	asJSON  bool
}

// with calls f with a client of the daemon's admin service.
func (t *tool) with(f func(context.Context, *admin.Client) error) error {
	if _, _, err := net.SplitHostPort(t.address); err != nil {
		return &commandError{exitUsage, fmt.Sprintf("--admin: %q is no address of the form IP:PORT", t.address)}
	}
	client, err := admin.Dial(t.address)
	if err != nil {
		return &commandError{exitUsage, err.Error()}
	}
	defer client.Close()
	err = f(context.Background(), client)
	var refusal *admin.Refusal
	switch {
	case errors.As(err, &refusal) && refusal.Again:
		return &commandError{exitUnavailable, refusal.Reason}
	case errors.As(err, &refusal):
		return &commandError{exitRefused, refusal.Reason}
	}
	return err
}

// print writes an answer as JSON or as a table.
func (t *tool) print(out io.Writer, v any, table func(io.Writer)) error {
	if t.asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// sharesCommand is `tillerarch shares`: who owns which machines.
func sharesCommand() *cobra.Command {
	t := &tool{}
	command := &cobra.Command{Use: "shares", Short: "Which controller owns which machines, and their moves"}
	command.PersistentFlags().StringVar(&t.address, "admin", "127.0.0.1:8090", "admin service of a controller (admin.listen in its properties)")
	command.PersistentFlags().BoolVar(&t.asJSON, "json", false, "answer as JSON")
	command.AddCommand(t.listCommand(), t.planCommand(), t.historyCommand(), t.moveCommand(), t.abortCommand(),
		t.drainCommand("drain", "Give all machines of a controller to the others, and none to it", true),
		t.drainCommand("undrain", "Let a controller take machines again", false))
	return command
}

// readCommand is a command that shows a part of the shares.
func (t *tool) readCommand(use, short string, part func(*admin.Shares) any, table func(io.Writer, *admin.Shares)) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(command *cobra.Command, _ []string) error {
		return t.with(func(ctx context.Context, client *admin.Client) error {
			s, err := client.Shares(ctx)
			if err != nil {
				return err
			}
			if s.Stale {
				fmt.Fprintf(os.Stderr, "this controller does not reach the state service: as of revision %d, may be out of date\n", s.Revision)
			}
			return t.print(command.OutOrStdout(), part(s), func(w io.Writer) { table(w, s) })
		})
	}}
}

func (t *tool) listCommand() *cobra.Command {
	var pages bool
	command := t.readCommand("list", "Controllers and what they own", func(s *admin.Shares) any { return s }, func(w io.Writer, s *admin.Shares) {
		fmt.Fprintf(w, "revision %d\n", s.Revision)
		printControllers(w, s.Controllers)
		if pages {
			fmt.Fprint(w, "PAGE\tOWNER\tEPOCH\tMACHINES\tTASKS\n")
			for _, p := range s.Pages {
				fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\n", p.Page, p.Owner, p.Epoch, p.Machines, p.Tasks)
			}
		}
	})
	command.Flags().BoolVar(&pages, "pages", false, "each page, too")
	return command
}

func printControllers(w io.Writer, controllers []admin.Controller) {
	fmt.Fprint(w, "CONTROLLER\tRUN\tPAGES\tMACHINES\tMOVES\tDRAINING\n")
	for _, c := range controllers {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%v\t%v\n", c.Member, cmp.Or(c.Run, "-"), c.Pages, c.Machines, c.Moves, c.Draining)
	}
}

func (t *tool) planCommand() *cobra.Command {
	return t.readCommand("plan", "Moves that this controller would begin now", func(s *admin.Shares) any { return s.Plan }, func(w io.Writer, s *admin.Shares) {
		fmt.Fprint(w, "PAGE\tFROM\tTO\n")
		for _, m := range s.Plan {
			fmt.Fprintf(w, "%s\t%s\t%s\n", m.Page, m.From, m.To)
		}
	})
}

func (t *tool) historyCommand() *cobra.Command {
	return t.readCommand("history", "Moves on record, open and ended, newest first", func(s *admin.Shares) any { return newestFirst(s.Moves) },
		func(w io.Writer, s *admin.Shares) { printMoves(w, newestFirst(s.Moves)) })
}

func newestFirst(moves []admin.Move) []admin.Move {
	slices.SortStableFunc(moves, func(a, z admin.Move) int { return z.Begun.Compare(a.Begun) })
	return moves
}

func printMoves(w io.Writer, moves []admin.Move) {
	fmt.Fprint(w, "MOVE\tPAGE\tMACHINES\tFROM\tTO\tPHASE\tBEGUN\tHELD\tTOOK\tWHY\n")
	for _, m := range moves {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", m.Name, m.Page, m.Machines, m.From, m.To, m.Phase, m.Begun.Format(time.RFC3339),
			between(m.Prepared, m.Passed), between(m.Begun, m.Ended), cmp.Or(m.Why, "-"))
	}
}

// between is the time from one moment to another, if there were both.
func between(from, to time.Time) string {
	if from.IsZero() || to.IsZero() {
		return "-"
	}
	return to.Sub(from).String()
}

func (t *tool) moveCommand() *cobra.Command {
	var request admin.MoveRequest
	var wait time.Duration
	command := &cobra.Command{Use: "move --to CONTROLLER (--page PAGE | --from CONTROLLER)", Short: "Move a page of machines to another controller",
		Args: cobra.NoArgs, RunE: func(command *cobra.Command, _ []string) error {
			if request.To == "" || (request.Page == "") == (request.From == "") {
				return &commandError{exitUsage, "move: --to and one of --page and --from are needed"}
			}
			if request.Name == "" {
				request.Name = fmt.Sprintf("operator-%d", time.Now().UnixNano())
			}
			return t.with(func(ctx context.Context, client *admin.Client) error {
				move, err := client.Move(ctx, &request)
				if err == nil && wait > 0 {
					move, err = awaitEnd(ctx, client, move, wait)
				}
				if err != nil {
					return err
				}
				return t.reportMove(command.OutOrStdout(), move)
			})
		}}
	command.Flags().StringVar(&request.To, "to", "", "controller that takes the machines")
	command.Flags().StringVar(&request.Page, "page", "", "page to move")
	command.Flags().StringVar(&request.From, "from", "", "controller that gives its smallest page")
	command.Flags().StringVar(&request.Name, "name", "", "name of the move; the same name again does nothing more")
	command.Flags().DurationVar(&wait, "wait", 0, "wait so long for the move to end")
	return command
}

// reportMove prints a move; one that was aborted is an error.
func (t *tool) reportMove(out io.Writer, move *admin.Move) error {
	if err := t.print(out, move, func(w io.Writer) { printMoves(w, []admin.Move{*move}) }); err != nil {
		return err
	}
	if bk.MovePhase(move.Phase) == bk.MoveAborted {
		return &commandError{exitAborted, "the move was aborted: " + move.Why}
	}
	return nil
}

// pollInterval is the pause between two looks at what a command waits for.
const pollInterval = 300 * time.Millisecond

// await asks for the shares until look is content with them, or the time is over; late
// tells then what is still missing.
func await(ctx context.Context, client *admin.Client, wait time.Duration, look func(*admin.Shares) (done bool, err error), late func() string) error {
	for deadline := time.Now().Add(wait); ; time.Sleep(pollInterval) {
		s, err := client.Shares(ctx)
		if err != nil {
			return err
		}
		if done, err := look(s); done || err != nil {
			return err
		}
		if time.Now().After(deadline) {
			return &admin.Refusal{Reason: late(), Again: true}
		}
	}
}

// awaitEnd waits until a move has ended.
func awaitEnd(ctx context.Context, client *admin.Client, move *admin.Move, wait time.Duration) (*admin.Move, error) {
	err := await(ctx, client, wait, func(s *admin.Shares) (bool, error) {
		if i := slices.IndexFunc(s.Moves, func(m admin.Move) bool { return m.Name == move.Name }); i >= 0 {
			move = &s.Moves[i]
		}
		return !bk.MovePhase(move.Phase).Open(), nil
	}, func() string {
		return fmt.Sprintf("move %s is %s; it goes on, ask `shares history`", move.Name, move.Phase)
	})
	return move, err
}

func (t *tool) abortCommand() *cobra.Command {
	return &cobra.Command{Use: "abort MOVE", Short: "Abort a move that has not passed yet", Args: cobra.ExactArgs(1), RunE: func(command *cobra.Command, args []string) error {
		return t.with(func(ctx context.Context, client *admin.Client) error {
			move, err := client.Abort(ctx, &admin.AbortRequest{Name: args[0]})
			if err != nil {
				return err
			}
			return t.print(command.OutOrStdout(), move, func(w io.Writer) { printMoves(w, []admin.Move{*move}) })
		})
	}}
}

// drainCommand is a command that begins or ends a controller's drain.
func (t *tool) drainCommand(name, short string, drain bool) *cobra.Command {
	var wait time.Duration
	command := &cobra.Command{Use: name + " CONTROLLER", Short: short, Args: cobra.ExactArgs(1), RunE: func(command *cobra.Command, args []string) error {
		return t.with(func(ctx context.Context, client *admin.Client) error {
			c, err := client.Drain(ctx, &admin.DrainRequest{Member: args[0], Drain: drain})
			if err == nil && wait > 0 {
				c, err = awaitEmpty(ctx, client, c, wait)
			}
			if err != nil {
				return err
			}
			return t.print(command.OutOrStdout(), c, func(w io.Writer) { printControllers(w, []admin.Controller{*c}) })
		})
	}}
	if drain {
		command.Flags().DurationVar(&wait, "wait", 0, "wait so long until it has no machines")
	}
	return command
}

// awaitEmpty waits until a controller owns no machines.
func awaitEmpty(ctx context.Context, client *admin.Client, c *admin.Controller, wait time.Duration) (*admin.Controller, error) {
	err := await(ctx, client, wait, func(s *admin.Shares) (bool, error) {
		i := slices.IndexFunc(s.Controllers, func(o admin.Controller) bool { return o.Member == c.Member })
		if i < 0 {
			return false, &admin.Refusal{Reason: fmt.Sprintf("%s has ended; others take its machines over", c.Member), Again: true}
		}
		c = &s.Controllers[i]
		return c.Machines == 0, nil
	}, func() string {
		return fmt.Sprintf("%s still owns %d machines; it goes on giving them away", c.Member, c.Machines)
	})
	return c, err
}
