package result

import (
	"net/http"
	"sort"
)

// Code is the number of a kind of error. Codes are stable: a number is never
// reused.
// 1000s are invalid requests, 2000s are refusals before execution and exceeded
// deadlines, 3000s are failures during or after execution, 4000s are rejected
// publications of a configuration, and 5000s are internal errors.
type Code int

// The defined codes.
const (
	InvalidRequest      Code = 1001
	Unauthenticated     Code = 1002
	UnknownService      Code = 1003
	UnknownGeneration   Code = 1004
	BodyTooLarge        Code = 1005
	PromptTooLong       Code = 1006
	InvalidEventID      Code = 1007
	MethodNotDeclared   Code = 1008
	KeyRequired         Code = 1009
	KeyReused           Code = 1010
	WorkspaceLimited    Code = 2001
	Overloaded          Code = 2002
	NoTarget            Code = 2003
	TargetLeaving       Code = 2004
	Quarantined         Code = 2005
	DeadlineExceeded    Code = 2006
	StoreUnavailable    Code = 2007
	ConfigurationAbsent Code = 2008
	AttemptRevoked      Code = 2009
	MemoryFull          Code = 2010
	RegionUnavailable   Code = 2011
	Evacuated           Code = 2012
	EngineLost          Code = 3001
	OutcomeUnknown      Code = 3002
	Cancelled           Code = 3003
	ReplayDiverged      Code = 3004
	TargetFailed        Code = 3005
	VersionConflict     Code = 4001
	InvalidDeclaration  Code = 4002
	Internal            Code = 5000
)

// codeInfo holds the fixed properties of a code. retry and help are the texts of
// Retry and Help.
type codeInfo struct {
	name   string
	status int
	retry  string
	help   string
}

// statusClientClosed is the customary status of a request that the client
// cancelled. net/http does not define a constant for it.
const statusClientClosed = 499

var codes = map[Code]codeInfo{
	InvalidRequest:      {"invalid_request", http.StatusBadRequest, "no", "The request is malformed."},
	Unauthenticated:     {"unauthenticated", http.StatusUnauthorized, "no", "The key is missing or not valid."},
	UnknownService:      {"unknown_service", http.StatusNotFound, "no", "The workspace has no such service."},
	UnknownGeneration:   {"unknown_generation", http.StatusNotFound, "no", "The workspace has no such generation, or it is no longer held."},
	BodyTooLarge:        {"body_too_large", http.StatusRequestEntityTooLarge, "no", "The body exceeds the declared limit."},
	PromptTooLong:       {"prompt_too_long", http.StatusBadRequest, "no", "Prompt and requested output exceed the service's limit."},
	InvalidEventID:      {"invalid_event_id", http.StatusBadRequest, "no", "Last-Event-ID is not an offset of this generation."},
	MethodNotDeclared:   {"method_not_declared", http.StatusMethodNotAllowed, "no", "The service does not declare this method."},
	KeyRequired:         {"idempotency_key_required", http.StatusBadRequest, "no", "A non-idempotent call needs an Idempotency-Key."},
	KeyReused:           {"idempotency_key_reused", http.StatusUnprocessableEntity, "no", "The Idempotency-Key was used with other content."},
	WorkspaceLimited:    {"workspace_limited", http.StatusTooManyRequests, "after the stated delay", "The workspace has used its share."},
	Overloaded:          {"overloaded", http.StatusServiceUnavailable, "after the stated delay", "The expected wait exceeds the limit."},
	NoTarget:            {"no_target", http.StatusServiceUnavailable, "after the stated delay", "No live target serves this request."},
	TargetLeaving:       {"target_leaving", http.StatusServiceUnavailable, "at once", "The target is leaving and takes no new work."},
	Quarantined:         {"quarantined", http.StatusUnprocessableEntity, "no", "This content stopped several targets and is not run again."},
	DeadlineExceeded:    {"deadline_exceeded", http.StatusGatewayTimeout, "if ran is no", "The request's time ran out."},
	StoreUnavailable:    {"store_unavailable", http.StatusServiceUnavailable, "after the stated delay", "The platform's store did not answer; the call was not started."},
	ConfigurationAbsent: {"configuration_absent", http.StatusServiceUnavailable, "after the stated delay", "No configuration is in force here yet."},
	AttemptRevoked:      {"attempt_revoked", http.StatusConflict, "at once", "The attempt was withdrawn before it began."},
	MemoryFull:          {"memory_full", http.StatusServiceUnavailable, "after the stated delay", "The bodies of other requests leave no memory for this one."},
	RegionUnavailable:   {"region_unavailable", http.StatusServiceUnavailable, "after the stated delay", "No target is in a region in which this request may be served."},
	Evacuated:           {"evacuated", http.StatusServiceUnavailable, "after the stated delay", "All targets for this request are in data centres that are evacuated."},
	EngineLost:          {"engine_lost", http.StatusBadGateway, "yes, as a new generation", "The target was lost during the generation."},
	OutcomeUnknown:      {"outcome_unknown", http.StatusBadGateway, "only if the work is idempotent", "The target may or may not have run the call."},
	Cancelled:           {"cancelled", statusClientClosed, "yes", "The caller cancelled the request."},
	ReplayDiverged:      {"replay_diverged", http.StatusBadGateway, "yes, as a new generation", "A second run did not reproduce the delivered tokens."},
	TargetFailed:        {"target_failed", http.StatusBadGateway, "if ran is no", "The target answered with a failure."},
	VersionConflict:     {"version_conflict", http.StatusConflict, "after a new comparison", "Another configuration was put into force first."},
	InvalidDeclaration:  {"invalid_declaration", http.StatusBadRequest, "no", "A declaration has errors."},
	Internal:            {"internal", http.StatusInternalServerError, "if ran is no", "A fault of the system."},
}

// Name returns the short name of the code, or "" for an undefined code.
func (c Code) Name() string { return codes[c].name }

// Status returns the HTTP status of responses with the code.
func (c Code) Status() int {
	info, ok := codes[c]
	if !ok {
		return http.StatusInternalServerError
	}
	return info.status
}

// Retry returns a short text on whether and when a caller may retry the request.
func (c Code) Retry() string { return codes[c].retry }

// Help returns a description of the code in one sentence.
func (c Code) Help() string { return codes[c].help }

// All returns all defined codes in ascending order.
func All() []Code {
	all := make([]Code, 0, len(codes))
	for c := range codes {
		all = append(all, c)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}
