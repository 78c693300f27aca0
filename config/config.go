// Package config holds the typed configuration that operators publish: the
// services, and the workspaces that may use them. Values are immutable once
// built; a Config may be read from any goroutine.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind tells what stands behind a service.
type Kind string

// The kinds of service.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Service is one declared service.
type Service struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Model and Adapter name what the engine must have loaded (KindModel).
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	// Role selects the targets that serve it (KindPlain).
	Role string `json:"role,omitempty"`
	// Priority orders work at a target; 0 is the most urgent.
	Priority int `json:"priority"`
	// Short marks work whose answers are short, for which targets keep slots.
	Short bool `json:"short,omitempty"`
	// IdempotentMethods are the HTTP methods that may be repeated (KindPlain).
	IdempotentMethods []string `json:"idempotent_methods,omitempty"`
	// OnceMethods are the HTTP methods that run at most once (KindPlain).
	OnceMethods []string `json:"once_methods,omitempty"`
	// MaxTokens bounds prompt and output together, in tokens.
	MaxTokens int `json:"max_tokens,omitempty"`
	// MaxBody bounds a request body, in bytes.
	MaxBody int64 `json:"max_body,omitempty"`
	// QueueMillis bounds the wait for a target before the work starts.
	QueueMillis int64 `json:"queue_ms,omitempty"`
	// TimeoutMillis bounds a whole request.
	TimeoutMillis int64 `json:"timeout_ms,omitempty"`
	// ResumeMillis is how long a generation goes on without a listener.
	ResumeMillis int64 `json:"resume_ms,omitempty"`
}

// Timeout returns the limit of a whole request.
func (s *Service) Timeout() time.Duration { return time.Duration(s.TimeoutMillis) * time.Millisecond }

// QueueLimit returns the longest wait for a target.
func (s *Service) QueueLimit() time.Duration { return time.Duration(s.QueueMillis) * time.Millisecond }

// ResumeGrace returns how long a generation goes on without a listener.
func (s *Service) ResumeGrace() time.Duration {
	return time.Duration(s.ResumeMillis) * time.Millisecond
}

// Workspace is one customer of the operator.
type Workspace struct {
	Name string `json:"name"`
	// Weight is the workspace's share of a crowded target relative to others.
	Weight int `json:"weight"`
	// KeyHashes are hex SHA-256 digests of the keys that authenticate it.
	KeyHashes []string `json:"key_hashes"`
	// Services lists the services it may use; empty means all.
	Services []string `json:"services,omitempty"`
	// MaxConcurrent bounds its requests in progress at one entry, 0 for none.
	MaxConcurrent int `json:"max_concurrent,omitempty"`
}

// Document is the unit of storage: one declaration tree's services and
// workspaces. It is stored under the digest of its canonical JSON.
type Document struct {
	Name       string      `json:"name"`
	Services   []Service   `json:"services,omitempty"`
	Workspaces []Workspace `json:"workspaces,omitempty"`
}

// Encode returns the canonical JSON of d and its hex SHA-256 digest.
func (d *Document) Encode() ([]byte, string, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, "", errors.Wrap(err, "encode document")
	}
	sum := sha256.Sum256(data)
	return data, hex.EncodeToString(sum[:]), nil
}

// DocumentRef names a document by content.
type DocumentRef struct {
	Name   string `json:"name"`
	Digest string `json:"digest"`
}

// Manifest lists the documents of one version of the configuration. Versions
// only grow; a process never adopts a lower one.
type Manifest struct {
	Version   int64     `json:"version"`
	Author    string    `json:"author"`
	Published time.Time `json:"published"`
	// Nonce tells this publication from every other one.
	Nonce     string        `json:"nonce,omitempty"`
	Documents []DocumentRef `json:"documents"`
}

// Config is one version of the configuration, indexed for use.
type Config struct {
	Version    int64
	services   map[string]*Service
	workspaces map[string]*Workspace
	byKeyHash  map[string]*Workspace
}

// Build indexes documents as the configuration of the given version.
func Build(version int64, docs []Document) (*Config, error) {
	c := &Config{
		Version:    version,
		services:   map[string]*Service{},
		workspaces: map[string]*Workspace{},
		byKeyHash:  map[string]*Workspace{},
	}
	for _, d := range docs {
		if err := c.add(d); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *Config) add(d Document) error {
	for i := range d.Services {
		s := d.Services[i]
		if _, ok := c.services[s.Name]; ok {
			return errors.Newf("service %q is declared twice", s.Name)
		}
		s.applyDefaults()
		c.services[s.Name] = &s
	}
	for i := range d.Workspaces {
		w := d.Workspaces[i]
		if _, ok := c.workspaces[w.Name]; ok {
			return errors.Newf("workspace %q is declared twice", w.Name)
		}
		c.workspaces[w.Name] = &w
		for _, h := range w.KeyHashes {
			c.byKeyHash[h] = &w
		}
	}
	return nil
}

// Defaults for services that leave a limit out.
const (
	defaultMaxTokens     = 65536
	defaultMaxBody       = 1 << 20
	defaultQueueMillis   = 20_000
	defaultTimeoutMillis = 30 * 60_000
	defaultResumeMillis  = 10_000
)

func (s *Service) applyDefaults() {
	if s.MaxTokens == 0 {
		s.MaxTokens = defaultMaxTokens
	}
	if s.MaxBody == 0 {
		s.MaxBody = defaultMaxBody
	}
	if s.QueueMillis == 0 {
		s.QueueMillis = defaultQueueMillis
	}
	if s.TimeoutMillis == 0 {
		s.TimeoutMillis = defaultTimeoutMillis
	}
	if s.ResumeMillis == 0 {
		s.ResumeMillis = defaultResumeMillis
	}
}

// Service returns the named service, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// Workspace returns the named workspace, or nil.
func (c *Config) Workspace(name string) *Workspace { return c.workspaces[name] }

// Services returns all services sorted by name.
func (c *Config) Services() []*Service {
	all := make([]*Service, 0, len(c.services))
	for _, s := range c.services {
		all = append(all, s)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// HashKey returns the digest under which a workspace's key is declared.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Authenticate returns the workspace that the key belongs to, or nil. The
// lookup is by digest, so its timing tells nothing of a key.
func (c *Config) Authenticate(key string) *Workspace { return c.byKeyHash[HashKey(key)] }

// May reports whether the workspace may use the service.
func (w *Workspace) May(service string) bool {
	if len(w.Services) == 0 {
		return true
	}
	for _, s := range w.Services {
		if s == service {
			return true
		}
	}
	return false
}
