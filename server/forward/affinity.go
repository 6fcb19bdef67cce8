package forward

import "github.com/cespare/xxhash/v2"

// maxAffinityKeyBytes is the length up to which an affinity key is hashed; the rest of a longer one
// is ignored.
const maxAffinityKeyBytes = 256

// affinityOf returns the hash of an affinity key; 0 for an empty one, which means that there is none.
func affinityOf(key string) uint64 {
	if key == "" {
		return 0
	}
	return max(xxhash.Sum64String(key[:min(len(key), maxAffinityKeyBytes)]), 1)
}
