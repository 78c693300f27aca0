package command

import "github.com/cockroachdb/errors"

// Exit codes of the operators' command.
const (
	ExitFailure = 1
	// ExitInvalid means that the declarations are invalid.
	ExitInvalid = 2
	// ExitConflict means that another publication was first.
	ExitConflict = 3
	// ExitNotPropagated means that a published version is not yet used by every
	// process.
	ExitNotPropagated = 4
	// ExitNotFound means that the requested version or decision record does not exist.
	ExitNotFound = 5
)

// exitError is an error with an exit code.
type exitError struct {
	error
	code int
}

// Unwrap returns the error without its code.
func (e *exitError) Unwrap() error { return e.error }

// WithExit attaches an exit code to an error. It returns nil for a nil error.
func WithExit(err error, code int) error {
	if err == nil {
		return nil
	}
	return &exitError{error: err, code: code}
}

// ExitCode returns the exit code of an error: 0 for nil, the attached code if
// there is one, and ExitFailure otherwise.
func ExitCode(err error) int {
	var e *exitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &e):
		return e.code
	}
	return ExitFailure
}
