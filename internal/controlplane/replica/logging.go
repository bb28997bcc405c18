package replica

func (r *Replica) logInfo(message string, pairs ...any) {
	if r.options.Logger != nil {
		r.options.Logger.Info(message, pairs...)
	}
}

func (r *Replica) logWarning(message string, pairs ...any) {
	if r.options.Logger != nil {
		r.options.Logger.Warn(message, pairs...)
	}
}
