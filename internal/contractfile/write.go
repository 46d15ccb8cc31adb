package contractfile

import (
	"encoding/hex"
	"io"
	"time"

	"gopkg.in/yaml.v3"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// yamlContract determines the order and the names of the fields that Write emits.
type yamlContract struct {
	Version    int            `yaml:"version"`
	Customer   string         `yaml:"customer"`
	Replaces   uint64         `yaml:"replaces"`
	KeyHashes  []string       `yaml:"key_hashes"`
	Weight     uint32         `yaml:"weight"`
	Limits     yamlLimits     `yaml:"limits"`
	Models     []string       `yaml:"models,flow,omitempty"`
	Services   []string       `yaml:"services,flow,omitempty"`
	Objectives yamlObjectives `yaml:"objectives"`
}

type yamlLimits struct {
	RequestsPerSecond float64 `yaml:"requests_per_second"`
	TokensPerSecond   float64 `yaml:"tokens_per_second"`
	Concurrency       uint32  `yaml:"concurrency"`
}

type yamlObjectives struct {
	FirstToken      string  `yaml:"first_token"`
	FirstTokenShare float64 `yaml:"first_token_share"`
	AnsweredShare   float64 `yaml:"answered_share"`
	NotRefusedShare float64 `yaml:"not_refused_share"`
}

// Write writes c as a YAML document that an operator can edit and apply in order to
// replace c. The replaces field of the document is the revision of c.
func Write(w io.Writer, c *pb.Contract) error {
	out := yamlContract{
		Version:  Version,
		Customer: c.Customer,
		Replaces: c.Revision,
		Weight:   c.Weight,
		Models:   c.Models,
		Services: c.Services,
		Limits: yamlLimits{
			RequestsPerSecond: c.GetLimits().GetRequestsPerSecond(),
			TokensPerSecond:   c.GetLimits().GetTokensPerSecond(),
			Concurrency:       c.GetLimits().GetConcurrency(),
		},
		Objectives: yamlObjectives{
			FirstToken:      (time.Duration(c.GetObjectives().GetFirstTokenMs()) * time.Millisecond).String(),
			FirstTokenShare: c.GetObjectives().GetFirstTokenShare(),
			AnsweredShare:   c.GetObjectives().GetAnsweredShare(),
			NotRefusedShare: c.GetObjectives().GetNotRefusedShare(),
		},
	}
	for _, sum := range c.KeyHashes {
		out.KeyHashes = append(out.KeyHashes, hex.EncodeToString(sum))
	}
	enc := yaml.NewEncoder(w)
	if err := enc.Encode(out); err != nil {
		return err
	}
	return enc.Close()
}
