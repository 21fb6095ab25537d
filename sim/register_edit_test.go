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

// TestEditIsThePlatforms: the way of an operator's order stands twice, since the
// platform's waits by real time; its constants are the platform's and the daemons'.
func TestEditIsThePlatforms(t *testing.T) {
	operator := constants(t, "../platform")
	node := constants(t, "../internal/app/control")
	directory := constants(t, "../internal/app/directory")
	follower := constants(t, "../internal/app/proxy")
	order := constants(t, "../internal/controlorder")
	for _, c := range []struct {
		name string
		have int64
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
		{"AvoidUS", directoryAvoidUS, order},
		{"leavePoll", leavePollUS, node},
		{"leaveTimeout", leaveTimeoutUS, node},
		{"slotLeaseUS", platformLeaseUS, operator},
	} {
		if want, ok := c.from[c.name]; !ok || want != c.have {
			t.Errorf("%s is %d in the daemon (found: %v) and %d here", c.name, want, ok, c.have)
		}
	}
}

// constants are those of a folder's program that are plain numbers.
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
