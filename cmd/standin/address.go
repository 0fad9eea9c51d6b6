package main

import "net/netip"

// address is a netip.AddrPort on the command line. The flags library ignores
// values of struct types that do not implement its Unmarshaler.
type address struct{ netip.AddrPort }

// UnmarshalFlag implements flags.Unmarshaler.
func (a *address) UnmarshalFlag(s string) error {
	v, err := netip.ParseAddrPort(s)
	a.AddrPort = v
	return err
}
