// Command standin2 plays the cases of the second review: it starts entries as processes of
// their own, in front of stand-ins of the platform's store, replicas and clients on loopback
// addresses, and judges what these have seen.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	usageMessage = "usage: standin2 CASE FOLDER"
)

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(rec *recorder, trouble bool) (broken bool, err error){
	"stop":   playStop,
	"crash":  playCrash,
	"canned": playCanned,
	"quiet":  playQuiet,
	"deep":   playDeep,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, usageMessage)
		return exitNotRun
	}
	rec, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, trouble %t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.say("%v", errors.Join(errSetup, err))
		return exitNotRun
	case broken:
		rec.say("the rule was broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}
