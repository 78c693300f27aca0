package standin

// Crashed reports whether the engine has ended.
func (e *Engine) Crashed() bool { return e.isCrashed() }
