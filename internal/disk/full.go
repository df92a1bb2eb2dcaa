package disk

import (
	"errors"
	"syscall"
)

// IsFull reports whether an operation failed because the disk or the quota is
// full. Such an operation may succeed later; other failures of a disk are taken to
// be permanent.
func IsFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
