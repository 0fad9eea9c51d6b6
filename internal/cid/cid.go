// Package cid makes and reads QUIC connection IDs that name their target.
//
// The agent's QUIC endpoint issues IDs with New. A balancer that knows the
// service's keys reads the handle back with Read, without any table of flows:
//
//	k, err := cid.NewKeys(secrets)
//	id := k.New(service, handle, random)
//	handle, ok := k.Read(service, id)
//
// An ID is 20 bytes: the key's number, 3 random bytes, and one AES-128 block over
// handle, service, 4 random bytes and 4 zero bytes. Read accepts an ID only for
// the service it was made for, with 64 bits of check, so that a forged or foreign
// ID cannot cross services.
package cid

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/binary"
	"sync"

	"github.com/cockroachdb/errors"

	"mangokeel"
)

// Len is the length of an ID in bytes, the largest that QUIC version 1 allows.
const Len = 20

// KeyLen is the length of a key in bytes.
const KeyLen = 16

// Secret is one numbered key.
type Secret struct {
	Number uint8
	Key    []byte
}

// Keys holds a service's keys. New uses the last one; Read accepts all. The zero
// value reads nothing.
type Keys struct {
	// keys is ordered oldest first. It is a slice because a node holds the keys of
	// thousands of services, each with one or two.
	keys []key
	// blockPool has blocks for Read. A local array would be allocated by each call,
	// because arguments of an interface method escape.
	blockPool sync.Pool
}

type key struct {
	number uint8
	block  cipher.Block
}

// NewKeys returns the keys made from secrets, oldest first.
func NewKeys(secrets []Secret) (*Keys, error) {
	k := &Keys{}
	for _, s := range secrets {
		if len(s.Key) != KeyLen {
			return nil, errors.Newf("connection ID key %d has %d bytes, want %d", s.Number, len(s.Key), KeyLen)
		}
		b, err := aes.NewCipher(s.Key)
		if err != nil {
			return nil, errors.Wrap(err, "connection ID key")
		}
		k.keys = append(k.keys, key{s.Number, b})
	}
	return k, nil
}

// CanEncode reports whether New can be called.
func (k *Keys) CanEncode() bool { return len(k.keys) > 0 }

// Encode returns an ID for handle. The random number must differ from call to call.
// There must be a key.
func (k *Keys) Encode(service mangokeel.ServiceID, handle mangokeel.Handle, random uint64) [Len]byte {
	last := k.keys[len(k.keys)-1]
	var id, p [Len]byte
	id[0] = last.number
	id[1], id[2], id[3] = byte(random>>32), byte(random>>40), byte(random>>48)
	binary.BigEndian.PutUint32(p[4:], uint32(handle))
	binary.BigEndian.PutUint32(p[8:], uint32(service))
	binary.BigEndian.PutUint32(p[12:], uint32(random))
	last.block.Encrypt(id[4:], p[4:])
	return id
}

// cipherFor returns the cipher of a key, or nil.
func (k *Keys) cipherFor(number uint8) cipher.Block {
	for _, x := range k.keys {
		if x.number == number {
			return x.block
		}
	}
	return nil
}

// Decode returns the handle in id if id was made for service with one of the keys.
func (k *Keys) Decode(service mangokeel.ServiceID, id []byte) (mangokeel.Handle, bool) {
	if len(id) != Len {
		return 0, false
	}
	block := k.cipherFor(id[0])
	if block == nil {
		return 0, false
	}
	p, ok := k.blockPool.Get().(*[aes.BlockSize]byte)
	if !ok {
		p = new([aes.BlockSize]byte)
	}
	defer k.blockPool.Put(p)
	block.Decrypt(p[:], id[4:])
	if binary.BigEndian.Uint32(p[4:]) != uint32(service) || binary.BigEndian.Uint32(p[12:]) != 0 {
		return 0, false
	}
	h := mangokeel.Handle(binary.BigEndian.Uint32(p[:]))
	return h, h != 0
}

// FromPacket returns the destination connection ID of a QUIC packet whose server issues
// IDs of Len bytes, or nil when the packet is too short or malformed.
func FromPacket(packet []byte) []byte {
	if len(packet) == 0 {
		return nil
	}
	if packet[0]&0x80 == 0 {
		if len(packet) < 1+Len {
			return nil
		}
		return packet[1 : 1+Len]
	}
	const dcid = 6 // first byte, version (4), length of the destination ID
	if len(packet) < dcid || len(packet) < dcid+int(packet[dcid-1]) {
		return nil
	}
	return packet[dcid : dcid+int(packet[dcid-1])]
}
