package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes of a script.
const (
	held   = 0
	broken = 1
	unable = 2
)

var cases = map[string]func(w *world) int{"timed-jobs": timedJobs, "waiting-count": waitingCount, "gang-checkpoints": gangCheckpoints, "advice-queue-moves": adviceQueueMoves,
	"many-occurrences": manyOccurrences}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(unable)
	}
	w, err := newWorld(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unable)
	}
	time.AfterFunc(115*time.Second, func() {
		w.log("out of time")
		w.close()
		os.Exit(unable)
	})
	code := cases[os.Args[1]](w)
	w.log("verdict: exit %d", code)
	w.close()
	os.Exit(code)
}
