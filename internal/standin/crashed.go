package standin

// Crashed reports whether the engine was crashed or closed.
func (e *Engine) Crashed() bool { return e.isStopped() }
