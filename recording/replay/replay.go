package replay

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/gravitational/trace"

	"violetthread/dispatch"
	"violetthread/index"
	"violetthread/recording"
)

// Replay feeds a tape to the same code and stops at the first decision that
// comes out otherwise. It returns how many events it fed.
func Replay(r io.Reader) (n int, err error) {
	var feed func(l recording.Event) (any, error)
	err = recording.Read(r, func(h recording.Header) error {
		switch h.Component {
		case "desk":
			d := &Dispatcher{Dispatcher: dispatch.New(h.Name, h.Zone, h.Incarnation)}
			feed = func(l recording.Event) (any, error) { return feedDesk(d, l) }
		case "keeper":
			k := &IndexNode{Node: index.New(h.Name, h.Zone, h.Incarnation)}
			feed = func(l recording.Event) (any, error) { return feedKeeper(k, l) }
		default:
			return trace.BadParameter("the tape is of a %q, which this program does not know", h.Component)
		}
		return nil
	}, func(line int, l recording.Event) error {
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
		if !bytes.Equal(b, l.Output) {
			return trace.CompareFailed("line %d (%s at %d) was decided as\n  %s\nand is now\n  %s\nif the rules were changed on purpose, record a new tape", line, l.Type, l.TimeUS, l.Output, b)
		}
		return nil
	})
	return n, err
}
