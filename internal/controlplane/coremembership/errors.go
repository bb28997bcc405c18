package coremembership

// InvalidMemberError rejects a member without an id, a name or an address.
type InvalidMemberError struct{ Field string }

// Error implements error.
func (e *InvalidMemberError) Error() string { return "a core member needs its " + e.Field }

// MemberUnknownError reports that the configuration has no member of that name or id.
type MemberUnknownError struct{ Member string }

// Error implements error.
func (e *MemberUnknownError) Error() string { return "no core member " + e.Member }

// MemberInUseError rejects a new member whose name belongs to a member that is alive and has another id.
type MemberInUseError struct{ Name string }

// Error implements error.
func (e *MemberInUseError) Error() string {
	return "core member " + e.Name + " is alive under another id"
}

// MemberRetiredError rejects a member that an operator removed. An operator can admit it again; by itself it can only
// join under a new id, after its data folder has been emptied.
type MemberRetiredError struct{ Name string }

// Error implements error.
func (e *MemberRetiredError) Error() string {
	return "core member " + e.Name + " was removed by an operator; empty its data folder to join anew"
}

// UnsafeChangeError rejects a change of members or of the leader that would leave no majority of live voters, or that
// would exceed the maximum number of members.
type UnsafeChangeError struct{ Reason string }

// Error implements error.
func (e *UnsafeChangeError) Error() string { return "unsafe membership change: " + e.Reason }
