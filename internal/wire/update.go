package wire

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// maxUpdate is the largest update in bytes that UnpackUpdate accepts. The whole
// roster of 40,000 targets is below 16 MB.
const maxUpdate = 64 << 20

// Packer compresses updates. The zero value is ready for use, by several goroutines
// at once.
type Packer struct {
	// writers has *flate.Writer. One takes more than half a megabyte, which is too
	// much to allocate for each of thousands of nodes.
	writers sync.Pool
}

// Pack returns the compressed binary form of u.
func (p *Packer) Pack(u *Update) ([]byte, error) {
	b, err := proto.Marshal(u)
	if err != nil {
		return nil, errors.Wrap(err, "encode update")
	}
	var packed bytes.Buffer
	w, ok := p.writers.Get().(*flate.Writer)
	if !ok {
		if w, err = flate.NewWriter(nil, flate.BestSpeed); err != nil {
			return nil, errors.Wrap(err, "compress update")
		}
	}
	defer p.writers.Put(w)
	w.Reset(&packed)
	if _, err := w.Write(b); err != nil {
		return nil, errors.Wrap(err, "compress update")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress update")
	}
	return packed.Bytes(), nil
}

// UnpackUpdate returns the update in a reply, or nil when there is none.
func UnpackUpdate(r *SyncReply) (*Update, error) {
	if len(r.GetPacked()) == 0 {
		return r.GetUpdate(), nil
	}
	b, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.GetPacked())), maxUpdate+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress update")
	}
	if len(b) > maxUpdate {
		return nil, errors.Newf("update above %d bytes", maxUpdate)
	}
	u := &Update{}
	return u, errors.Wrap(proto.Unmarshal(b, u), "decode update")
}
