// Command standin3 plays the cases of the third review that can't be put as a day of the
// bench: it starts the project's program as processes against small stand-ins of the
// platform's store, list of machines, workers and clients.
//
//	standin3 --case NAME --program target/wigeonwinchd --record record.txt
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// With TROUBLE=0 in the environment there is no disruption.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// record is the list of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// failure is a reason why the case could not run.
type failure string

func fail(format string, args ...any) { panic(failure(fmt.Sprintf(format, args...))) }

var trouble = os.Getenv("TROUBLE") != "0"

// cases return whether the rule was broken.
var cases = map[string]func(rec *record, program string) bool{}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/wigeonwinchd", "the project's program")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	file, err := os.Create(*path)
	if err != nil || cases[*name] == nil {
		fmt.Fprintln(os.Stderr, "cannot run the case", *name, err)
		os.Exit(2)
	}
	rec := &record{file: file, began: time.Now()}
	rec.printf("case %s, trouble %v", *name, trouble)
	code := make(chan int, 3)
	go func() { code <- play(rec, cases[*name], *program) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(115 * time.Second):
		}
		rec.printf("the case is given up")
		code <- 2
	}()
	os.Exit(<-code)
}

// play runs a case and returns the exit code.
func play(rec *record, run func(*record, string) bool, program string) (code int) {
	defer func() {
		if v := recover(); v != nil {
			rec.printf("the case could not run: %v", v)
			fmt.Fprintln(os.Stderr, "the case could not run:", v)
			code = 2
		}
	}()
	if run(rec, program) {
		rec.printf("RULE BROKEN")
		return 1
	}
	rec.printf("the rule held")
	return 0
}
