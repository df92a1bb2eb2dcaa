package web

import (
	"net/http"
	"strings"

	"github.com/gentianrail/gentianrail/claim"
	"github.com/gentianrail/gentianrail/fault"
)

// HeaderIdempotencyKey is the request header of the IETF draft
// draft-ietf-httpapi-idempotency-key-header.
const HeaderIdempotencyKey = "Idempotency-Key"

// IdempotencyKey returns the key of a request, or "" if it has none. The draft
// defines the key as a string of RFC 8941, in double quotes. A key without
// quotes is accepted too, since many clients send one.
func IdempotencyKey(h http.Header) (string, error) {
	values := h.Values(HeaderIdempotencyKey)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", fault.New(fault.BadKey, "%s: found %d values, allowed is one", HeaderIdempotencyKey, len(values))
	}
	key := strings.TrimSpace(values[0])
	if len(key) >= 2 && key[0] == '"' && key[len(key)-1] == '"' {
		key = key[1 : len(key)-1]
	}
	if key == "" || len(key) > claim.MaxKeyBytes {
		return "", fault.New(fault.BadKey, "%s: found %d bytes, allowed are 1 to %d", HeaderIdempotencyKey, len(key), claim.MaxKeyBytes)
	}
	for _, c := range []byte(key) {
		if c < 0x20 || c > 0x7e || c == '"' || c == '\\' {
			return "", fault.New(fault.BadKey, "%s: allowed are printable ASCII characters without quotes and backslashes", HeaderIdempotencyKey)
		}
	}
	return key, nil
}
