// Command days generates days with faults for a deployment, to be run by the users' bench, and
// summarizes the bench's report of a day in one line (docs/hunts.md).
//
//	days draw SITE SEED FILE [THEME]   writes the day of a seed to FILE; of THEME, if it is given
//	days line NAME REPORT              prints a summary of a report of the bench, in one line
//	days kinds                         lists the kinds of planned work and faults, one per line
//
// Exit code 1 means that the day of a report failed, 2 that the command failed.
package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
)

const usage = "usage: days draw SITE SEED FILE [THEME] | days line NAME REPORT | days kinds"

// errDayFailed means that a rule was violated or that the day was not passed otherwise.
var errDayFailed = errors.New("the day failed")

func main() {
	err := run(os.Args[1:], os.Stdout)
	switch {
	case errors.Is(err, errDayFailed):
		os.Exit(1)
	case err != nil:
		fmt.Fprintln(os.Stderr, "days:", err)
		os.Exit(2)
	}
}

func run(arguments []string, out io.Writer) error {
	if len(arguments) == 0 {
		return errors.New(usage)
	}
	verb, rest := arguments[0], arguments[1:]
	switch {
	case verb == "draw" && len(rest) == 3:
		return drawFile(rest[0], rest[1], rest[2], "")
	case verb == "draw" && len(rest) == 4:
		return drawFile(rest[0], rest[1], rest[2], rest[3])
	case verb == "line" && len(rest) == 2:
		return printLine(out, rest[0], rest[1])
	case verb == "kinds" && len(rest) == 0:
		return printKinds(out)
	}
	return errors.New(usage)
}

func drawFile(sitePath, seedText, dayPath, themeName string) error {
	seed, err := strconv.ParseUint(seedText, 10, 63)
	if err != nil {
		return fmt.Errorf("invalid seed %q: expected an integer from 0 to 2^63-1", seedText)
	}
	s, err := readSite(sitePath)
	if err != nil {
		return err
	}
	picked, err := themeOf(themeName, seed)
	if err != nil {
		return err
	}
	return drawTheme(s, seed, picked).write(dayPath)
}

func printLine(out io.Writer, name, reportPath string) error {
	r, err := readReport(reportPath)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintln(out, r.line(name)); err != nil {
		return err
	}
	if !r.passed() {
		return errDayFailed
	}
	return nil
}

func printKinds(out io.Writer) error {
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		if _, err := fmt.Fprintln(out, kind); err != nil {
			return err
		}
	}
	return nil
}
