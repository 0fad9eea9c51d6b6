package fleet

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// packer encodes and compresses messages. A configuration shrinks to about a tenth. The zero
// value is ready for use.
type packer struct {
	// compressors are used again: a new one takes over half a megabyte.
	compressors sync.Pool
}

func (p *packer) pack(m proto.Message) ([]byte, error) {
	b, err := proto.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	var out bytes.Buffer
	w, ok := p.compressors.Get().(*flate.Writer)
	if ok {
		w.Reset(&out)
	} else if w, err = flate.NewWriter(&out, flate.BestSpeed); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	defer p.compressors.Put(w)
	if _, err := w.Write(b); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return out.Bytes(), nil
}

// unpack is the inverse of packer.pack.
func unpack(b []byte, m proto.Message) error {
	plain, err := io.ReadAll(flate.NewReader(bytes.NewReader(b)))
	if err != nil {
		return errors.Wrap(err, "decompress")
	}
	return errors.Wrap(proto.Unmarshal(plain, m), "decode")
}
