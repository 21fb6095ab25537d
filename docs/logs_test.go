package docs

import (
	"fmt"
	"go/ast"
	"go/token"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"violetthread/quorum"
)

// logPage is the page that documents every log event with its keys, and the meaning of every key.
const logPage = "logs.md"

var snakeCase = regexp.MustCompile(`^[a-z][a-z0-9]*(_[a-z0-9]+)*$`)

// logEvents maps the name of each log event to the set of its keys.
type logEvents map[string]map[string]bool

func (e logEvents) add(event string, keys ...string) {
	if e[event] == nil {
		e[event] = map[string]bool{}
	}
	for _, key := range keys {
		e[event][key] = true
	}
}

func (e logEvents) keys() map[string]bool {
	all := map[string]bool{}
	for _, keys := range e {
		for key := range keys {
			all[key] = true
		}
	}
	return all
}

// sorted returns the members of a set in sorted order.
func sorted(set map[string]bool) []string {
	var members []string
	for member := range set {
		members = append(members, member)
	}
	slices.Sort(members)
	return members
}

// loggedEvents collects the events of all calls of logr.Logger.Info and Error in the project's
// source files other than tests. In a call, the event and its keys must be literals, so that they
// can be found by a text search.
func loggedEvents(t *testing.T) logEvents {
	t.Helper()
	events := logEvents{}
	eachSourceFile(t, func(files *token.FileSet, file *ast.File) {
		ast.Inspect(file, func(node ast.Node) bool {
			if call, ok := node.(*ast.CallExpr); ok {
				if problem := events.addCall(call); problem != "" {
					t.Errorf("%s: %s", files.Position(call.Pos()), problem)
				}
			}
			return true
		})
	})
	return events
}

// addCall adds the event of a call, if it is a logging call. It returns a description of the
// problem if the event or a key can't be determined, else "".
func (e logEvents) addCall(call *ast.CallExpr) string {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 || method.Sel.Name != "Info" && method.Sel.Name != "Error" {
		return ""
	}
	arguments := call.Args
	if method.Sel.Name == "Error" {
		arguments = arguments[1:] // skip the error value
	}
	if len(arguments) == 0 {
		return "" // not a logger: Error with one argument, for example of testing.T
	}
	if call.Ellipsis.IsValid() {
		return e.addCoreEvents(arguments)
	}
	event, ok := literal(arguments[0])
	if !ok {
		return "the event is not a string literal"
	}
	var keys []string
	for i := 1; i < len(arguments); i += 2 {
		key, ok := literal(arguments[i])
		if !ok {
			return fmt.Sprintf("a key of event %s is not a string literal", event)
		}
		keys = append(keys, key)
	}
	e.add(event, keys...)
	return ""
}

// addCoreEvents adds the events that package quorum defines itself, which are logged as
// Info(event.Type.String(), event.KeysAndValues()...). Frequent ones are not logged.
func (e logEvents) addCoreEvents(arguments []ast.Expr) string {
	if len(arguments) != 2 || !callsMethod(arguments[0], "String") || !callsMethod(arguments[1], "KeysAndValues") {
		return "the event is neither a string literal nor an event of package quorum"
	}
	for kind := quorum.EventType(1); ; kind++ {
		pairs := quorum.Event{Type: kind}.KeysAndValues()
		if pairs == nil {
			return ""
		}
		if kind.Frequent() {
			continue // not logged
		}
		e.add(kind.String())
		for i := 0; i < len(pairs); i += 2 {
			e.add(kind.String(), pairs[i].(string))
		}
	}
}

func callsMethod(expression ast.Expr, name string) bool {
	call, ok := expression.(*ast.CallExpr)
	if !ok {
		return false
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	return ok && method.Sel.Name == name
}

func literal(expression ast.Expr) (string, bool) {
	basic, ok := expression.(*ast.BasicLit)
	if !ok || basic.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(basic.Value)
	return text, err == nil
}

// documentedEvents parses the log page: table rows in section "Events" list events with their
// keys, those in section "Keys" list keys.
func documentedEvents(t *testing.T) (events logEvents, keys map[string]bool) {
	t.Helper()
	text, err := os.ReadFile(logPage)
	if err != nil {
		t.Fatal(err)
	}
	events, keys = logEvents{}, map[string]bool{}
	section := ""
	for line := range strings.Lines(string(text)) {
		if title, ok := strings.CutPrefix(line, "## "); ok {
			section = strings.TrimSpace(title)
			continue
		}
		cells := strings.Split(line, "|")
		if len(cells) < 4 || !strings.HasPrefix(strings.TrimSpace(cells[1]), "`") {
			continue
		}
		for _, cell := range cells[1 : len(cells)-1] {
			if text := strings.TrimSpace(cell); text == "" || text == "TODO" {
				t.Errorf("%s: the row of %s has an empty or TODO cell", logPage, strings.TrimSpace(cells[1]))
			}
		}
		names := codeNames(cells[1])
		switch section {
		case "Events":
			for _, event := range names {
				events.add(event, codeNames(cells[2])...)
			}
		case "Keys":
			for _, key := range names {
				keys[key] = true
			}
		}
	}
	return events, keys
}

func codeNames(cell string) []string {
	var names []string
	for _, match := range inCode.FindAllStringSubmatch(cell, -1) {
		names = append(names, match[1])
	}
	return names
}

// TestLogPage checks that the log page documents exactly the events that the code logs, each with
// exactly its keys, and the meaning of exactly these keys.
func TestLogPage(t *testing.T) {
	logged := loggedEvents(t)
	documented, documentedKeys := documentedEvents(t)
	if len(logged) < 20 {
		t.Fatalf("only %d log events were found in the code", len(logged))
	}
	for event, keys := range logged {
		if documented[event] == nil {
			t.Errorf("event %s is logged but not documented in %s; keys %v", event, logPage, sorted(keys))
		} else if got, want := sorted(documented[event]), sorted(keys); !slices.Equal(got, want) {
			t.Errorf("event %s has the keys %v, but %s documents %v", event, want, logPage, got)
		}
	}
	for event := range documented {
		if logged[event] == nil {
			t.Errorf("event %s is documented in %s but not logged", event, logPage)
		}
	}
	loggedKeys := logged.keys()
	for key := range loggedKeys {
		if !documentedKeys[key] {
			t.Errorf("key %s is logged but not documented in %s", key, logPage)
		}
	}
	for key := range documentedKeys {
		if !loggedKeys[key] && !slices.Contains(commonKeys, key) {
			t.Errorf("key %s is documented in %s but not logged with any event", key, logPage)
		}
	}
}

// commonKeys are the keys that the logger itself adds to every line.
var commonKeys = []string{"at", "program", "node", "event"}

// TestLogNames checks that the names of log events and keys are snake_case.
func TestLogNames(t *testing.T) {
	for event, keys := range loggedEvents(t) {
		for _, name := range append(sorted(keys), event) {
			if !snakeCase.MatchString(name) {
				t.Errorf("event %s: %q is not snake_case", event, name)
			}
		}
	}
}
