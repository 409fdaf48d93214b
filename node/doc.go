// Package node is the root of the module that implements the entry node
// process.
package node
