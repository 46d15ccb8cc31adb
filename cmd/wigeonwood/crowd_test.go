package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/wigeonwood/wigeonwood/internal/testkit"
)

const (
	crowdClients = 96
	crowdBody    = 4 << 20
	// crowdMemoryMB is the memory that an instance may use by default.
	crowdMemoryMB = 384
	crowdMaxFDs   = 300
)

// TestUnfinishedBodies starts an instance as a process and lets a crowd of clients send bodies
// that don't end or are over the limit. It guards against a process that runs out of memory,
// and against one that serves nobody else meanwhile: the instance must stay within its limits
// and answer an ordinary request of the same customer while the crowd is connected.
func TestUnfinishedBodies(t *testing.T) {
	for _, c := range testkit.CrowdCases {
		t.Run(c.Name, func(t *testing.T) {
			f := startFleet(t, 1, 0)
			f.startTargets(t, 1)
			p := f.instances[0]
			p.kill()
			p.args = append(p.args, fmt.Sprintf("--max-body-bytes=%d", crowdBody))
			p.start(t)
			f.waitReady(t)
			url := "http://" + p.callerAddr() + "/v1/services/" + testService + "/search"
			head := strings.Join([]string{"POST /v1/services/" + testService + "/search HTTP/1.1", "Host: a.example", "Authorization: Bearer " + testKey}, "\r\n")
			testkit.SendCrowd(t, c, crowdClients, p.callerAddr(), head, crowdBody)
			out, status, err := sendRequest(http.MethodPost, url, []string{"Authorization:Bearer " + testKey, "hello"})
			if err != nil || status != http.StatusOK {
				t.Errorf("an ordinary request: status %d, %v, want status 200\n%s", status, err, out)
			}
			testkit.CheckProcess(t, p.pid(), crowdMemoryMB, crowdMaxFDs)
		})
	}
}
