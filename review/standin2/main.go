package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

var cases = map[string]func(r *Record, program string, trouble bool) (broken bool, err error){
	"endless": runEndless,
	"upgrade": runUpgrade,
	"overlap": runOverlap,
	"joined":  runJoined,
}

// main plays a case: review2 CASE FOLDER. It exits with 1 if the rule was broken, 0 if it held and 2 if
// the case could not run.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER")
		os.Exit(2)
	}
	f, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := &Record{f: f, began: time.Now()}
	program, err := filepath.Abs("target/gullhavend")
	if err != nil {
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](r, program, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.Printf("not judged: %v", err)
		if !errors.Is(err, errNotRun) {
			fmt.Fprintln(os.Stderr, err)
		}
		os.Exit(2)
	case broken:
		r.Printf("the rule was broken")
		os.Exit(1)
	}
	r.Printf("the rule held")
}
