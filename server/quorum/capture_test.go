package quorum

import "testing"

// TestCommitsDoNotWaitForSnapshots guards against a group that commits nothing while its
// replicas encode a large state, and against a snapshot that contains later commands under an
// earlier index.
func TestCommitsDoNotWaitForSnapshots(t *testing.T) {
	c := newCluster(t, "a")
	encode := make(chan struct{})
	started := make(chan struct{}, 100)
	state := c.start("a").state
	state.mu.Lock()
	state.beforeEncode = func() {
		started <- struct{}{}
		<-encode
	}
	state.mu.Unlock()
	want := c.proposeMany(25)
	<-started
	want = append(want, c.proposeMany(25)...)
	c.requireConverged(want)
	close(encode)
	want = append(want, c.proposeMany(25)...)
	c.stop("a")
	c.start("a")
	c.requireConverged(want)
}
