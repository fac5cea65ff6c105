// Command standins3 runs the cases of the third review. A case starts forwarders with the command of
// the deploy file and plays the platform around them: store, backend servers, routers, clients and
// operators, all on loopback addresses.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errNotRun marks a case that could not run, so that it says nothing about the rule.
var errNotRun = errors.New("the case could not run")

// scenario plays a case and returns the breaches of its rule. Without trouble it leaves out the
// disruption.
type scenario func(d *deployment, trouble bool) (breaches []string, err error)

var scenarios = map[string]scenario{
	"foreign-claim":  playForeignClaim,
	"foreign-pair":   playForeignPair,
	"foreign-fields": playForeignFields,
	"reused-port":    playReusedPort,
	"old-service":    playOldService,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins3 SCENARIO FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	log, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer log.close()
	trouble := os.Getenv("TROUBLE") != "0"
	log.printf("scenario %s, trouble %v", name, trouble)
	d := newDeployment(log)
	defer d.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-interrupted
		d.close()
		os.Exit(exitNotRun)
	}()
	breaches, err := scenarios[name](d, trouble)
	if err != nil {
		log.printf("not run: %v", err)
		return exitNotRun
	}
	for _, b := range breaches {
		log.printf("BROKEN %s", b)
	}
	if len(breaches) > 0 {
		log.printf("the rule was broken %d times", len(breaches))
		return exitBroken
	}
	log.printf("the rule held")
	return exitHeld
}
