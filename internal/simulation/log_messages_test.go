package simulation

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// logMessage is a message that controllers log. Tests count lines with such messages, also
// where they want none: TestLogMessagesAreCurrent checks that the messages exist.
type logMessage string

func (m logMessage) isIn(line string) bool { return strings.Contains(line, string(m)) }

// logMessages are messages of which one is looked for.
type logMessages []logMessage

func (all logMessages) areIn(line string) bool {
	return slices.ContainsFunc(all, func(m logMessage) bool { return m.isIn(line) })
}

const (
	logDrainChanged        logMessage = "machine drain changed"
	logTasksPlaced         logMessage = "tasks placed"
	logTransactionConflict logMessage = "transaction conflict"
)

// scaleInMessages say that a machine is returned to the cloud, on record or not.
var scaleInMessages = logMessages{"machine scale-in", "unrecorded machine termination"}

// ownershipMessages say that a machine or a shard gets another owner, or that a task has ended
// or is placed anew.
var ownershipMessages = logMessages{
	"machine adopted",
	"orphaned instance adopted",
	"machine handed off",
	"shard ownership transferred",
	"shard failover",
	"tasks requeued",
	"task ended incomplete",
}

// ownershipKeywords are parts of messages that ownershipMessages must have all of.
var ownershipKeywords = []string{"adopted", "handed off", "ownership transferred", "shard failover", "requeued", "task ended"}

// loggedMessages are the messages of all log calls of the controllers' core, read from its
// sources: literals that are the second argument of a method Log.
func loggedMessages(t *testing.T) map[string]bool {
	t.Helper()
	messages := map[string]bool{}
	err := filepath.WalkDir("../coordination", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if message, ok := messageOfLogCall(n); ok {
				messages[message] = true
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return messages
}

func messageOfLogCall(n ast.Node) (string, bool) {
	call, ok := n.(*ast.CallExpr)
	if !ok || len(call.Args) < 2 {
		return "", false
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || method.Sel.Name != "Log" {
		return "", false
	}
	literal, ok := call.Args[1].(*ast.BasicLit)
	if !ok {
		return "", false
	}
	message, err := strconv.Unquote(literal.Value)
	return message, err == nil
}

// The messages that tests look for are logged by the core, and none that belongs to a set is
// missing from it: a test that wants no line with a message would pass unseen after a rename.
func TestLogMessagesAreCurrent(t *testing.T) {
	logged := loggedMessages(t)
	for _, message := range slices.Concat(scaleInMessages, ownershipMessages, logMessages{logDrainChanged, logTasksPlaced, logTransactionConflict}) {
		if !logged[string(message)] {
			t.Errorf("no log call has the message %q", message)
		}
	}
	for message := range logged {
		for _, keyword := range ownershipKeywords {
			if strings.Contains(message, keyword) && !slices.Contains(ownershipMessages, logMessage(message)) {
				t.Errorf("the message %q is not among those of changes of ownership", message)
			}
		}
	}
}
