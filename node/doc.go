// Package node is the module of the running entry node.
package node
