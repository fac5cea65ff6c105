// Command cases runs the scripts of the review: a small deployment of the program on loopback, with
// stand-ins that follow the users' pages, and one disruption. It exits with 1 if a rule was broken, 0 if
// it held and 2 if the case could not run. With TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"os"
	"time"
)

var cases = map[string]func(d *deployment, trouble bool) error{
	"late-write":    lateWrite,
	"foreign-entry": foreignEntry,
	"storm":         storm,
	"release":       release,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(*deployment, bool) error, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	d, err := newDeployment(rec)
	if err == nil {
		defer d.stop()
		err = d.start()
	}
	if err == nil {
		err = d.startClients(4)
	}
	if err == nil {
		time.Sleep(stableWindow + time.Second)
		err = play(d, os.Getenv("TROUBLE") != "0")
	}
	if err != nil {
		rec.say("the case could not run: %v", err)
		return 2
	}
	return d.verdict()
}
