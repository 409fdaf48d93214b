package main

import (
	"bufio"
	"io"
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// reading is one measured figure of one benchmark.
type reading struct {
	benchmark string
	metric    string
	value     float64
}

// procsSuffix matches the GOMAXPROCS value that go test appends to a benchmark's
// name.
var procsSuffix = regexp.MustCompile(`-\d+$`)

// parse reads the figures from the output of go test -bench.
func parse(in io.Reader) ([]reading, error) {
	var readings []reading
	scanner := bufio.NewScanner(in)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		name := procsSuffix.ReplaceAllString(fields[0], "")
		for i := 2; i+1 < len(fields); i += 2 {
			value, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				break
			}
			readings = append(readings, reading{benchmark: name, metric: fields[i+1], value: value})
		}
	}
	return readings, errors.Wrap(scanner.Err(), "read the benchmark output")
}
