package sim

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// TestEditIsThePlatforms compares constants with those of the platform and the daemons, since
// the handling of an operator's request is implemented twice: the platform's waits by real
// time.
func TestEditIsThePlatforms(t *testing.T) {
	operator := constants(t, "../platform")
	node := constants(t, "../internal/app/control")
	directory := constants(t, "../internal/app/directory")
	follower := constants(t, "../internal/app/proxy")
	controlOrder := constants(t, "../internal/controlorder")
	for _, c := range []struct {
		name string
		here int64
		from map[string]int64
	}{
		{"callTimeoutUS", editTimeoutUS, operator},
		{"maxReadAgeUS", maxReadAgeUS, operator},
		{"retryIntervalUS", retryWithoutLeaderUS, operator},
		{"conflictRetryUS", retryAfterConflictUS, operator},
		{"contactInterval", contactCheckIntervalUS, node},
		{"maxHops", maxHops, node},
		{"contactTimeout", maxForwardSilenceUS, node},
		{"refreshInterval", directoryRefreshIntervalUS, directory},
		{"staleRegisterUS", maxDirectoryAgeUS, follower},
		{"AvoidUS", directoryAvoidUS, controlOrder},
		{"leavePoll", leavePollUS, node},
		{"leaveTimeout", leaveTimeoutUS, node},
		{"slotLeaseUS", platformLeaseUS, operator},
	} {
		if there, ok := c.from[c.name]; !ok || there != c.here {
			t.Errorf("%s is %d in the daemon (found: %v) and %d here", c.name, there, ok, c.here)
		}
	}
}

// constants returns the integer constants and variables of a folder's Go files, tests
// excluded.
func constants(t *testing.T, folder string) map[string]int64 {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]int64{}
	for _, file := range files {
		if !strings.HasSuffix(file, "_test.go") {
			addConstants(t, out, file)
		}
	}
	return out
}

func addConstants(t *testing.T, out map[string]int64, file string) {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(f, func(n ast.Node) bool {
		if v, ok := n.(*ast.ValueSpec); ok {
			for i, name := range v.Names {
				addConstant(out, name.Name, v.Values, i)
			}
		}
		return true
	})
}

func addConstant(out map[string]int64, name string, values []ast.Expr, i int) {
	if i >= len(values) {
		return
	}
	lit, ok := values[i].(*ast.BasicLit)
	if !ok {
		return
	}
	if n, err := strconv.ParseInt(strings.ReplaceAll(lit.Value, "_", ""), 10, 64); err == nil {
		out[name] = n
	}
}
