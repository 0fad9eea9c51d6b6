package main

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jessevdk/go-flags"
)

// Guards against addresses that the flags library silently leaves empty, so that a
// stand-in listens on a random port.
func TestAddressFlag(t *testing.T) {
	c := qt.New(t)
	var opts struct {
		Listen address `long:"listen"`
	}
	_, err := flags.ParseArgs(&opts, []string{"--listen", "127.0.0.1:9"})
	c.Assert(err, qt.IsNil)
	c.Assert(opts.Listen.String(), qt.Equals, "127.0.0.1:9")
	_, err = flags.ParseArgs(&opts, []string{"--listen", "here"})
	c.Assert(err, qt.Not(qt.IsNil))
}
