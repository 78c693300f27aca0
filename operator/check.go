package operator

import (
	"encoding/hex"
	"net/http"
	"regexp"
	"slices"
	"strings"

	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/settings"
)

// nameForm is the form of service and workspace names; they appear in paths
// and log lines.
var nameForm = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// methods are the HTTP methods that a service may declare.
var methods = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

// keyHashBytes is the length of a SHA-256 digest.
const keyHashBytes = 32

func (c *collector) checkName(name string, at position) {
	if !nameForm.MatchString(name) {
		c.fault(at, "name %q must be lower-case letters, digits, '.', '_' and '-'", name)
	}
}

func (c *collector) checkService(k *serviceKeys, name string, at position) {
	c.checkName(name, at)
	switch config.Kind(k.Kind) {
	case config.KindModel:
		c.checkModelService(k, at)
	case config.KindPlain:
		c.checkPlainService(k, at)
	default:
		c.fault(at, "kind is %q, not model or plain", k.Kind)
	}
	if k.Priority < 0 {
		c.fault(at, "priority is negative; 0 is the most urgent")
	}
	if k.MaxTokens < 0 || k.MaxBody < 0 {
		c.fault(at, "a limit is negative")
	}
}

func (c *collector) checkModelService(k *serviceKeys, at position) {
	if k.Model == "" {
		c.fault(at, "a model service needs a model")
	}
	if k.Role != "" || len(k.Idempotent) > 0 || len(k.Once) > 0 {
		c.fault(at, "role, idempotent and once belong to plain services")
	}
}

func (c *collector) checkPlainService(k *serviceKeys, at position) {
	if k.Role == "" {
		c.fault(at, "a plain service needs a role")
	}
	if k.Model != "" || k.Adapter != "" {
		c.fault(at, "model and adapter belong to model services")
	}
	if len(k.Idempotent)+len(k.Once) == 0 {
		c.fault(at, "a plain service needs idempotent or once methods")
	}
	for _, m := range slices.Concat(k.Idempotent, k.Once) {
		if !slices.Contains(methods, m) {
			c.fault(at, "%q is not one of %s", m, strings.Join(methods, ", "))
		}
	}
	for _, m := range k.Idempotent {
		if slices.Contains(k.Once, m) {
			c.fault(at, "%s is declared both idempotent and once", m)
		}
	}
}

func (c *collector) checkWorkspace(k *workspaceKeys, name string, at position) {
	c.checkName(name, at)
	if len(k.KeyHashes) == 0 {
		c.fault(at, "a workspace needs key_hashes; make one with: quetzalglade key new")
	}
	for _, h := range k.KeyHashes {
		if raw, err := hex.DecodeString(h); err != nil || len(raw) != keyHashBytes {
			c.fault(at, "key hash %q is not a SHA-256 digest in hex", h)
		}
	}
	if k.Weight < 1 {
		c.fault(at, "weight is below 1")
	}
	if k.MaxConcurrent < 0 {
		c.fault(at, "max_concurrent is negative")
	}
}

// checkReferences reports workspaces that name services nobody declares.
func (c *collector) checkReferences() {
	for _, ref := range c.refs {
		if _, ok := c.seen["service "+ref.service]; ok {
			continue
		}
		c.fault(ref.at, "no service %q is declared%s", ref.service, c.hint(ref.service))
	}
}

// hint suggests a declared service for a likely misspelling.
func (c *collector) hint(service string) string {
	var close []string
	for section := range c.seen {
		name, ok := strings.CutPrefix(section, "service ")
		if ok && settings.Similar(service, name) {
			close = append(close, name)
		}
	}
	if len(close) == 0 {
		return ""
	}
	slices.Sort(close)
	return " (did you mean " + strings.Join(close, " or ") + "?)"
}
