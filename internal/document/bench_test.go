package document

import (
	"fmt"
	"strings"
	"testing"
)

// largeTable is a table of some 500 routes.
func largeTable(changed int) []byte {
	var b strings.Builder
	for i := range 540 {
		timeout := 1000
		if i == changed {
			timeout = 1500
		}
		fmt.Fprintf(&b, `{"name":"r-%x","host":"h%d.example","pathPrefix":"/p%d/","routeType":"stream","timeoutMs":%d,"latencyTargetMs":800,"priority":1,"service":"huvo11a","maxAttempts":2,"public":false},`, i*7919, i%3, i*104729, timeout)
	}
	return []byte(b.String())
}

func BenchmarkPack(b *testing.B) {
	text := largeTable(-1)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Pack(text); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkPatch(b *testing.B) {
	base, next := largeTable(-1), largeTable(300)
	delta := Diff(base, next)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Patch(base, delta); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkUnpack(b *testing.B) {
	packed, err := Pack(largeTable(-1))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Unpack(packed); err != nil {
			b.Fatal(err)
		}
	}
}
