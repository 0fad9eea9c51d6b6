package main

import (
	"fmt"
	"os"
	"time"
)

// Results of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

// cases has the function of each case by its name.
var cases = map[string]func(f *fleet, trouble bool) int{}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE NODE RECORD")
		os.Exit(unable)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, bin, out string) (code int) {
	fn := cases[name]
	if fn == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return unable
	}
	w, err := os.Create(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer w.Close()
	rec := &record{w: w, start: time.Now()}
	var f *fleet
	defer func() {
		if f != nil {
			f.close()
		}
		if x := recover(); x != nil {
			c, ok := x.(cannotRun)
			if !ok {
				panic(x)
			}
			rec.printf("could not run: %s", c.reason)
			code = unable
		}
		rec.printf("result: %s", [...]string{"the rule held", "the rule was broken", "could not run"}[code])
	}()
	f = newFleet(bin, rec)
	return fn(f, os.Getenv("TROUBLE") != "0")
}
