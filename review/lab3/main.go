// Program lab3 runs the cases of the third review. Each case starts a small deployment of the
// project's own program as separate processes on loopback addresses, with stand-ins for clients,
// servers and the operator, and checks one rule from what these see.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	maxExamples = 10
)

// maxTime bounds one run of a case.
const maxTime = 110 * time.Second

// lab is what a case works with.
type lab struct {
	fleet *fleet
	log   *record
	// trouble is set if the case brings about the disruption.
	trouble bool
}

// cases maps the names of the cases to their functions. A case returns the breaks of its rule, or
// an error if it could not run.
var cases = map[string]func(l *lab) (breaks []string, err error){
	"reborn":      rebornBehindCut,
	"paths":       changedPaths,
	"last-tenant": lastTenant,
	"same-place":  samePlace,
	"late-event":  lateFirstEvent,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == serverMode {
		os.Exit(runServer(os.Args[2:]))
	}
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "", "path of the program under test")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *program, *recordPath))
}

func run(name, program, recordPath string) int {
	log, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer log.close()
	breaks, err := runCase(name, program, log)
	if err != nil {
		log.say("the case could not run: %v", err)
		return exitNotRun
	}
	for i, text := range breaks {
		if i == maxExamples {
			log.say("and %d more", len(breaks)-maxExamples)
			break
		}
		log.say("broken: %s", text)
	}
	if len(breaks) > 0 {
		return exitBroken
	}
	log.say("the rule held")
	return exitHeld
}

func runCase(name, program string, log *record) ([]string, error) {
	fn := cases[name]
	if fn == nil {
		return nil, errors.New("there is no such case")
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	f, err := newFleet(program, dir, 5, 3)
	if err != nil {
		return nil, err
	}
	defer f.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(maxTime):
			log.say("the case takes too long")
		}
		f.close()
		log.close()
		os.RemoveAll(dir)
		os.Exit(exitNotRun)
	}()
	return fn(&lab{fleet: f, log: log, trouble: os.Getenv("TROUBLE") != "0"})
}
