// Command violetthread runs a node of a violetthread fleet on a platform that tells
// it all it needs in a settings file (docs/platform.md).
package main

import (
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/integrii/flaggy"

	"violetthread/internal/daemon"
	"violetthread/platform"
)

func main() {
	p := flaggy.NewParser("violetthread")
	p.Description, p.Version, p.ShowCompletion = "A node of a violetthread fleet on a platform with a settings file of its own.", daemon.Version, false
	boot := platform.BootPath()
	p.String(&boot, "b", "boot", "settings file that the platform wrote")
	verb := func(name, about string) *flaggy.Subcommand {
		c := flaggy.NewSubcommand(name)
		c.Description = about
		p.AttachSubcommand(c, 1)
		return c
	}
	proxy := verb("proxy", "take callers' requests and pass them through to engines")
	control := verb("control", "keep the control state, follow the engines, answer operators")
	check := verb("check", "read the settings file, list every mistake and end")
	if err := p.ParseArgs(os.Args[1:]); err != nil {
		daemon.Exit("violetthread", trace.BadParameter("flags: %v; see --help", err))
	}
	b, err := platform.ReadBoot(boot)
	if err == nil {
		switch {
		case proxy.Used:
			err = platform.Proxy(b)
		case control.Used:
			err = platform.Control(b)
		case check.Used:
			fmt.Printf("%s is in order: node=%s class=%s\n", boot, b.Node, b.Class)
		default:
			p.ShowHelp()
		}
	}
	if err != nil {
		daemon.Exit("violetthread", err)
	}
}
