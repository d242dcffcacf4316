// Command standin plays a case of the review: it starts processes of the project on loopback addresses
// with stand-ins of clients, runners, operator and platform, and checks one rule.
//
// Usage: standin CASE FOLDER. It exits with 1 if the rule was broken, 0 if it held and 2 if the case
// could not run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

const (
	held, broken, failed = 0, 1, 2
)

var cases = map[string]func(rec *record, root string, trouble bool) (int, error){
	"stale-rejection": staleRejection,
	"first-start":     firstStart,
	"stale-order":     staleOrder,
	"silence":         silence,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return failed
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	result, err := cases[os.Args[1]](rec, root, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.say("the case could not run: %v", err)
		return failed
	}
	return result
}
