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

// logPage lists every log event with its keys, and every key with its meaning.
const logPage = "logs.md"

var snakeCase = regexp.MustCompile(`^[a-z][a-z0-9]*(_[a-z0-9]+)*$`)

// logEvents is the log as the code writes it: the keys of each event.
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

// sorted lists the members of a set in order.
func sorted(set map[string]bool) []string {
	var members []string
	for member := range set {
		members = append(members, member)
	}
	slices.Sort(members)
	return members
}

// loggedEvents reads all calls of logr.Logger.Info and Error in the product's source. An
// event and its keys must be literals there, so that they can be searched for.
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

// addCall adds what a call logs; it tells what is wrong with the call, "" if nothing is.
func (e logEvents) addCall(call *ast.CallExpr) string {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 || method.Sel.Name != "Info" && method.Sel.Name != "Error" {
		return ""
	}
	arguments := call.Args
	if method.Sel.Name == "Error" {
		arguments = arguments[1:] // the error
	}
	if len(arguments) == 0 {
		return "" // testing.T.Error and its like
	}
	if call.Ellipsis.IsValid() {
		return e.addTyped(arguments)
	}
	event, ok := literal(arguments[0])
	if !ok {
		return "the event is no literal"
	}
	var keys []string
	for i := 1; i < len(arguments); i += 2 {
		key, ok := literal(arguments[i])
		if !ok {
			return fmt.Sprintf("a key of event %s is no literal", event)
		}
		keys = append(keys, key)
	}
	e.add(event, keys...)
	return ""
}

// addTyped adds the events that the agreement core types itself, which are logged as
// Info(event.Type.String(), event.KeysAndValues()...).
func (e logEvents) addTyped(arguments []ast.Expr) string {
	if len(arguments) != 2 || !callsMethod(arguments[0], "String") || !callsMethod(arguments[1], "KeysAndValues") {
		return "the event is no literal, and no event of the agreement core"
	}
	for kind := quorum.EventType(1); ; kind++ {
		pairs := quorum.Event{Type: kind}.KeysAndValues()
		if pairs == nil {
			return ""
		}
		if kind.Frequent() {
			continue // left out of the log
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

// documentedEvents reads the page: rows below "Events" are events with their
// keys, rows below "Keys" are keys.
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
				t.Errorf("%s: something is missing in the row of %s", logPage, strings.TrimSpace(cells[1]))
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

// TestLogPage: the page lists the events that the code logs, each with its keys, and no others.
func TestLogPage(t *testing.T) {
	logged := loggedEvents(t)
	documented, documentedKeys := documentedEvents(t)
	if len(logged) < 20 {
		t.Fatalf("only %d events were found in the code", len(logged))
	}
	for event, keys := range logged {
		if documented[event] == nil {
			t.Errorf("event %s is logged and not in %s; keys %v", event, logPage, sorted(keys))
		} else if got, want := sorted(documented[event]), sorted(keys); !slices.Equal(got, want) {
			t.Errorf("event %s has the keys %v; %s says %v", event, want, logPage, got)
		}
	}
	for event := range documented {
		if logged[event] == nil {
			t.Errorf("event %s is in %s, and nothing logs it", event, logPage)
		}
	}
	loggedKeys := logged.keys()
	for key := range loggedKeys {
		if !documentedKeys[key] {
			t.Errorf("key %s has no meaning in %s", key, logPage)
		}
	}
	for key := range documentedKeys {
		if !loggedKeys[key] && !slices.Contains(keysOfEveryLine, key) {
			t.Errorf("key %s is in %s, and no event has it", key, logPage)
		}
	}
}

// keysOfEveryLine are written by the logger itself.
var keysOfEveryLine = []string{"at", "program", "node", "event"}

// TestLogNames: events and keys are snake_case.
func TestLogNames(t *testing.T) {
	for event, keys := range loggedEvents(t) {
		for _, name := range append(sorted(keys), event) {
			if !snakeCase.MatchString(name) {
				t.Errorf("event %s: %q is not snake_case", event, name)
			}
		}
	}
}
