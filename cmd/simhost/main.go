// Command simhost runs the decision module against the simulator: batches on standard input, replies on
// standard output, trouble in one line on standard error.
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
