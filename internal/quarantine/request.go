package quarantine

import (
	"slices"
	"strings"
)

const (
	// requestPrefix begins the keys of requests, which stand beside the ids of parts in
	// records and messages. plainPrefix begins those of requests without shared parts.
	requestPrefix = "request-"
	plainPrefix   = requestPrefix + "plain-"
)

// RequestKey returns the key under which a request with this fingerprint is known. shared is
// set if its prompt has parts that other requests may share.
func RequestKey(fingerprint string, shared bool) string {
	if shared {
		return requestPrefix + fingerprint
	}
	return plainPrefix + fingerprint
}

// IsRequestKey reports whether a key is that of a request, and not the id of a part.
func IsRequestKey(key string) bool { return strings.HasPrefix(key, requestPrefix) }

// requestOf returns the key of the request among the keys of a trial, "" if there is none.
func requestOf(keys []string) string {
	for _, key := range keys {
		if IsRequestKey(key) {
			return key
		}
	}
	return ""
}

// examined returns at most maxParts of the keys of a trial, with that of the request.
func examined(keys []string) []string {
	if len(keys) <= maxParts {
		return keys
	}
	if request := requestOf(keys); request != "" {
		return append(slices.Clone(keys[:maxParts-1]), request)
	}
	return keys[:maxParts]
}

// isRequest reports whether the record is that of a request.
func (r *record) isRequest() bool { return IsRequestKey(r.part) }

// isPlainRequest reports whether the record is that of a request without shared parts.
func (r *record) isPlainRequest() bool { return strings.HasPrefix(r.part, plainPrefix) }

// isSingle reports whether the record is that of a request that met one crash. Each engine
// that ends leaves as many of them as it had requests, so they are not spread to all routers.
func (r *record) isSingle() bool {
	return r.isRequest() && len(r.crashes) < suspectCrashes && r.hold.strikes == 0 && r.liftedAt.IsZero()
}

// TracksRequests reports whether there is evidence against any request.
func (d *Detector) TracksRequests() bool { return d.requests > 0 }
