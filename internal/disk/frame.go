package disk

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// A frame is one synced unit: a header of three little-endian 32-bit words,
// the payload's length, the payload's CRC-32C and the CRC-32C of the first two
// words, and then the payload.
const (
	_headerSize = 12
	_mostFrame  = 1 << 30 // bytes of a payload
)

var _castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	errTorn    = errors.New("the frame was not written to its end")
	errDamaged = errors.New("the frame's checksum is wrong")
)

func appendFrame(buf, payload []byte) []byte {
	var h [_headerSize]byte
	binary.LittleEndian.PutUint32(h[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(h[4:], crc32.Checksum(payload, _castagnoli))
	binary.LittleEndian.PutUint32(h[8:], crc32.Checksum(h[:8], _castagnoli))
	buf = append(buf, h[:]...)
	return append(buf, payload...)
}

// nextFrame returns the payload of the first frame of data and its whole
// size. It returns errTorn if the frame can be the end of a write that was
// cut off, and errDamaged if a synced frame was changed.
//
// A write that is cut off leaves a short file, or a file of full length whose
// last blocks are zero. Only the last frame can be like that, since each frame
// is synced before the next one is written.
func nextFrame(data []byte) (payload []byte, size int, err error) {
	if len(data) < _headerSize {
		return nil, 0, errTorn
	}
	if binary.LittleEndian.Uint32(data[8:]) != crc32.Checksum(data[:8], _castagnoli) {
		if allZero(data) {
			return nil, 0, errTorn
		}
		return nil, 0, errDamaged
	}
	n := int(binary.LittleEndian.Uint32(data))
	if n > _mostFrame {
		return nil, 0, errDamaged
	}
	if len(data) < _headerSize+n {
		return nil, 0, errTorn
	}
	payload = data[_headerSize : _headerSize+n]
	if binary.LittleEndian.Uint32(data[4:]) != crc32.Checksum(payload, _castagnoli) {
		if len(data) == _headerSize+n {
			return nil, 0, errTorn
		}
		return nil, 0, errDamaged
	}
	return payload, _headerSize + n, nil
}

func allZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}
