// Command standins2 plays the scripts of the second review: it starts forwarders as processes beside
// stand-ins of the users' platform, hosts and clients, all on loopback addresses.
package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"time"
)

// outcome of a script.
const (
	held   = 0
	broken = 1
	failed = 2
)

var scripts = map[string]func(w *world, trouble bool) error{
	"cut":      cut,
	"entry":    entry,
	"freeze":   freeze,
	"leave":    leave,
	"timeouts": timeouts,
}

func main() {
	if len(os.Args) != 3 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins2 SCRIPT RECORD")
		os.Exit(failed)
	}
	os.Exit(play(scripts[os.Args[1]], os.Args[2]))
}

func play(script func(*world, bool) error, record string) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer w.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	w.record("trouble: %v", trouble)
	done := make(chan error, 1)
	go func() { done <- script(w, trouble) }()
	select {
	case err = <-done:
	case <-time.After(110 * time.Second):
		err = fmt.Errorf("the script has not ended after 110 s")
	}
	if err == nil {
		for _, f := range w.fronts {
			select {
			case <-f.ended:
				err = fmt.Errorf("the process of %s has ended", f.name)
			default:
			}
		}
	}
	if err != nil {
		w.record("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	sort.Strings(w.violations)
	fmt.Fprintf(w.out, "%d violations\n", len(w.violations))
	fmt.Printf("%d violations\n%s\n", len(w.violations), strings.Join(w.violations, "\n"))
	if len(w.violations) > 0 {
		return broken
	}
	return held
}
