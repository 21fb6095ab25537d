package daemon

import (
	"fmt"
	"io"
	"os"
	"regexp"
	"sync"
	"time"

	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// timeFormat is UTC with microseconds.
const timeFormat = "2006-01-02T15:04:05.000000Z"

// quotedKey and quotedWord match quotes around keys and one-word values, which the library
// writes and newLogger removes. Quotes inside a value are escaped and never match.
var (
	quotedKey  = regexp.MustCompile(`(^| )"([a-z0-9_]+)"=`)
	quotedWord = regexp.MustCompile(`="([A-Za-z0-9_.:/#-]+)"`)
)

// NewLogger returns a logger that writes each event to standard error as one line of key=value
// pairs. The message of a call is the event's name, in snake_case.
func NewLogger(program, node string) logr.Logger { return newLogger(os.Stderr, program, node) }

func newLogger(out io.Writer, program, node string) logr.Logger {
	var mu sync.Mutex
	write := func(_, args string) {
		args = quotedKey.ReplaceAllString(args, "$1$2=")
		args = quotedWord.ReplaceAllString(args, "=$1")
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(out, "at=%s program=%s node=%s %s\n", time.Now().UTC().Format(timeFormat), program, node, args)
	}
	return funcr.New(write, funcr.Options{RenderBuiltinsHook: renderBuiltins})
}

// renderBuiltins renames the message to "event" and removes the library's level and logger
// name.
func renderBuiltins(pairs []any) []any {
	rendered := []any{}
	for i := 0; i+1 < len(pairs); i += 2 {
		switch pairs[i] {
		case "level", "logger":
		case "msg":
			rendered = append(rendered, "event", pairs[i+1])
		default:
			rendered = append(rendered, pairs[i], pairs[i+1])
		}
	}
	return rendered
}

// discardLogger drops the log lines of the HTTP library, which are not in the format of
// NewLogger.
type discardLogger struct{}

// Log drops a line.
func (discardLogger) Log(klog.Level, ...any) error { return nil }

// The logger of the HTTP library is global, so it is set before any other code runs.
func init() { klog.SetLogger(discardLogger{}) }
