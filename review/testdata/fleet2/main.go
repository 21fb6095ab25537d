// Command fleet2 runs one case of review/REPORT-2.md: it starts the programs of the deploy file as
// separate processes on loopback addresses, plays the platform, the engines, the operator and the
// clients, brings the disruption about, and checks one rule by what the stand-ins saw.
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// outcome is the result of a case.
type outcome struct {
	broken bool
	text   string
}

var cases = map[string]func(*fleet, bool) (outcome, error){
	"first-ack":    firstAck,
	"first-start":  firstStart,
	"budget":       budget,
	"last-tenant":  lastTenant,
	"large-config": largeConfig,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: fleet2 CASE PROGRAM RECORD")
		return 2
	}
	f, err := newFleet(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(115 * time.Second):
		}
		f.close()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	f.note("case %s, trouble %v", os.Args[1], trouble)
	result, err := cases[os.Args[1]](f, trouble)
	switch {
	case err != nil:
		f.note("the case could not run: %v", err)
		return 2
	case result.broken:
		f.note("BROKEN: %s", result.text)
		return 1
	}
	f.note("held: %s", result.text)
	return 0
}
