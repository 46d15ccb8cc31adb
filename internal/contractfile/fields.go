package contractfile

import (
	"encoding/hex"
	"math"
	"regexp"
	"strconv"
	"sync"
	"time"

	"gopkg.in/yaml.v3"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// Bounds of a contract's fields.
const (
	keyHashBytes   = 32
	maxKeys        = 16
	maxNames       = 64
	maxWeight      = 1000
	maxConcurrency = 1_000_000
	maxRate        = 1e9
	maxFirstToken  = 10 * time.Minute
)

// namePattern matches valid names of customers, models and services. It is compiled at
// its first use, since compiling it takes a tenth of the start-up time of a process and
// few processes need it.
var namePattern = sync.OnceValue(func() *regexp.Regexp {
	return regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)
})

// document parses the root node of a document. Optional fields that the document lacks
// keep their defaults.
func (p *parser) document(n *yaml.Node) Document {
	c := &pb.Contract{Weight: 1, Limits: &pb.Limits{}, Objectives: defaultObjectives()}
	doc := Document{Contract: c}
	p.mapping(n, "", []field{
		{"version", true, p.version},
		{"customer", true, p.name(&c.Customer)},
		{"replaces", false, p.uint64(&doc.Replaces)},
		{"key_hashes", true, p.keyHashes(&c.KeyHashes)},
		{"weight", false, p.uint32(&c.Weight, 1, maxWeight)},
		{"limits", false, p.limits(c.Limits)},
		{"models", false, p.names(&c.Models)},
		{"services", false, p.names(&c.Services)},
		{"objectives", false, p.objectives(c.Objectives)},
	})
	return doc
}

func (p *parser) limits(l *pb.Limits) func(*yaml.Node, string) {
	return func(n *yaml.Node, path string) {
		p.mapping(n, path, []field{
			{"requests_per_second", false, p.float(&l.RequestsPerSecond, 0, maxRate)},
			{"tokens_per_second", false, p.float(&l.TokensPerSecond, 0, maxRate)},
			{"concurrency", false, p.uint32(&l.Concurrency, 0, maxConcurrency)},
		})
	}
}

func defaultObjectives() *pb.Objectives {
	return &pb.Objectives{
		FirstTokenMs:    460,
		FirstTokenShare: 0.95,
		AnsweredShare:   0.999,
		NotRefusedShare: 0.99,
	}
}

func (p *parser) objectives(o *pb.Objectives) func(*yaml.Node, string) {
	return func(n *yaml.Node, path string) {
		p.mapping(n, path, []field{
			{"first_token", false, p.milliseconds(&o.FirstTokenMs)},
			{"first_token_share", false, p.share(&o.FirstTokenShare)},
			{"answered_share", false, p.share(&o.AnsweredShare)},
			{"not_refused_share", false, p.share(&o.NotRefusedShare)},
		})
	}
}

func (p *parser) version(n *yaml.Node, path string) {
	if n.Value != strconv.Itoa(Version) {
		p.errorf(n, path, "version %q is not supported, this program reads version %d", n.Value, Version)
	}
}

// name returns a function for field.read that parses the value into dst or records an
// error. The other methods with a dst parameter work in the same way.
func (p *parser) name(dst *string) func(*yaml.Node, string) {
	return func(n *yaml.Node, path string) {
		if n.Kind != yaml.ScalarNode || !namePattern().MatchString(n.Value) {
			p.errorf(n, path, "%q is not a name", n.Value)
			return
		}
		*dst = n.Value
	}
}

// sequence returns the items of the list n. It records an error and returns nil if n is
// no list or has more than maxItems items.
func (p *parser) sequence(n *yaml.Node, path string, maxItems int) []*yaml.Node {
	if n.Kind != yaml.SequenceNode {
		p.errorf(n, path, "must be a list")
		return nil
	}
	if len(n.Content) > maxItems {
		p.errorf(n, path, "%d items exceed the maximum of %d", len(n.Content), maxItems)
		return nil
	}
	return n.Content
}

func (p *parser) names(dst *[]string) func(*yaml.Node, string) {
	return func(n *yaml.Node, path string) {
		if n.Kind == yaml.SequenceNode && len(n.Content) == 0 {
			p.errorf(n, path, "an empty list permits nothing and would be read as all; leave the field out to permit all")
		}
		for _, item := range p.sequence(n, path, maxNames) {
			var name string
			p.name(&name)(item, path)
			*dst = append(*dst, name)
		}
	}
}

func (p *parser) keyHashes(dst *[][]byte) func(*yaml.Node, string) {
	return func(n *yaml.Node, path string) {
		items := p.sequence(n, path, maxKeys)
		if n.Kind == yaml.SequenceNode && len(n.Content) == 0 {
			p.errorf(n, path, "at least one key hash is required")
		}
		for _, item := range items {
			sum, err := hex.DecodeString(item.Value)
			if err != nil || len(sum) != keyHashBytes {
				p.errorf(item, path, "%q is not a hexadecimal SHA-256 hash", item.Value)
				continue
			}
			*dst = append(*dst, sum)
		}
	}
}

func (p *parser) uint64(dst *uint64) func(*yaml.Node, string) {
	return func(n *yaml.Node, path string) {
		v, err := strconv.ParseUint(n.Value, 10, 64)
		if err != nil {
			p.errorf(n, path, "%q is not a whole number", n.Value)
			return
		}
		*dst = v
	}
}

func (p *parser) uint32(dst *uint32, least, most uint32) func(*yaml.Node, string) {
	return func(n *yaml.Node, path string) {
		v, err := strconv.ParseUint(n.Value, 10, 32)
		if err != nil || uint32(v) < least || uint32(v) > most {
			p.errorf(n, path, "%q is not a whole number from %d to %d", n.Value, least, most)
			return
		}
		*dst = uint32(v)
	}
}

func (p *parser) float(dst *float64, least, most float64) func(*yaml.Node, string) {
	return func(n *yaml.Node, path string) {
		v, err := strconv.ParseFloat(n.Value, 64)
		if err != nil || math.IsNaN(v) || v < least || v > most {
			p.errorf(n, path, "%q is not a number from %g to %g", n.Value, least, most)
			return
		}
		*dst = v
	}
}

// share parses a fraction between 0 and 1, both excluded, since an objective of 1 leaves
// no error budget.
func (p *parser) share(dst *float64) func(*yaml.Node, string) {
	return func(n *yaml.Node, path string) {
		v, err := strconv.ParseFloat(n.Value, 64)
		if err != nil || !(v > 0 && v < 1) {
			p.errorf(n, path, "%q is not a fraction above 0 and below 1", n.Value)
			return
		}
		*dst = v
	}
}

func (p *parser) milliseconds(dst *uint32) func(*yaml.Node, string) {
	return func(n *yaml.Node, path string) {
		d, err := time.ParseDuration(n.Value)
		if err != nil || d < time.Millisecond || d > maxFirstToken {
			p.errorf(n, path, "%q is not a duration from 1ms to %v, such as 460ms", n.Value, maxFirstToken)
			return
		}
		*dst = uint32(d.Milliseconds())
	}
}
