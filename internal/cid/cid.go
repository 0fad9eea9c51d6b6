// Package cid encodes and decodes QUIC connection IDs that contain the handle of
// their target.
//
// The agent's QUIC endpoint creates IDs with Encode. A balancer that has the
// service's keys gets the handle back with Decode, so it needs no flow table:
//
//	k, err := cid.NewKeys(secrets)
//	id := k.Encode(service, handle, random)
//	handle, ok := k.Decode(service, id)
//
// An ID has 20 bytes: the key's number, 3 random bytes, and one AES-128 block that
// encrypts the handle, the service, 4 random bytes and 4 zero bytes. Decode checks
// the service and the zero bytes, 64 bits in total, so a forged ID, or one created
// for another service, is rejected.
package cid

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/binary"
	"sync"

	"github.com/cockroachdb/errors"

	"mangokeel"
)

// Len is the length of an ID in bytes, the maximum in QUIC version 1.
const Len = 20

// KeyLen is the length of a key in bytes (AES-128).
const KeyLen = 16

// Secret is an encryption key and the number that identifies it in connection IDs.
type Secret struct {
	Number uint8
	Key    []byte
}

// Keys holds the keys of one service. Encode uses the last key, Decode accepts all
// of them. The zero value has no keys and decodes nothing.
type Keys struct {
	// keys is ordered oldest first. It is a slice rather than a map to save memory: a
	// node holds the keys of thousands of services, each with one or two keys.
	keys []key
	// blockPool holds plaintext blocks for Decode. A local array would be allocated
	// on each call because arguments of interface methods escape to the heap.
	blockPool sync.Pool
}

type key struct {
	number uint8
	block  cipher.Block
}

// NewKeys creates Keys from secrets, which must be ordered oldest first.
func NewKeys(secrets []Secret) (*Keys, error) {
	k := &Keys{}
	for _, s := range secrets {
		if len(s.Key) != KeyLen {
			return nil, errors.Newf("connection ID key %d has %d bytes, want %d", s.Number, len(s.Key), KeyLen)
		}
		b, err := aes.NewCipher(s.Key)
		if err != nil {
			return nil, errors.Wrapf(err, "create cipher for connection ID key %d", s.Number)
		}
		k.keys = append(k.keys, key{s.Number, b})
	}
	return k, nil
}

// CanEncode reports whether there is a key, so that Encode can be called.
func (k *Keys) CanEncode() bool { return len(k.keys) > 0 }

// Encode returns an ID for a handle of a service. The random number must differ from
// call to call. Encode panics if there is no key; see CanEncode.
func (k *Keys) Encode(service mangokeel.ServiceID, handle mangokeel.Handle, random uint64) [Len]byte {
	last := k.keys[len(k.keys)-1]
	// plain has the layout of id; its first 4 bytes are unused.
	var id, plain [Len]byte
	id[0] = last.number
	id[1], id[2], id[3] = byte(random>>32), byte(random>>40), byte(random>>48)
	binary.BigEndian.PutUint32(plain[4:], uint32(handle))
	binary.BigEndian.PutUint32(plain[8:], uint32(service))
	binary.BigEndian.PutUint32(plain[12:], uint32(random))
	last.block.Encrypt(id[4:], plain[4:])
	return id
}

// cipherFor returns the cipher of the key with the given number, or nil.
func (k *Keys) cipherFor(number uint8) cipher.Block {
	for _, key := range k.keys {
		if key.number == number {
			return key.block
		}
	}
	return nil
}

// Decode returns the handle in id if id was created for service with one of the keys.
func (k *Keys) Decode(service mangokeel.ServiceID, id []byte) (mangokeel.Handle, bool) {
	if len(id) != Len {
		return 0, false
	}
	block := k.cipherFor(id[0])
	if block == nil {
		return 0, false
	}
	plain, ok := k.blockPool.Get().(*[aes.BlockSize]byte)
	if !ok {
		plain = new([aes.BlockSize]byte)
	}
	defer k.blockPool.Put(plain)
	block.Decrypt(plain[:], id[4:])
	if binary.BigEndian.Uint32(plain[4:]) != uint32(service) || binary.BigEndian.Uint32(plain[12:]) != 0 {
		return 0, false
	}
	h := mangokeel.Handle(binary.BigEndian.Uint32(plain[:]))
	return h, h != 0
}

// FromPacket returns the destination connection ID of a QUIC packet, or nil if the
// packet is truncated. Short headers do not carry the length of the ID, so it is
// taken to be Len, the length of all IDs that the server issues.
func FromPacket(packet []byte) []byte {
	if len(packet) == 0 {
		return nil
	}
	if packet[0]&0x80 == 0 { // short header
		if len(packet) < 1+Len {
			return nil
		}
		return packet[1 : 1+Len]
	}
	const headerLen = 6 // flags (1 byte), version (4), length of the destination ID (1)
	if len(packet) < headerLen || len(packet) < headerLen+int(packet[headerLen-1]) {
		return nil
	}
	return packet[headerLen : headerLen+int(packet[headerLen-1])]
}
