package forward

import (
	"fmt"
	"net/http"
)

// The range of HTTP status codes (RFC 9110, section 15). net/http parses other numbers of three
// characters too, and its server panics on some of them.
const (
	minStatus = 100
	maxStatus = 599
)

// checkStatus returns an error that wraps ErrProtocol if the status of the response is not one
// of HTTP.
func checkStatus(resp *http.Response) error {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return fmt.Errorf("%w: status %q", ErrProtocol, resp.Status)
	}
	return nil
}
