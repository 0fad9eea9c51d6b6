package wire

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// maxUnpacked is the largest message in bytes that Unpack accepts. The whole roster of
// 40,000 targets is below 16 MB.
const maxUnpacked = 64 << 20

// Packer compresses messages. The zero value is ready for use, by several goroutines
// at once.
type Packer struct {
	// writers has *flate.Writer. One takes more than half a megabyte, which is too
	// much to allocate for each of thousands of nodes.
	writers sync.Pool
}

// Pack returns the compressed binary form of m.
func (p *Packer) Pack(m proto.Message) ([]byte, error) {
	b, err := proto.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	var packed bytes.Buffer
	w, ok := p.writers.Get().(*flate.Writer)
	if !ok {
		if w, err = flate.NewWriter(nil, flate.BestSpeed); err != nil {
			return nil, errors.Wrap(err, "compress")
		}
	}
	defer p.writers.Put(w)
	w.Reset(&packed)
	if _, err := w.Write(b); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return packed.Bytes(), nil
}

// Unpack decodes what Pack returned into m.
func Unpack(packed []byte, m proto.Message) error {
	b, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpacked+1))
	if err != nil {
		return errors.Wrap(err, "decompress")
	}
	if len(b) > maxUnpacked {
		return errors.Newf("message above %d bytes", maxUnpacked)
	}
	return errors.Wrap(proto.Unmarshal(b, m), "decode")
}

// UnpackUpdate returns the update in a reply, or nil when there is none.
func UnpackUpdate(r *SyncReply) (*Update, error) {
	if len(r.GetPacked()) == 0 {
		return r.GetUpdate(), nil
	}
	u := &Update{}
	return u, errors.Wrap(Unpack(r.GetPacked(), u), "update")
}
