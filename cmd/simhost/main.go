// Command simhost runs the policy against the simulator. It reads batches from standard input and writes replies to
// standard output. An error ends it with one line on standard error.
package main

import (
	"fmt"
	"os"

	"lapisshelf/internal/simhost"
)

func main() {
	if err := simhost.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
