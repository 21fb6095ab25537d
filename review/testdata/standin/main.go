// Command standin plays what surrounds the programs of the deploy file, for the cases of the
// review: the platform's list, engines, the operator and clients.
//
//	standin CASE RECORD
//
// It runs at the root of the repository, starts target/violetthread in a temporary folder and
// exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0
// leaves the disruption out.
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout ends a case that hangs.
const caseTimeout = 110 * time.Second

// scenario plays a case on a fleet; an error says why it could not run.
type scenario func(ctx context.Context, f *fleet, trouble bool) error

var scenarios = map[string]scenario{
	"early":    playEarly,
	"hangup":   playHangup,
	"latesend": playLateSend,
	"limits":   playLimits,
	"queue":    playQueue,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitNotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.file.Close()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	}
	f, err := newFleet(r, folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("case %s, trouble %v", os.Args[1], trouble)
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	err = scenarios[os.Args[1]](ctx, f, trouble)
	f.stopAll()
	switch {
	case r.breaks() > 0:
		fmt.Printf("the rule was broken %d times\n", r.breaks())
		return exitBroken
	case err != nil:
		r.note("NOT RUN %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
