// Package config defines the configuration that operators publish: the services
// and the workspaces that may use them. A Config does not change after Build and
// may be read from any goroutine.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind is the kind of a service.
type Kind string

// The kinds of services: a service of KindModel is a model that an inference
// engine serves, one of KindPlain (a plain service) an HTTP service without an
// engine.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Service is one declared service.
type Service struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Model and Adapter are the model and the optional adapter that the engine
	// must have loaded (KindModel).
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	// Role is the role of the targets that serve the service (KindPlain).
	Role string `json:"role,omitempty"`
	// Priority orders the work at a target; 0 is the most urgent.
	Priority int `json:"priority"`
	// Short is set if the answers are short. Targets reserve slots for short work.
	Short bool `json:"short,omitempty"`
	// IdempotentMethods are the HTTP methods whose calls may run more than once
	// (KindPlain).
	IdempotentMethods []string `json:"idempotent_methods,omitempty"`
	// AtMostOnceMethods are the HTTP methods whose calls run at most once (KindPlain).
	AtMostOnceMethods []string `json:"once_methods,omitempty"`
	// MaxTokens limits the sum of prompt and output, in tokens.
	MaxTokens int `json:"max_tokens,omitempty"`
	// MaxBodyBytes limits a request body, in bytes.
	MaxBodyBytes int64 `json:"max_body,omitempty"`
	// QueueMillis limits the wait for a target before the work starts.
	QueueMillis int64 `json:"queue_ms,omitempty"`
	// TimeoutMillis limits the total time of a request.
	TimeoutMillis int64 `json:"timeout_ms,omitempty"`
	// ResumeMillis is the time that a generation continues without a connected
	// stream, so that its caller can resume the stream.
	ResumeMillis int64 `json:"resume_ms,omitempty"`
}

// Timeout returns the limit of the total time of a request.
func (s *Service) Timeout() time.Duration { return time.Duration(s.TimeoutMillis) * time.Millisecond }

// QueueLimit returns the limit of the wait for a target.
func (s *Service) QueueLimit() time.Duration { return time.Duration(s.QueueMillis) * time.Millisecond }

// ResumeGrace returns the time that a generation continues without a connected
// stream.
func (s *Service) ResumeGrace() time.Duration {
	return time.Duration(s.ResumeMillis) * time.Millisecond
}

// Workspace is a tenant. Its API keys identify it.
type Workspace struct {
	Name string `json:"name"`
	// Weight is the workspace's share of a busy target relative to other
	// workspaces.
	Weight int `json:"weight"`
	// KeyHashes are the hex SHA-256 digests of the workspace's API keys.
	KeyHashes []string `json:"key_hashes"`
	// Services are the services that the workspace may use; empty means all.
	Services []string `json:"services,omitempty"`
	// MaxConcurrent limits the workspace's requests in progress at one entry; 0
	// means no limit.
	MaxConcurrent int `json:"max_concurrent,omitempty"`
}

// Document is the unit of storage: the services and workspaces of one declaration
// file, or a part of them (see Split). It is stored under the digest of its
// canonical JSON.
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

// DocumentRef refers to a document by its digest.
type DocumentRef struct {
	Name   string `json:"name"`
	Digest string `json:"digest"`
}

// Manifest lists the documents of one version of the configuration. Versions
// only increase; a process never adopts a lower version than its current one.
type Manifest struct {
	Version   int64     `json:"version"`
	Author    string    `json:"author"`
	Published time.Time `json:"published"`
	// Nonce distinguishes this publication from all others.
	Nonce     string        `json:"nonce,omitempty"`
	Documents []DocumentRef `json:"documents"`
}

// Config is one version of the configuration, indexed by the names of services
// and workspaces and by the digests of API keys.
type Config struct {
	Version    int64
	services   map[string]*Service
	workspaces map[string]*Workspace
	byKeyHash  map[string]*Workspace
}

// Build returns the configuration of the given version from its documents. It
// fails if two services or two workspaces have the same name.
func Build(version int64, docs []Document) (*Config, error) {
	c := &Config{
		Version:    version,
		services:   map[string]*Service{},
		workspaces: map[string]*Workspace{},
		byKeyHash:  map[string]*Workspace{},
	}
	for _, doc := range docs {
		if err := c.add(doc); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *Config) add(doc Document) error {
	for i := range doc.Services {
		s := doc.Services[i]
		if _, ok := c.services[s.Name]; ok {
			return errors.Newf("service %q is declared twice", s.Name)
		}
		s.applyDefaults()
		c.services[s.Name] = &s
	}
	for i := range doc.Workspaces {
		w := doc.Workspaces[i]
		if _, ok := c.workspaces[w.Name]; ok {
			return errors.Newf("workspace %q is declared twice", w.Name)
		}
		c.workspaces[w.Name] = &w
		for _, hash := range w.KeyHashes {
			c.byKeyHash[hash] = &w
		}
	}
	return nil
}

// Defaults of the limits that a service does not declare.
const (
	defaultMaxTokens     = 65536
	defaultMaxBodyBytes  = 1 << 20
	defaultQueueMillis   = 20_000
	defaultTimeoutMillis = 30 * 60_000
	defaultResumeMillis  = 10_000
)

func (s *Service) applyDefaults() {
	if s.MaxTokens == 0 {
		s.MaxTokens = defaultMaxTokens
	}
	if s.MaxBodyBytes == 0 {
		s.MaxBodyBytes = defaultMaxBodyBytes
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

// HashKey returns the hex SHA-256 digest of an API key, as in KeyHashes.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Authenticate returns the workspace to which the API key belongs, or nil. The
// lookup uses the digest of the key, so its timing reveals nothing about a key.
// An empty key, which a request without a key has, belongs to none.
func (c *Config) Authenticate(key string) *Workspace {
	if key == "" {
		return nil
	}
	return c.byKeyHash[HashKey(key)]
}

// CanUse reports whether the workspace may use the service.
func (w *Workspace) CanUse(service string) bool {
	if len(w.Services) == 0 {
		return true
	}
	for _, name := range w.Services {
		if name == service {
			return true
		}
	}
	return false
}
