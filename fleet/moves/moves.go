// Package moves decides which VMs change pool.
package moves
