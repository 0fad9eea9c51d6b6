package target

import "sync"

const (
	// retryShare is the part of requests that may be tried a second time.
	retryShare = 0.1
	// retryBurst is the maximum number of retries that can accumulate.
	retryBurst = 10
)

// budget limits retries to a share of all requests.
type budget struct {
	mu sync.Mutex
	// tokens is between 0 and retryBurst.
	tokens float64
}

func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(retryBurst, b.tokens+retryShare)
}

func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
