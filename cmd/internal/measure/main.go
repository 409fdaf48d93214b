// Command measure reads benchmark output from standard input and prints
// docs/MEASUREMENTS.md, which lists each figure with its target.
//
//	go test -run '^$' -bench . -benchtime 1x ./... | go run ./cmd/internal/measure COMMIT
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "measure: missing argument: the commit that was measured")
		os.Exit(2)
	}
	readings, err := parse(os.Stdin)
	if err != nil {
		fmt.Fprintln(os.Stderr, "measure: "+err.Error())
		os.Exit(1)
	}
	fmt.Print(renderPage(os.Args[1], readings))
}
