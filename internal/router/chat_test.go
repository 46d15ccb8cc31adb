package router

import (
	"runtime"
	"strings"
	"testing"
)

// TestManyMessages guards against a body that needs many times its size when it is decoded: a
// list of empty messages.
func TestManyMessages(t *testing.T) {
	const messages = 1 << 20
	body := []byte(`{"model":"m","messages":[` + strings.Repeat("{},", messages-1) + `{"role":"user","content":"x"}]}`)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	chat, err := parseChat(body)
	runtime.GC()
	runtime.ReadMemStats(&after)
	if err != nil || chat.Messages.count != messages {
		t.Fatalf("%v, %v", chat, err)
	}
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > decodeCopies*int64(len(body)) {
		t.Errorf("%d bytes for a body of %d", grown, len(body))
	}
	runtime.KeepAlive(chat)
	runtime.KeepAlive(body)
}

// TestPrefixHash guards against a change of the hash that identifies a chat, at which all
// routers of a fleet must arrive. Messages after the first user message don't count.
func TestPrefixHash(t *testing.T) {
	const want = "aac5e60e788394ce8d21b9b69aab2a0a"
	for _, body := range []string{
		`{"model":"m","messages":[{"role":"system","content":"be brief"},{"role":"tool","content":"t"},{"role":"user","content":["a", 1]}]}`,
		`{"messages":[{"role":"system","content":"be brief"},{"role":"user","content":["a", 1]},{"role":"system","content":"z"},{}],"model":"m"}`,
	} {
		chat, err := parseChat([]byte(body))
		if err != nil {
			t.Fatal(err)
		}
		if got := chat.prefixHash(); got != want {
			t.Errorf("%s: %s, want %s", body, got, want)
		}
	}
}
