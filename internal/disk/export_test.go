package disk

import "math/rand/v2"

// MemoryFiles is the folder in memory, for tests of whole groups.
type MemoryFiles = memoryFiles

// NewMemoryFiles returns an empty folder.
func NewMemoryFiles() *MemoryFiles { return newMemoryFiles() }

// StopAfter makes operations fail once n have succeeded; negative for never.
func (m *memoryFiles) StopAfter(n int) { m.remainingOps = n }

// FillAfter makes operations fail for lack of space once n have succeeded; negative for never.
func (m *memoryFiles) FillAfter(n int) { m.remainingOps, m.opError = n, errFull }

// AfterPowerLoss returns what a loss of power leaves of the folder.
func (m *memoryFiles) AfterPowerLoss(rnd *rand.Rand) *MemoryFiles {
	return m.afterCrash(tearMode(rnd.IntN(int(tearAll)+1)), rnd.Uint64())
}
