//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"
	"time"
)

// cases holds the scripted cases by their names. Each returns the broken rules.
var cases = map[string]func(w *world, trouble bool) (map[string][]string, error){}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-lab CASE PROGRAM RECORD")
		os.Exit(exitCannotRun)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", os.Args[1])
		os.Exit(exitCannotRun)
	}
	if err := loadNames(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	os.Exit(runCase(play))
}

// maxDuration is when a case that takes too long ends.
const maxDuration = 110 * time.Second

// endWithSignals ends all processes and then this one when it is told to end or a case takes too long.
func (w *world) endWithSignals() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxDuration):
		}
		w.close()
		os.Exit(exitCannotRun)
	}()
}

func runCase(play func(w *world, trouble bool) (map[string][]string, error)) int {
	w, err := newWorld(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer w.close()
	w.endWithSignals()
	found, err := play(w, os.Getenv("TROUBLE") != "0")
	if err != nil {
		w.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	var rules []string
	for rule := range found {
		rules = append(rules, rule)
	}
	sort.Strings(rules)
	for _, rule := range rules {
		fmt.Printf("%s broken %d times\n", rule, len(found[rule]))
		for i, text := range found[rule] {
			w.note("%s: %s", rule, text)
			if i < 3 {
				fmt.Println("  " + text)
			}
		}
	}
	if len(found) > 0 {
		return 1
	}
	w.note("no rule broken")
	fmt.Println("no rule broken")
	return 0
}
