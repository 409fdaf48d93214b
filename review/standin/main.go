// Command standin plays one case of the review: it starts stand-ins of the
// platform's store, its workers, its service for machines and its clients, starts
// the project's program as separate processes, and checks one rule.
//
//	standin CASE RECORD
//
// It runs in the root of the repository. TROUBLE=0 leaves the disruption out. The
// exit code is 1 if the rule was broken, 0 if it held and 2 if the case could not
// run.
package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var cases = map[string]func(p *Platform, trouble bool){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE RECORD")
		os.Exit(2)
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	recordFile = bufio.NewWriter(f)
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	p := newPlatform(dir)
	cleanUp = func() {
		p.stopAll()
		if os.Getenv("KEEP_LOGS") == "" {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Println("logs:", dir)
		}
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		exit(2)
	}()
	time.AfterFunc(112*time.Second, func() {
		logLine("the case takes too long")
		exit(2)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	logLine("case %s, trouble %v", os.Args[1], trouble)
	cases[os.Args[1]](p, trouble)
	p.judge.mu.Lock()
	broken := p.judge.broken
	p.judge.mu.Unlock()
	if len(broken) > 0 {
		fmt.Printf("broken, %d times; the first: %s\n", len(broken), broken[0])
		exit(1)
	}
	fmt.Println("the rule held")
	exit(0)
}

// startNodes starts n nodes and waits until each service takes jobs.
func (p *Platform) startNodes(n int, queues ...string) {
	for range n {
		p.addNode()
	}
	for _, node := range p.nodes {
		node.awaitReady()
	}
	for _, q := range queues {
		id := newID()
		if !p.submit(q, id, job(50, 10, []map[string]any{step(1, 10, 50, nil)}, nil)) || !p.await(20*time.Second, func() bool {
			_, state := p.nodes[0].state(q, id)
			return state == "completed"
		}) {
			logLine("the system does not run jobs of %s", q)
			exit(2)
		}
	}
}

// await waits until f returns true; it returns false after the given time.
func (p *Platform) await(most time.Duration, f func() bool) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}
