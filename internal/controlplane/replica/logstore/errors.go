package logstore

// CorruptStateError says that the log and the snapshots do not fit together: data was lost.
type CorruptStateError struct{ Reason string }

// Error implements error.
func (e *CorruptStateError) Error() string { return "core data folder is damaged: " + e.Reason }
