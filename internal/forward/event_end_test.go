package forward

import "testing"

// TestEventEnd checks where a stream of events may end. A stream that ends elsewhere broke off,
// also if its target leaves as planned.
func TestEventEnd(t *testing.T) {
	for text, want := range map[string]bool{
		"":                        false,
		"id: 1\ndata: a\n\n":      true,
		"id: 1\ndata: a\n\n\n":    true,
		"id: 1\ndata: a\n\n \r\n": true,
		"id: 1\ndata: a\n":        false,
		"id: 1\ndata: a\n\nid: 2": false,
		"id: 1\n\nid: 2\nda":      false,
		": comment\n\n":           true,
		"data: a\n \n":            false,
	} {
		whole, bytewise := &eventEnd{}, &eventEnd{}
		whole.write([]byte(text))
		for i := range text {
			bytewise.write([]byte{text[i]})
		}
		if whole.afterEvent != want || bytewise.afterEvent != want {
			t.Errorf("%q: %t, %t, want %t", text, whole.afterEvent, bytewise.afterEvent, want)
		}
	}
}
