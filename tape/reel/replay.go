package reel

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/gravitational/trace"

	"violetthread/dispatch"
	"violetthread/index"
	"violetthread/tape"
)

// Replay feeds a tape to the same code and stops at the first decision that
// comes out otherwise. It returns how many events it fed.
func Replay(r io.Reader) (n int, err error) {
	var feed func(l tape.Line) (any, error)
	err = tape.Read(r, func(h tape.Head) error {
		switch h.Part {
		case "desk":
			d := &Desk{Dispatcher: dispatch.New(h.Name, h.Site, h.Inc)}
			feed = func(l tape.Line) (any, error) { return feedDesk(d, l) }
		case "keeper":
			k := &Keeper{Node: index.New(h.Name, h.Site, h.Inc)}
			feed = func(l tape.Line) (any, error) { return feedKeeper(k, l) }
		default:
			return trace.BadParameter("the tape is of a %q, which this program does not know", h.Part)
		}
		return nil
	}, func(line int, l tape.Line) error {
		out, err := feed(l)
		if err != nil {
			return trace.BadParameter("line %d can't be fed: %v; the tape was changed", line, err)
		}
		n++
		var b []byte
		if out != nil {
			if b, err = json.Marshal(out); err != nil {
				return err
			}
		}
		if !bytes.Equal(b, l.Out) {
			return trace.CompareFailed("line %d (%s at %d) was decided as\n  %s\nand is now\n  %s\nif the rules were changed on purpose, record a new tape", line, l.Kind, l.At, l.Out, b)
		}
		return nil
	})
	return n, err
}
