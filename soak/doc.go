// Package soak runs the real program as separate processes against stand-ins of
// the users' platform, injects faults from outside the processes, and checks the
// platform's promises from what clients and workers see.
//
//	go build -ldflags=-linkmode=external -o target/ ./cmd/... ./soak/cmd/...
//	target/soak --seed 7 --seconds 30 --keep /tmp/soak
//
// All random choices come from the seed: the plan of faults, the jobs and the habits
// of each client. The processes' timing does not, so that a seed that broke a promise
// may need a few runs to do so again. The directory of a run has the settings and logs
// of the nodes and record.log, with all that clients, workers and faults did.
//
// Each node reaches the store, each worker and each other node through a proxy of its
// own. The nodes' clocks are not disturbed other than by freezes.
package soak
