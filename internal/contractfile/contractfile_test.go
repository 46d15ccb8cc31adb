package contractfile

import (
	"bytes"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
)

const keyHash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

const fullContract = `version: 1
customer: kilang-satu
replaces: 7
key_hashes: [` + keyHash + `]
weight: 3
limits: {requests_per_second: 20, tokens_per_second: 4000, concurrency: 8}
models: [draft-large]
services: [returns]
objectives: {first_token: 300ms, first_token_share: 0.9, answered_share: 0.99, not_refused_share: 0.95}
`

func TestWriteThenParseKeepsTheContract(t *testing.T) {
	docs, err := Parse(strings.NewReader(fullContract + "---\nversion: 1\ncustomer: b\nkey_hashes: [" + keyHash + "]\n"))
	if err != nil {
		t.Fatal(err)
	}
	if len(docs) != 2 || docs[0].Replaces != 7 || docs[0].Contract.Weight != 3 || docs[1].Contract.Weight != 1 {
		t.Fatalf("parsed %v", docs)
	}
	var buf bytes.Buffer
	if err := Write(&buf, docs[0].Contract); err != nil {
		t.Fatal(err)
	}
	again, err := Parse(&buf)
	if err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(docs[0].Contract, again[0].Contract) {
		t.Fatalf("wrote %v, read %v", docs[0].Contract, again[0].Contract)
	}
}

func TestEveryFaultAtOnceWithLineAndField(t *testing.T) {
	_, err := Parse(strings.NewReader(`version: 2
customer: "a b"
colour: red
weight: 0
weight: 5
limits:
  concurrency: many
  burst: 3
objectives:
  answered_share: 1
key_hashes: [abc]
`))
	if err == nil {
		t.Fatal("an invalid file was accepted")
	}
	for _, want := range []string{
		"line 1: version:", "line 2: customer:", "line 3: colour: unknown field",
		"line 4: weight:", "line 5: weight: given twice", "line 7: limits.concurrency:",
		"line 8: limits.burst: unknown field", "line 10: objectives.answered_share:",
		"line 11: key_hashes:",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("no error %q in:\n%v", want, err)
		}
	}
}

func TestMalformedAndEmptyFiles(t *testing.T) {
	for _, text := range []string{"", "customer: [", "- 1", "just text"} {
		if _, err := Parse(strings.NewReader(text)); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}

// TestEmptyListsAreRefused guards against a contract that permits everything after the last name
// was removed from a list of what it permits.
func TestEmptyListsAreRefused(t *testing.T) {
	for _, field := range []string{"models", "services", "key_hashes"} {
		text := strings.Replace(fullContract, "version: 1\n", "version: 1\n"+field+": []\n", 1)
		for line := range strings.Lines(fullContract) {
			if strings.HasPrefix(line, field+":") {
				text = strings.Replace(text, line, "", 1)
			}
		}
		if _, err := Parse(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), "line 2: "+field) {
			t.Errorf("%s: error %v, want one in line 2", field, err)
		}
	}
}

// TestAbsentListsStayAbsent checks that a contract that permits everything can be written, edited
// and applied again.
func TestAbsentListsStayAbsent(t *testing.T) {
	docs, err := Parse(strings.NewReader("version: 1\ncustomer: b\nkey_hashes: [" + keyHash + "]\n"))
	if err != nil {
		t.Fatal(err)
	}
	var buf bytes.Buffer
	if err := Write(&buf, docs[0].Contract); err != nil {
		t.Fatal(err)
	}
	again, err := Parse(&buf)
	if err != nil || !proto.Equal(docs[0].Contract, again[0].Contract) {
		t.Errorf("read %v, error %v, want %v", again, err, docs[0].Contract)
	}
}
