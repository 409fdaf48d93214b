package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

// table is a command's output in table format.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
	}
	t.rows = append(t.rows, row)
}

// printOutput prints a value as JSON or as a table, as set by the --output flag.
func printOutput(cmd *cli.Command, value any, asTable func() table) error {
	switch cmd.String("output") {
	case "json":
		encoder := json.NewEncoder(cmd.Root().Writer)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	case "table":
		return printTable(cmd, asTable())
	}
	return exitErrorf(ExitUsage, "--output %q is not supported: use json or table", cmd.String("output"))
}

func printTable(cmd *cli.Command, t table) error {
	w := tabwriter.NewWriter(cmd.Root().Writer, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(t.header, "\t")))
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// formatVMCounts lists the VM counts above 0 by state, in the order in which a VM
// passes through the states during maintenance.
func formatVMCounts(counts map[string]int) string {
	var parts []string
	for _, state := range []string{"active", "draining", "drained", "rebooting", "probation", "failed"} {
		if counts[state] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", counts[state], state))
		}
	}
	return strings.Join(parts, ", ")
}
