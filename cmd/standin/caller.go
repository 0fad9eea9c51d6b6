package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"time"

	"mangokeel/standin"
)

type callerCommand struct {
	Address   address       `long:"address" required:"true" description:"address of the service at the fabric" value-name:"IP:PORT"`
	Cert      string        `long:"cert" required:"true" description:"certificate of the service" value-name:"FILE"`
	Duration  time.Duration `long:"duration" default:"30s"`
	Feeds     int           `long:"feeds" default:"0" description:"callers that keep a feed open"`
	Downloads int           `long:"downloads" default:"0" description:"callers that fetch one long download"`
	Bookers   int           `long:"bookers" default:"0" description:"callers that send bookings"`
	Readers   int           `long:"readers" default:"0" description:"callers that read"`
	Pause     time.Duration `long:"pause" default:"500ms" description:"mean time between requests of one caller"`
	Deadline  time.Duration `long:"deadline" default:"8s" description:"time a caller waits for one answer, resends included"`
	Seed      uint64        `long:"seed" default:"1"`
	Report    string        `long:"report" required:"true" description:"file for the counts" value-name:"FILE"`
}

// Execute implements flags.Commander.
func (c *callerCommand) Execute([]string) error {
	l := standin.Load{
		Address: c.Address.AddrPort, Cert: c.Cert, Duration: c.Duration,
		Feeds: c.Feeds, Downloads: c.Downloads, Bookers: c.Bookers, Readers: c.Readers,
		Pause: c.Pause, Deadline: c.Deadline, Seed: c.Seed,
	}
	var counts standin.Counts
	if err := l.Run(context.Background(), &counts); err != nil {
		return err
	}
	b, err := json.Marshal(counts.Report())
	if err != nil {
		return err
	}
	return os.WriteFile(c.Report, b, 0o600)
}

type certCommand struct {
	Dir string `long:"dir" required:"true" description:"folder for cert.pem and key.pem" value-name:"DIR"`
	IP  string `long:"ip" default:"127.0.0.1" description:"address that callers connect to"`
}

// Execute implements flags.Commander.
func (c *certCommand) Execute([]string) error { return standin.WriteCert(c.Dir, net.ParseIP(c.IP)) }

type verdictCommand struct {
	Name    string   `long:"name" default:"demo" description:"first word of the line of counts"`
	Reports []string `long:"report" description:"file written by a caller" value-name:"FILE"`
	Targets []string `long:"target" description:"URL of a target whose ledger is read" value-name:"URL"`
	Faulty  []string `long:"faulty" description:"host whose flows may break because of a fault of the run" value-name:"HOST"`
	TCP     bool     `long:"tcp" description:"allow flows over TCP to break because a balancer was killed"`
	Unknown bool     `long:"unknown" description:"allow requests whose outcome is unknown"`
}

// Execute implements flags.Commander.
func (c *verdictCommand) Execute([]string) error {
	var reports []standin.Report
	for _, f := range c.Reports {
		var r standin.Report
		b, err := os.ReadFile(f)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(b, &r); err != nil {
			return fmt.Errorf("%s: %w", f, err)
		}
		reports = append(reports, r)
	}
	var ledgers []standin.Ledger
	for _, t := range c.Targets {
		l, err := standin.FetchLedger(t)
		if err != nil {
			return err
		}
		ledgers = append(ledgers, l)
	}
	s := standin.Summarise(reports, ledgers, standin.Allowance{Hosts: c.Faulty, TCP: c.TCP, Unknown: c.Unknown})
	for why, n := range s.Reasons {
		fmt.Printf("%6d x %s\n", n, why)
	}
	fmt.Printf("untrue=%d crossed=%d unknown=%d allowed=%d falls=%d silence=%s at=%s\n",
		s.Untrue, s.Wrong, s.Unknown, s.Allowed, s.Falls, s.Silence.Round(time.Millisecond), s.SilenceAt.Round(time.Second))
	fmt.Printf("%s: %s\n", c.Name, s.String())
	if !s.OK() {
		return fmt.Errorf("%s failed", c.Name)
	}
	return nil
}
