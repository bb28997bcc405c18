package logstore

// CorruptStateError reports that the log and the snapshots are inconsistent: data was lost.
type CorruptStateError struct{ Reason string }

// Error implements error.
func (e *CorruptStateError) Error() string { return "core data folder is damaged: " + e.Reason }
