package coremembership

// InvalidMemberError rejects a member without an id, a name or an address.
type InvalidMemberError struct{ Field string }

// Error implements error.
func (e *InvalidMemberError) Error() string { return "a core member needs its " + e.Field }

// MemberUnknownError says that the configuration has no such member.
type MemberUnknownError struct{ Member string }

// Error implements error.
func (e *MemberUnknownError) Error() string { return "no core member " + e.Member }

// MemberInUseError rejects a new member under the name of one that is alive under another id.
type MemberInUseError struct{ Name string }

// Error implements error.
func (e *MemberInUseError) Error() string {
	return "core member " + e.Name + " is alive under another id"
}

// MemberRetiredError rejects a member that an operator removed, until its data folder is emptied.
type MemberRetiredError struct{ Name string }

// Error implements error.
func (e *MemberRetiredError) Error() string {
	return "core member " + e.Name + " was removed by an operator; empty its data folder to join anew"
}

// UnsafeChangeError rejects a change of members or of the leader that would leave no live majority,
// or exceed a bound.
type UnsafeChangeError struct{ Reason string }

// Error implements error.
func (e *UnsafeChangeError) Error() string { return "unsafe membership change: " + e.Reason }
