// Command measure reads the output of the benchmarks on standard input and
// writes the table of docs/MEASUREMENTS.md: each figure beside its target.
//
//	go test -run '^$' -bench . -benchtime 1x ./... | go run ./cmd/internal/measure COMMIT
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "measure: name the commit that was measured")
		os.Exit(2)
	}
	readings, err := parse(os.Stdin)
	if err != nil {
		fmt.Fprintln(os.Stderr, "measure: "+err.Error())
		os.Exit(1)
	}
	fmt.Print(page(os.Args[1], readings))
}
