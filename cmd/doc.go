// Package cmd is the module of the two binaries: wigeonwinchd, the entry
// node, and wigeonwinch, the command line of operators and pipelines.
package cmd
