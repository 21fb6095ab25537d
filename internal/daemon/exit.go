package daemon

import (
	"fmt"
	"os"
	"strings"
)

// exitCodeError is the exit code of a process that ends with an error.
const exitCodeError = 2

// Exit prints an error to standard error, each of its lines prefixed with the program's name,
// and ends the process with exit code 2.
func Exit(program string, err error) {
	for _, line := range strings.Split(err.Error(), "\n") {
		fmt.Fprintf(os.Stderr, "%s: %s\n", program, line)
	}
	os.Exit(exitCodeError)
}
