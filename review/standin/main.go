// Stand-ins for the consumers, leafs and the operator of the platform's pages, and the scripts of the review.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	held     = 0
	broken   = 1
	couldNot = 2
)

func main() {
	scripts := map[string]func(*record, bool) (int, error){
		"evacuation": evacuation,
		"stop":       stop,
		"memory":     memory,
		"crash":      crash,
	}
	if len(os.Args) != 2 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCRIPT")
		os.Exit(couldNot)
	}
	record := newRecord()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
			record.note("the script was ended from outside")
		case <-time.After(112 * time.Second):
			record.note("the script took too long")
		}
		endStarted()
		os.Exit(couldNot)
	}()
	result, err := scripts[os.Args[1]](record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		result = couldNot
	}
	record.note("result %d", result)
	os.Exit(result)
}
