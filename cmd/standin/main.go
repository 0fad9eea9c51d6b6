// Command standin runs the stand-ins for the systems around mangokeel: fabric,
// target and caller. They serve demonstrations and tests on loopback.
package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"mangokeel/internal/process"
)

// commands are the subcommands. Each has its options and its Execute method in a
// file of its own.
type commands struct {
	Fabric  fabricCommand  `command:"fabric" description:"hand packets and connections of a service to random balancers"`
	Target  targetCommand  `command:"target" description:"serve requests and keep a ledger of them"`
	Caller  callerCommand  `command:"caller" description:"send requests and check the responses"`
	Cert    certCommand    `command:"cert" description:"write a certificate for tests"`
	Verdict verdictCommand `command:"verdict" description:"compare the callers' reports with the targets' ledgers"`
	Report  reportCommand  `command:"report" description:"write plots and a page of figures from the callers' reports"`
}

func main() {
	parser := flags.NewParser(&commands{}, flags.HelpFlag|flags.PassDoubleDash)
	_, err := parser.Parse()
	var usage *flags.Error
	switch {
	case flags.WroteHelp(err):
		fmt.Println(err)
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(process.ExitUsage)
	case err != nil:
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(process.ExitFailure)
	}
}
