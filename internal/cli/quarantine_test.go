package cli

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestQuarantineCommands checks what an operator reads of the held parts, and that a lift
// names its part and fails with an exit code of its own if the part is not held.
func TestQuarantineCommands(t *testing.T) {
	const held = `{"router":"r1","parts":[{"part":"12ca","since_ms":"61000","left_ms":"9000","decided_by":"r2","strikes":2,"crashes":5,"last_crash_ms":"31000"}]}`
	var lifted string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Header.Get("Authorization") != "Bearer secret":
			w.WriteHeader(http.StatusUnauthorized)
		case r.Method == http.MethodGet && r.URL.Path == heldPartsPath:
			_, _ = w.Write([]byte(held))
		case r.Method == http.MethodPost && r.URL.Path == heldPartsPath+"/lift" && r.URL.Query().Get("part") == "1/2 ca":
			lifted = r.URL.Query().Get("part")
			_, _ = w.Write([]byte(`{"router":"r1"}`))
		default:
			w.WriteHeader(http.StatusNotFound)
			_, _ = w.Write([]byte(`{"code":"not-held","message":"this router holds no such part"}`))
		}
	}))
	defer server.Close()
	run := func(args ...string) (string, error) {
		root := newRoot()
		var out bytes.Buffer
		root.SetOut(&out)
		root.SetErr(&out)
		root.SetArgs(append([]string{"quarantine", "--admin-token=secret", "--server=" + server.Listener.Addr().String()}, args...))
		err := root.Execute()
		return out.String(), err
	}
	out, err := run("list")
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"r1, 1 held", "12ca", "1m1s ago", "9s", "r2", "31s ago", "false"} {
		if !strings.Contains(out, want) {
			t.Errorf("the list lacks %q:\n%s", want, out)
		}
	}
	if out, err := run("lift", "1/2 ca"); err != nil || lifted != "1/2 ca" || !strings.Contains(out, "0 held") {
		t.Errorf("lift: %v, lifted %q:\n%s", err, lifted, out)
	}
	var exit *exitError
	if _, err := run("lift", "other"); !errors.As(err, &exit) || exit.code != ExitNotFound || !strings.Contains(err.Error(), "holds no such part") {
		t.Errorf("lift of a part that is not held: %v", err)
	}
	if _, err := run("lift"); err == nil {
		t.Error("lift without a part succeeded")
	}
}
