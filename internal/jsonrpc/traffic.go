package jsonrpc

import (
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

// traffic counts the bytes of all connections of a client or server, so that the
// budget for control can be checked on a running node.
type traffic struct{ in, out prometheus.Counter }

// WithRegisterer counts bytes in mangokeel_call_bytes_total on r. Without it bytes
// are not counted.
func WithRegisterer(r prometheus.Registerer) Option {
	return func(o *options) {
		v := prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangokeel_call_bytes_total",
			Help: "Bytes of calls between processes, TCP and IP headers excluded.",
		}, []string{"direction"})
		r.MustRegister(v)
		o.traffic = &traffic{in: v.WithLabelValues("in"), out: v.WithLabelValues("out")}
	}
}

// counted is a connection whose bytes are counted.
type counted struct {
	net.Conn
	t *traffic
}

func (t *traffic) wrap(c net.Conn) net.Conn {
	if t == nil {
		return c
	}
	return counted{c, t}
}

// Read implements net.Conn.
func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.t.in.Add(float64(n))
	return n, err
}

// Write implements net.Conn.
func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.t.out.Add(float64(n))
	return n, err
}
