package main

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strconv"
	"syscall"
	"time"
)

var versionField = regexp.MustCompile(`"Version":(\d+)`)

// removed: a machine of the core is removed for good without SIGTERM after its successor has joined, and
// one other machine of the core loses its disk seconds later.
func removed(p *platform, trouble bool) (broken bool, err error) {
	const recovery = 12 * time.Second // RecoveryS
	const catchUp = 4 * time.Second   // CatchUpS
	first := []int{1, 2, 3}
	p.seeds = first
	for _, n := range first {
		if err := p.start(n, "control", fmt.Sprint("zone-", n), "", true); err != nil {
			return false, err
		}
	}
	if p.order(30*time.Second, "PUT", "/config", config(1), first...) == 0 {
		return false, fmt.Errorf("first configuration not accepted")
	}
	// The successor: a new address and an empty disk.
	const successor = 4
	if err := p.start(successor, "control", "zone-1", "", false); err != nil {
		return false, err
	}
	time.Sleep(2 * catchUp)
	all := []int{1, 2, 3, successor}
	leader := p.leader(all...)
	voters, _ := p.members(leader)
	p.add("control-%d leads, voters: %v", leader, voters)
	if !slices.Contains(voters, p.address(successor, portNode)) {
		return false, fmt.Errorf("the successor did not join: %v", voters)
	}
	gone := 0
	for _, n := range first {
		if n != leader {
			gone = n
		}
	}
	if os.Getenv("GONE") == "leader" {
		gone = leader
	}
	lost := 0
	for _, n := range first {
		if n != gone {
			lost = n
		}
	}
	rest := slices.DeleteFunc(slices.Clone(all), func(n int) bool { return n == gone })
	if p.order(5*time.Second, "PUT", "/config", config(2), all...) == 0 {
		return false, fmt.Errorf("version 2 not accepted")
	}
	if trouble {
		p.add("platform: machine %d is removed for good, without SIGTERM", gone)
		p.stop(gone, syscall.SIGKILL)
		time.Sleep(time.Second)
		p.add("platform: machine %d loses its disk", lost)
		p.stop(lost, syscall.SIGKILL)
		if err := os.RemoveAll(p.folder(lost)); err != nil {
			return false, err
		}
		time.Sleep(500 * time.Millisecond)
		if err := p.start(lost, "control", fmt.Sprint("zone-", lost), "", false); err != nil {
			return false, err
		}
	} else {
		rest = all
	}
	back := time.Now()
	time.Sleep(recovery)
	// The operator reads back what was acknowledged, and sends one more change.
	read := 0
	for end := time.Now().Add(4 * recovery); time.Now().Before(end) && read == 0; time.Sleep(500 * time.Millisecond) {
		for _, n := range rest {
			status, body := p.call(n, "GET", "/config", nil)
			if f := versionField.FindStringSubmatch(body); status == 200 && f != nil {
				read, _ = strconv.Atoi(f[1])
				p.add("operator: GET /config at control-%d: version %d", n, read)
				break
			}
			p.add("operator: GET /config at control-%d: %d %.80s", n, status, body)
		}
	}
	accepted := p.order(5*time.Second, "PUT", "/config", config(3), rest...) != 0
	for _, n := range rest {
		v, leads := p.members(n)
		p.add("control-%d: leads %v, voters %v", n, leads, v)
	}
	p.add("read back %v after the machines are back: version %d of 2; a further change accepted: %v", time.Since(back).Round(time.Second), read, accepted)
	return read < 2 || !accepted, nil
}
