package announce

import (
	"net/netip"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
)

// FuzzParseAnnouncement parses arbitrary bodies. An accepted announcement must be
// within the bounds, and the text of an error must fit on one line.
func FuzzParseAnnouncement(f *testing.F) {
	f.Add([]byte(`{"id":"e","kind":"engine","addr":"10.0.0.1:80","incarnation":"1","sequence":1,"capacity":1,"stamp":"1-2"}`))
	f.Add([]byte(`{"id":"s","kind":"TARGET_KIND_SERVICE","addr":"[::1]:80","incarnation":1,"sequence":1,"service":"x","routes":[{"path_prefix":"/"}]}`))
	f.Add([]byte(`{"kind":null,"stamp":null,"load":{"age_ms":-1}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		st, _, err := parseAnnouncement(body)
		if err != nil {
			if strings.Contains(oneLine(err), "\n") {
				t.Fatalf("more than one line: %q", err)
			}
			return
		}
		if _, err := netip.ParseAddrPort(st.Addr); err != nil || st.Incarnation == 0 || proto.Size(st) > MaxStatusBytes {
			t.Fatalf("accepted: %v", st)
		}
	})
}
