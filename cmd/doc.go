// Package cmd is the root of the module with the two binaries: wigeonwinchd,
// the entry node, and wigeonwinch, the command line client for operators and
// pipelines.
package cmd
