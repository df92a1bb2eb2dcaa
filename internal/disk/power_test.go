package disk

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestPowerLossAfterKillKeepsRestoredState guards against a controller that acknowledges
// what an earlier process wrote but did not sync.
func TestPowerLossAfterKillKeepsRestoredState(t *testing.T) {
	rnd := rand.New(rand.NewPCG(13, 1))
	for seed := uint64(1); seed <= 4; seed++ {
		for stop := 0; ; stop++ {
			completed := false
			for _, mode := range []tearMode{tearNone, tearHalf, tearZeroed, tearAll} {
				m := newMemoryFiles()
				m.remainingOps = stop
				_, _, err := runScript(seed, m)
				completed = err == nil
				m.remainingOps = -1
				restored := reopenStore(t, m)
				kept := rnd.Uint64()
				name := fmt.Sprintf("seed %d, kill at operation %d, tear mode %d, kept changes %x", seed, stop, mode, kept)
				_, r, _, err := Open(m.afterCrash(mode, kept))
				if err != nil {
					t.Fatalf("%s: %v", name, err)
				}
				got := storeContents{state: r.State, commit: r.Commit, snapshot: r.Snapshot, entries: r.Entries}
				if got.String() != restored.String() {
					t.Fatalf("%s:\n got %s\nwant %s", name, got, restored)
				}
			}
			if completed {
				break
			}
		}
	}
}
