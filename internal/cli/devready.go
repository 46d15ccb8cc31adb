package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/admin"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	devRetryDelay       = 200 * time.Millisecond
	devCallTimeout      = 5 * time.Second
	maxDevResponseBytes = 1 << 20
)

func newDevHTTPClient() *http.Client { return &http.Client{Timeout: devCallTimeout} }

// applyContractAndSendChat applies the contract of devCustomer if the fleet has none, sends
// one chat and prints the answer.
func (d *devFleet) applyContractAndSendChat(ctx context.Context, client *admin.Client, keyHash []byte) error {
	contracts := &pb.QueryReply{}
	if err := client.Get(ctx, "/admin/v1/contracts", url.Values{"customer": {devCustomer}}, contracts); err != nil {
		return err
	}
	if len(contracts.Contracts) == 0 {
		if err := applyDevContract(ctx, client, keyHash); err != nil {
			return err
		}
	}
	content, err := sendDevChat(ctx, d.settings[0].Listen)
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "A chat was answered: %s\n", content)
	return nil
}

// applyDevContract applies a contract without limits for devCustomer.
func applyDevContract(ctx context.Context, client *admin.Client, keyHash []byte) error {
	change := &pb.ConfigChange{
		Operator: "dev",
		Object: &pb.ConfigChange_Contract{Contract: &pb.Contract{
			Customer:   devCustomer,
			KeyHashes:  [][]byte{keyHash},
			Weight:     1,
			Limits:     &pb.Limits{},
			Objectives: &pb.Objectives{FirstTokenMs: 460, FirstTokenShare: 0.95, AnsweredShare: 0.999, NotRefusedShare: 0.99},
		}},
	}
	change.OperationId = contentID(change)
	return client.Post(ctx, "/admin/v1/changes", url.Values{"wait_ms": {"5000"}}, change, &pb.ChangeAnswer{})
}

// sendDevChat sends one chat to addr and returns the text of the answer.
func sendDevChat(ctx context.Context, addr string) (string, error) {
	body := []byte(`{"model":"` + devModel + `","messages":[{"role":"user","content":"Hello"}],"max_tokens":8}`)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+devKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := newDevHTTPClient().Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxDevResponseBytes))
	if err != nil {
		return "", err
	}
	var answer struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if resp.StatusCode != http.StatusOK || json.Unmarshal(raw, &answer) != nil || len(answer.Choices) == 0 {
		return "", fmt.Errorf("answer %d: %s", resp.StatusCode, bytes.TrimSpace(raw))
	}
	return answer.Choices[0].Message.Content, nil
}

// printInstructions prints the addresses of the fleet and commands that can be
// pasted as they are.
func (d *devFleet) printInstructions() {
	first := d.settings[0]
	fmt.Fprintf(d.out, "\nwigeonwood runs %d instances in this process. Ctrl-C ends it.\n\n", len(d.settings))
	for _, s := range d.settings {
		fmt.Fprintf(d.out, "%s  callers http://%s  operators http://%s  targets http://%s\n", s.ID, s.Listen, s.AdminListen, s.TargetListen)
	}
	fmt.Fprintf(d.out, "\nTry a streamed chat:\n\n  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}'\n", first.Listen, devKey, devModel)
	fmt.Fprintf(d.out, "\nFile a return once, however often it is sent:\n\n  curl http://%s/v1/services/%s/filings -H 'Authorization: Bearer %s' -H 'Idempotency-Key: filing-1' -d 'units=42'\n", first.Listen, devService, devKey)
	fmt.Fprintf(d.out, "\nOperate it:\n\n  go run ./cmd/wigeonwood status --server %s --admin-token %s\n\n", first.AdminListen, devAdminToken)
}
