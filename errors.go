package mangokeel

import "github.com/cockroachdb/errors"

// Errors that callers of the interfaces distinguish with errors.Is.
var (
	// ErrNotSent marks a call that cannot have reached the other process.
	ErrNotSent = errors.New("call was not sent")
	// ErrNotLeader marks a proposal at an instance that does not lead.
	ErrNotLeader = errors.New("not the leader")
	// ErrCorrupt marks stored data that fails its checksum or contradicts itself.
	ErrCorrupt = errors.New("stored data is corrupt")
)
