package disk

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// A frame is one synced unit: a header and a payload. The header has three
// little-endian 32-bit words: the payload's length, the payload's CRC-32C and
// the CRC-32C of the first two words.
const (
	_headerSize      = 12 // bytes
	_maxPayloadBytes = 1 << 30
)

var _castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	errTorn    = errors.New("incomplete frame")
	errDamaged = errors.New("frame checksum mismatch")
)

func appendFrame(buf, payload []byte) []byte {
	var h [_headerSize]byte
	binary.LittleEndian.PutUint32(h[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(h[4:], crc32.Checksum(payload, _castagnoli))
	binary.LittleEndian.PutUint32(h[8:], crc32.Checksum(h[:8], _castagnoli))
	buf = append(buf, h[:]...)
	return append(buf, payload...)
}

// nextFrame returns the payload of the first frame of data and the frame's
// size with its header. It returns errTorn if the frame can result from an
// interrupted write, and errDamaged if a synced frame was changed.
//
// Of an interrupted write any part may be on the disk; where a part is missing,
// the file ends or holds zeros. Only the last frame can be torn, since each frame
// is synced before the next one is written.
func nextFrame(data []byte) (payload []byte, size int, err error) {
	if len(data) < _headerSize {
		return nil, 0, errTorn
	}
	if binary.LittleEndian.Uint32(data[8:]) != crc32.Checksum(data[:8], _castagnoli) {
		if containsFrame(data[1:]) {
			return nil, 0, errDamaged
		}
		return nil, 0, errTorn
	}
	n := int(binary.LittleEndian.Uint32(data))
	if n > _maxPayloadBytes {
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

// containsFrame reports whether data holds a complete frame at any position.
func containsFrame(data []byte) bool {
	for ; len(data) >= _headerSize; data = data[1:] {
		if binary.LittleEndian.Uint32(data[8:]) != crc32.Checksum(data[:8], _castagnoli) {
			continue
		}
		n := int(binary.LittleEndian.Uint32(data))
		if n <= len(data)-_headerSize && binary.LittleEndian.Uint32(data[4:]) == crc32.Checksum(data[_headerSize:_headerSize+n], _castagnoli) {
			return true
		}
	}
	return false
}
