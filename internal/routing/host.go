package routing

import (
	"net"
	"strings"
)

// NormalHost returns the normal form of a host: without a port, without the brackets of an IPv6
// address, and with ASCII letters in lower case. Two hosts are the same if their normal forms are
// equal. Routes are checked and selected by this form only.
func NormalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	} else if name, ok := strings.CutPrefix(host, "["); ok {
		host = strings.TrimSuffix(name, "]")
	}
	return strings.Map(lowerASCII, host)
}

func lowerASCII(r rune) rune {
	if 'A' <= r && r <= 'Z' {
		return r + 'a' - 'A'
	}
	return r
}
