package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// standin3 CASE PROGRAM FOLDER plays a case and exits with 1 if the rule was broken, 0 if it held and 2 if
// the case could not run.
func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE PROGRAM FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, program, folder string) int {
	fn := map[string]func(*platform, bool) (bool, error){"removed": removed, "roll": roll}[name]
	if fn == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.Close()
	r := &record{f: f, start: time.Now()}
	p, err := newPlatform(r, program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer p.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		p.close()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, disruption: %v", name, trouble)
	broken, err := fn(p, trouble)
	switch {
	case err != nil:
		r.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		r.add("result: the rule was broken")
		return 1
	}
	r.add("result: the rule held")
	return 0
}
