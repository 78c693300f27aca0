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

// namePattern matches valid names of services and workspaces. Names appear in
// URL paths and log lines.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// allowedMethods are the HTTP methods that a plain service may declare.
var allowedMethods = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

// keyHashBytes is the length of a key hash, a SHA-256 digest.
const keyHashBytes = 32

func (r *declarationReader) checkName(name string, pos position) {
	if !namePattern.MatchString(name) {
		r.addFault(pos, "invalid name %q: at most 63 lower-case letters, digits, '.', '_' and '-', the first a letter or digit", name)
	}
}

func (r *declarationReader) checkService(keys *serviceKeys, name string, pos position) {
	r.checkName(name, pos)
	switch config.Kind(keys.Kind) {
	case config.KindModel:
		r.checkModelService(keys, pos)
	case config.KindPlain:
		r.checkPlainService(keys, pos)
	default:
		r.addFault(pos, "invalid kind %q: must be model or plain", keys.Kind)
	}
	if keys.Priority < 0 {
		r.addFault(pos, "priority is negative; the lowest value, 0, is the most urgent")
	}
	if keys.MaxTokens < 0 || keys.MaxBody < 0 {
		r.addFault(pos, "max_tokens or max_body is negative")
	}
}

func (r *declarationReader) checkModelService(keys *serviceKeys, pos position) {
	if keys.Model == "" {
		r.addFault(pos, "a model service needs a model")
	}
	if keys.Role != "" || len(keys.Idempotent) > 0 || len(keys.Once) > 0 {
		r.addFault(pos, "role, idempotent and once are allowed only in plain services")
	}
}

func (r *declarationReader) checkPlainService(keys *serviceKeys, pos position) {
	if keys.Role == "" {
		r.addFault(pos, "a plain service needs a role")
	}
	if keys.Model != "" || keys.Adapter != "" {
		r.addFault(pos, "model and adapter are allowed only in model services")
	}
	if len(keys.Idempotent)+len(keys.Once) == 0 {
		r.addFault(pos, "a plain service needs at least one method in idempotent or once")
	}
	for _, method := range slices.Concat(keys.Idempotent, keys.Once) {
		if !slices.Contains(allowedMethods, method) {
			r.addFault(pos, "unknown method %q: must be one of %s", method, strings.Join(allowedMethods, ", "))
		}
	}
	for _, method := range keys.Idempotent {
		if slices.Contains(keys.Once, method) {
			r.addFault(pos, "method %s is in both idempotent and once", method)
		}
	}
}

func (r *declarationReader) checkWorkspace(keys *workspaceKeys, name string, pos position) {
	r.checkName(name, pos)
	if len(keys.KeyHashes) == 0 {
		r.addFault(pos, "a workspace needs key_hashes; create one with: quetzalglade key new")
	}
	for _, keyHash := range keys.KeyHashes {
		if raw, err := hex.DecodeString(keyHash); err != nil || len(raw) != keyHashBytes {
			r.addFault(pos, "key hash %q is not a SHA-256 digest in hex", keyHash)
		}
	}
	if keys.Weight < 1 {
		r.addFault(pos, "weight is less than 1")
	}
	if keys.MaxConcurrent < 0 {
		r.addFault(pos, "max_concurrent is negative")
	}
}

// checkReferences adds an error for each reference of a workspace to a service that
// no file declares.
func (r *declarationReader) checkReferences() {
	for _, ref := range r.serviceRefs {
		if _, ok := r.sections["service "+ref.service]; ok {
			continue
		}
		r.addFault(ref.pos, "no service %q is declared%s", ref.service, r.hint(ref.service))
	}
}

// hint returns a suggestion of declared services with a similar name, or "".
func (r *declarationReader) hint(service string) string {
	var close []string
	for section := range r.sections {
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
