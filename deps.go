//go:build deps

package mangokeel

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/quic-go/quic-go/http3"
	_ "golang.org/x/sync/errgroup"
	_ "gonum.org/v1/plot"
	_ "pgregory.net/rapid"
)
