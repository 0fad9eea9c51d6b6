package bucket

import "math/bits"

// maxPacked bounds the buckets that Unpack accepts, above the largest table.
const maxPacked = 1 << 16

// Pack returns a short form of the set: the gaps between its buckets in Rice code
// after one byte with the code's parameter. An empty set gives nil.
//
// A target that leaves a service of seven holds about a seventh of 4,096 buckets,
// which Pack writes in some 320 bytes instead of 512; small sets take about one
// byte for each bucket.
func (m Bitmap) Pack() []byte {
	count, last := 0, uint32(0)
	for b := range m.All {
		count++
		last = b
	}
	if count == 0 {
		return nil
	}
	// The best parameter is close to the logarithm of the mean gap.
	k := max(bits.Len32((last+1)/uint32(count))-1, 0)
	w := bitWriter{out: []byte{byte(k)}}
	next := uint32(0)
	for b := range m.All {
		w.rice(b-next, k)
		next = b + 1
	}
	return w.finish()
}

// Unpack is the inverse of Pack. It ignores what follows a malformed gap.
func Unpack(p []byte) Bitmap {
	if len(p) == 0 {
		return nil
	}
	var m Bitmap
	r := bitReader{in: p[1:]}
	next := uint32(0)
	for {
		gap, ok := r.rice(int(p[0]))
		if !ok || next+gap >= maxPacked {
			return m
		}
		m = m.With(next + gap)
		next += gap + 1
	}
}

// bitWriter appends bits, the lowest of each byte first.
type bitWriter struct {
	out []byte
	n   int
}

func (w *bitWriter) bit(v uint32) {
	if w.n%8 == 0 {
		w.out = append(w.out, 0)
	}
	w.out[len(w.out)-1] |= byte(v&1) << (w.n % 8)
	w.n++
}

// rice writes the quotient by 2^k in unary, a 0, and the remainder in k bits.
func (w *bitWriter) rice(v uint32, k int) {
	for range v >> k {
		w.bit(1)
	}
	w.bit(0)
	for i := range k {
		w.bit(v >> i)
	}
}

// finish fills the last byte with ones, which no reader takes for a gap.
func (w *bitWriter) finish() []byte {
	for w.n%8 != 0 {
		w.bit(1)
	}
	return w.out
}

type bitReader struct {
	in []byte
	n  int
}

func (r *bitReader) bit() (uint32, bool) {
	if r.n/8 >= len(r.in) {
		return 0, false
	}
	v := uint32(r.in[r.n/8]>>(r.n%8)) & 1
	r.n++
	return v, true
}

func (r *bitReader) rice(k int) (uint32, bool) {
	v := uint32(0)
	for {
		b, ok := r.bit()
		if !ok || k > 16 || v >= maxPacked {
			return 0, false
		}
		if b == 0 {
			break
		}
		v += 1 << k
	}
	for i := range k {
		b, ok := r.bit()
		if !ok {
			return 0, false
		}
		v |= b << i
	}
	return v, true
}
