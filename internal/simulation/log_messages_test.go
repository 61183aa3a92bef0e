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

// logMessage is a message that controllers log. Tests count lines with such messages, and some
// tests want no such line, so TestLogMessagesAreCurrent checks that the messages exist.
type logMessage string

// isIn reports whether a log line has the message.
func (m logMessage) isIn(line string) bool { return strings.Contains(line, string(m)) }

// logMessages is a set of messages of which a test looks for any.
type logMessages []logMessage

// isAnyIn reports whether a log line has one of the messages.
func (messages logMessages) isAnyIn(line string) bool {
	return slices.ContainsFunc(messages, func(m logMessage) bool { return m.isIn(line) })
}

const (
	logDrainChanged         logMessage = "machine drain changed"
	logTasksPlaced          logMessage = "tasks placed"
	logTransactionConflict  logMessage = "transaction conflict"
	logTransactionOversized logMessage = "transaction exceeds write limits, not sent"
)

// scaleInMessages are logged when a machine is returned to the cloud, whether or not the machine is
// recorded in the store.
var scaleInMessages = logMessages{"machine scale-in", "unrecorded machine termination"}

// ownershipMessages are logged when a machine or a shard gets another owner, or when tasks end
// incomplete or are placed again.
var ownershipMessages = logMessages{
	"machine adopted",
	"orphaned instance adopted",
	"machine handed off",
	"shard ownership transferred",
	"shard failover",
	"tasks requeued",
	"task ended incomplete",
}

// ownershipKeywords are parts of messages. ownershipMessages must have every logged message that
// contains one of them.
var ownershipKeywords = []string{"adopted", "handed off", "ownership transferred", "shard failover", "requeued", "task ended"}

// loggedMessages returns the messages of all log calls of the controllers' core. It reads them from
// the core's sources, as literals that are the second argument of a method Log.
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
		ast.Inspect(file, func(node ast.Node) bool {
			if message, ok := messageOfLogCall(node); ok {
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

// messageOfLogCall returns the message of a node that is a call of a method Log with a literal
// message. It reports false for other nodes.
func messageOfLogCall(node ast.Node) (string, bool) {
	call, ok := node.(*ast.CallExpr)
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

// TestLogMessagesAreCurrent checks that the core logs the messages that tests look for, and that
// ownershipMessages is complete. Otherwise a test that wants no line with a message would pass
// unnoticed after the message was renamed.
func TestLogMessagesAreCurrent(t *testing.T) {
	logged := loggedMessages(t)
	for _, message := range slices.Concat(scaleInMessages, ownershipMessages, logMessages{logDrainChanged, logTasksPlaced, logTransactionConflict, logTransactionOversized}) {
		if !logged[string(message)] {
			t.Errorf("no log call has the message %q, which tests look for", message)
		}
	}
	for message := range logged {
		for _, keyword := range ownershipKeywords {
			if strings.Contains(message, keyword) && !slices.Contains(ownershipMessages, logMessage(message)) {
				t.Errorf("the message %q is missing from ownershipMessages", message)
			}
		}
	}
}
