package main

import (
	"encoding/binary"
	"os"
)

// headerSize is the size of the header of a record in the log of control: the magic bytes, the length of the
// payload and two checksums.
const headerSize = 16

// wholeLog reports whether the newest segment of a machine's log ends with a whole record.
func (w *world) wholeLog(m *machine) bool {
	name, _ := w.newest(m)
	b, err := os.ReadFile(name)
	if err != nil {
		return true
	}
	for len(b) > 0 {
		if len(b) < headerSize {
			return false
		}
		n := headerSize + int(binary.LittleEndian.Uint32(b[4:]))
		if n > len(b) {
			return false
		}
		b = b[n:]
	}
	return true
}
